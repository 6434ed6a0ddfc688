"""This node's row in the table, by which other nodes find it."""

from collections.abc import Mapping

import attrs
import curio
import msgspec

from cranecart.config import ServingSettings
from cranecart.exceptions import PlatformError
from cranecart.fleet import node_key
from cranecart.logs import decision
from cranecart.mesh import PeerNode
from cranecart.ports import Put, Row, Table, Transaction

_AGAIN_SECONDS = 0.5


@attrs.define
class NodeRegistry:
    """Writes the row at the start and drops it at a planned stop."""

    _settings: ServingSettings
    _table: Table
    _written: bool = attrs.field(default=False, init=False)

    async def register(self) -> None:
        """Write the row; go on trying until the store has taken it."""
        peer = PeerNode(
            self._settings.peer_address,
            self._settings.failure_domain,
        )
        put = Put(self._key, msgspec.json.encode(peer).decode())
        while not self._written:
            try:
                await self._table.commit(Transaction((), (put,)))
            except PlatformError as error:
                decision('node_not_registered', why=str(error))
                await curio.sleep(_AGAIN_SECONDS)
            else:
                self._written = True

    async def withdraw(self) -> None:
        """Drop the row, if the store takes that."""
        try:
            await self._table.commit(Transaction((), (), (self._key,)))
        except PlatformError as error:
            decision('node_not_withdrawn', why=str(error))

    @property
    def _key(self) -> str:
        return node_key(self._settings.node_id)


def peers_from_rows(
    items: Mapping[str, Row | None],
) -> dict[str, PeerNode | None]:
    """Return the nodes among changed rows, by node id."""
    prefix = node_key('')
    return {
        key.removeprefix(prefix): None
        if row is None
        else msgspec.json.decode(row.value, type=PeerNode)
        for key, row in items.items()
        if key.startswith(prefix)
    }
