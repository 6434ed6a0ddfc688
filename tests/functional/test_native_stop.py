"""Requests that are read while the process of a native node is about to end."""

import unittest

import curio
import msgspec

from cranecart.exceptions import HttpError
from cranecart.http import HttpConnection
from tests.lib.clusters import start_cluster
from tools.local_cluster import LocalCluster

_NODE = 'node0'
# Longer than the load balancer is given to notice that the node is stopping,
# after which a node without requests ends.
_SECONDS_AFTER_SIGNAL = 1.25
_OK = 200
_BODY = msgspec.json.encode({'note': 'done'})
_MESSAGE = (
    b'POST /v1/services/brigad-app/next HTTP/1.1\r\nhost: a.example\r\n'
    b'authorization: Bearer demo-budapest\r\ncontent-type: application/json\r\n'
    b'content-length: %d\r\n\r\n%b' % (len(_BODY), _BODY)
)


class NativeStopTest(unittest.TestCase):
    """Connections that were accepted get an answer before the process ends."""

    cluster: LocalCluster

    def setUp(self) -> None:
        """Start a node and a service."""
        self.cluster = start_cluster(
            self,
            nodes=1,
            domains=('buda-terem',),
            engines_per_domain=0,
        )

    def test_requests_cut_at_the_end_of_a_stop(self) -> None:
        """One is in part received by then, one is sent just afterwards."""
        sent_before = (len(_MESSAGE) // 2, 0)
        self.assertEqual(
            curio.run(self._send_across_the_stop, sent_before), [_OK, _OK]
        )
        self.assertEqual(self.cluster.processes[_NODE].wait(), 0)

    async def _send_across_the_stop(
        self, sent_before: tuple[int, ...]
    ) -> list[int]:
        """Send so many bytes before the signal and the others after it."""
        address = self.cluster.endpoints[_NODE].clients
        connections = [await HttpConnection.open(address) for _ in sent_before]
        for connection, size in zip(connections, sent_before, strict=True):
            await connection._sock.sendall(_MESSAGE[:size])
        self.cluster.processes[_NODE].terminate()
        await curio.sleep(_SECONDS_AFTER_SIGNAL)
        async with curio.TaskGroup(wait=all) as sending:
            for connection, size in zip(connections, sent_before, strict=True):
                await sending.spawn(_finish, connection, _MESSAGE[size:])
        return list(sending.results)


async def _finish(connection: HttpConnection, rest: bytes) -> int:
    """Send the rest of a request; return the status, 0 without an answer."""
    try:
        await connection._sock.sendall(rest)
        head = await connection.read_head()
        await connection.read_body()
    except (HttpError, OSError):
        return 0
    finally:
        await connection.close()
    return head.status


if __name__ == '__main__':
    unittest.main()
