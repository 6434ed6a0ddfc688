"""Query the processes of a local cluster and inject faults into them."""

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
    """Client for the processes of one local cluster."""

    addresses: Mapping[str, Address]
    proxy_controls: Mapping[str, Address]
    endpoints: Mapping[str, NodeEndpoints]

    def published_address(self, name: str) -> Address:
        """Return the address of a process, or of its proxy if it has one."""
        return self.addresses.get(f'proxy-{name}') or self.addresses[name]

    def balancer(self) -> Balancer:
        """Return a balancer over all nodes."""
        return Balancer(list(self.endpoints.values()))

    def operator(self, node: str = 'node0') -> OperatorClient:
        """Return an operator client for a node."""
        return OperatorClient(self.endpoints[node].operators, OPERATOR_KEY)

    def status(self, node: str = 'node0') -> NodeStatus | None:
        """Return the status of a node, or None while it does not respond."""
        try:
            return curio.run(self.operator(node).status)
        except CranecartError:
            return None

    async def fetch_replicas(self, node: str) -> list[ServingReplica]:
        """Return the replicas a node routes to, none if it does not respond."""
        try:
            return list((await self.operator(node).status()).replicas)
        except CranecartError:
            return []

    def serving_replicas(self, node: str = 'node0') -> list[ServingReplica]:
        """Return the replicas a node routes to, outside coroutines."""
        status = self.status(node)
        return list(status.replicas) if status else []

    async def post(
        self,
        address: Address,
        target: str,
        body: object = None,
    ) -> Response:
        """Post a control message and return the response."""
        request = Request('POST', target, body=msgspec.json.encode(body))
        return await exchange(address, request, _CALL_SECONDS)

    async def platform_faults(self, **faults: object) -> None:
        """Set the faults of the platform; clear them without arguments."""
        address = self.addresses['platform']
        await self.post(address, '/standin/faults', faults)

    async def link_faults(self, name: str, **faults: object) -> None:
        """Set the faults of the link to a proxied process."""
        await self.post(self.proxy_controls[name], '/faults', faults)

    async def announce_leaving(self, name: str) -> None:
        """Make a target announce that it is leaving."""
        await self.post(self.addresses[name], '/standin/leave')

    def platform_counts(self) -> dict[str, int]:
        """Return the number of reads and writes the platform has served."""
        response = curio.run(
            self.post,
            self.addresses['platform'],
            '/standin/counts',
        )
        return msgspec.json.decode(response.body, type=dict[str, int])

    def set_platform_faults(self, **faults: object) -> None:
        """Set the faults of the platform, outside coroutines."""
        curio.run(partial(self.platform_faults, **faults))

    def set_link_faults(self, name: str, **faults: object) -> None:
        """Set the faults of a link, outside coroutines."""
        curio.run(partial(self.link_faults, name, **faults))

    def is_platform_reachable(self) -> bool:
        """Return whether the platform responds; this clears its faults."""
        try:
            self.set_platform_faults()
        except CranecartError:
            return False
        return True


def wait_until(
    condition: Callable[[], bool],
    description: str,
    seconds: float = 30,
) -> float:
    """Wait for a condition; return the elapsed time in seconds."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise TimeoutError(
                f'timed out after {seconds} s waiting until {description}'
            )
        time.sleep(_POLL_SECONDS)
    return time.monotonic() - started
