"""What one probe of an unchanged instance costs on the wire."""

import socket
import tempfile
import time
from pathlib import Path

from cranecart.targets import PROBE_INTERVAL_SECONDS
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

_DOMAIN = 'buda-terem'
# A request, its answer, and an acknowledgement of each, with the headers of
# IP and TCP with timestamps.
_PACKETS = 4
_PACKET_BYTES = 52
_READ_BYTES = 65536
_SETTLE_SECONDS = 1.0


def measure() -> dict[str, float]:
    """Return the bytes of one probe, both ways, and probes a second."""
    options = ClusterOptions(
        domains=(_DOMAIN,),
        nodes=0,
        engines_per_domain=1,
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            address = cluster.addresses[f'{_DOMAIN}-e0']
            wait_until(lambda: _listens(address.host, address.port), 'engine')
            time.sleep(_SETTLE_SECONDS)
            payload = _probe(address.host, address.port)
    return {
        'bytes': payload + _PACKETS * _PACKET_BYTES,
        'per_second': 1 / PROBE_INTERVAL_SECONDS,
    }


def _probe(host: str, port: int) -> int:
    """Ask twice, as a node does, and count the second exchange."""
    with socket.create_connection((host, port)) as sock:
        head = f'GET /status HTTP/1.1\r\nhost: {host}:{port}\r\n'
        sock.sendall(f'{head}content-length: 0\r\n\r\n'.encode())
        first = sock.recv(_READ_BYTES).decode()
        tag = first.partition('etag: ')[2].partition('\r\n')[0]
        again = (
            f'{head}content-length: 0\r\nif-none-match: {tag}\r\n\r\n'
        ).encode()
        sock.sendall(again)
        return len(again) + len(sock.recv(_READ_BYTES))


def _listens(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port)).close()
    except OSError:
        return False
    return True
