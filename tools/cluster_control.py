"""Ask the parts of a local cluster, and change what is wrong with them."""

import time
from collections.abc import Callable, Mapping
from functools import partial

import attrs
import curio
import msgspec

from cranecart.exceptions import CranecartError
from cranecart.http import Address, Request, Response, exchange
from cranecart.load_testing import Balancer, NodeEndpoints
from cranecart.operators import NodeStatus, OperatorClient
from cranecart.targets import ServingReplica

OPERATOR_KEY = 'operator-key-for-local-runs'
_POLL_SECONDS = 0.05
_CALL_SECONDS = 5.0


@attrs.frozen
class ClusterControl:
    """Talks to the processes of one local cluster."""

    addresses: Mapping[str, Address]
    controls: Mapping[str, Address]
    entries: Mapping[str, NodeEndpoints]

    def reach(self, name: str) -> Address:
        """Return the address others use, that of its proxy if it has one."""
        return self.addresses.get(f'proxy-{name}') or self.addresses[name]

    def balancer(self) -> Balancer:
        """Return a balancer over all nodes."""
        return Balancer(list(self.entries.values()))

    def operator(self, node: str = 'node0') -> OperatorClient:
        """Return an operators' client for a node."""
        return OperatorClient(self.entries[node].operators, OPERATOR_KEY)

    def status(self, node: str = 'node0') -> NodeStatus | None:
        """Return a node's status, or nothing while it does not answer."""
        try:
            return curio.run(self.operator(node).status)
        except CranecartError:
            return None

    async def replicas_now(self, node: str) -> list[ServingReplica]:
        """Return what a node would send to, or nothing if it is away."""
        try:
            return list((await self.operator(node).status()).replicas)
        except CranecartError:
            return []

    def serving(self, node: str = 'node0') -> list[ServingReplica]:
        """Return the replicas that a node would send to."""
        status = self.status(node)
        return list(status.replicas) if status else []

    async def post(
        self,
        address: Address,
        target: str,
        body: object = None,
    ) -> Response:
        """Post a control message and return the answer."""
        request = Request('POST', target, body=msgspec.json.encode(body))
        return await exchange(address, request, _CALL_SECONDS)

    async def platform_faults(self, **faults: object) -> None:
        """Change what is wrong with the platform; none if nothing given."""
        address = self.addresses['platform']
        await self.post(address, '/standin/faults', faults)

    async def link_faults(self, name: str, **faults: object) -> None:
        """Change what is wrong with the link to a proxied process."""
        await self.post(self.controls[name], '/faults', faults)

    async def leave(self, name: str) -> None:
        """Let a target say that it leaves."""
        await self.post(self.addresses[name], '/standin/leave')

    def platform_counts(self) -> dict[str, int]:
        """Return the reads and writes that the platform has taken."""
        response = curio.run(
            self.post,
            self.addresses['platform'],
            '/standin/counts',
        )
        return msgspec.json.decode(response.body, type=dict[str, int])

    def set_platform_faults(self, **faults: object) -> None:
        """Change what is wrong with the platform, outside coroutines."""
        curio.run(partial(self.platform_faults, **faults))

    def set_link_faults(self, name: str, **faults: object) -> None:
        """Change what is wrong with a link, outside coroutines."""
        curio.run(partial(self.link_faults, name, **faults))

    def platform_answers(self) -> bool:
        """Tell whether the platform can be asked."""
        try:
            self.set_platform_faults()
        except CranecartError:
            return False
        return True


def wait_until(
    condition: Callable[[], bool],
    what: str,
    seconds: float = 30,
) -> float:
    """Wait for a condition; return how long it took, in seconds."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise TimeoutError(f'not within {seconds} s: {what}')
        time.sleep(_POLL_SECONDS)
    return time.monotonic() - started
