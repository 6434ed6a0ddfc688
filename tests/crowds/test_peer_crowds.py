"""A crowd of clients before a node that passes their requests on."""

import curio

from tests.lib.crowds import Crowd, CrowdClient, head_bytes
from tests.lib.cut_paths import Cut
from tests.lib.fake_targets import Exchange
from tests.lib.memory import check_process
from tests.lib.node_processes import NodeProcessTestCase
from tests.lib.path_testbed import KEY, PathTestbed

_MEMORY_MB = 100
_MEMORY_BYTES = _MEMORY_MB * 1_000_000
_MAX_DESCRIPTORS = 400
_BODY_BYTES = 2_097_152
_SIZE = 40
_SLOW_TARGET_SECONDS = 2.0
_PATH = '/safe/'
_SMALL_BODY_BYTES = 100


class PeerCrowdsTest(NodeProcessTestCase):
    """One node without paths to targets, and one that has them."""

    def test_whole_bodies_passed_on_to_a_peer(self) -> None:
        """Both nodes hold what is passed on until a target has answered."""
        curio.run(self._play)

    async def _play(self) -> None:
        async with PathTestbed(
            self, memory_mb=_MEMORY_MB, max_descriptors=_MAX_DESCRIPTORS
        ) as testbed:
            await testbed.add_target('t-1', 'east', _answer)
            asking = await testbed.add_node('a', 'east')
            helping = await testbed.add_node('b', 'east')
            await testbed.wait_until_serving()
            await testbed.cut(['a'], Cut.REFUSE)
            await asking.wait_until_served(_PATH)
            headers = {
                'authorization': f'Bearer {KEY}',
                'content-length': str(_BODY_BYTES),
                'request-id': 'crowd',
            }
            client = CrowdClient(
                head=head_bytes(_PATH, headers), part=b'x' * _BODY_BYTES
            )
            crowd = Crowd(client=client, size=_SIZE, rounds=2, hold_seconds=6)
            await crowd.run(asking.process.client)
            await asking.wait_until_served(_PATH)
            for node in (asking, helping):
                check_process(
                    self,
                    node.process.process,
                    _MEMORY_BYTES,
                    _MAX_DESCRIPTORS,
                )


async def _answer(exchange: Exchange) -> None:
    """Answer large requests slowly."""
    if len(exchange.body) > _SMALL_BODY_BYTES:
        await curio.sleep(_SLOW_TARGET_SECONDS)
    await exchange.answer(b'{}')
