"""This node's row in the table, by which other nodes find it."""

from collections.abc import Mapping

import attrs
import curio
import msgspec

from cranecart.exceptions import PlatformError
from cranecart.fleet import node_key
from cranecart.http import Address
from cranecart.logs import UnreadableRows, decision
from cranecart.mesh import PeerNode
from cranecart.ports import Put, Row, Table, Transaction
from cranecart.settings import ServingSettings

_AGAIN_SECONDS = 0.5
_UNREADABLE = UnreadableRows('node_row_unreadable')


@attrs.define
class NodeRegistry:
    """Writes the row at the start and drops it at a planned stop."""

    _settings: ServingSettings
    _table: Table
    _written: bool = attrs.field(default=False, init=False)
    _writing: bool = attrs.field(default=False, init=False)
    _is_withdrawn: bool = attrs.field(default=False, init=False)

    @property
    def is_missing(self) -> bool:
        """Tell whether the row has to be written, and nobody writes it."""
        is_due = not self._written and not self._is_withdrawn
        return is_due and not self._writing

    def restore(self, items: Mapping[str, Row]) -> None:
        """Take over the rows of a table that has come back from a copy."""
        self._written = self._written and self._key in items

    async def register(self) -> None:
        """Write the row; go on trying until the store has taken it."""
        self._writing = True
        try:
            await self._write()
        finally:
            self._writing = False

    async def withdraw(self) -> None:
        """Drop the row, if the store takes that."""
        self._is_withdrawn = True
        try:
            await self._table.commit(Transaction((), (), (self._key,)))
        except PlatformError as error:
            decision('node_not_withdrawn', why=str(error))

    async def _write(self) -> None:
        peer = PeerNode(
            self._settings.peer_address,
            self._settings.failure_domain,
        )
        put = Put(self._key, msgspec.json.encode(peer).decode())
        while not self._written and not self._is_withdrawn:
            try:
                await self._table.commit(Transaction((), (put,)))
            except PlatformError as error:
                decision('node_not_registered', why=str(error))
                await curio.sleep(_AGAIN_SECONDS)
            else:
                self._written = True

    @property
    def _key(self) -> str:
        return node_key(self._settings.node_id)


def peers_from_rows(
    items: Mapping[str, Row | None],
) -> dict[str, PeerNode | None]:
    """Return the nodes among changed rows, by node id.

    What cannot be read changes nothing that is known of a node.
    """
    prefix = node_key('')
    read = {
        key: None if row is None else _peer_from_row(row)
        for key, row in items.items()
        if key.startswith(prefix)
    }
    return {
        key.removeprefix(prefix): peer
        for key, peer in read.items()
        if peer is not None or items[key] is None
    }


def _peer_from_row(row: Row) -> PeerNode | None:
    try:
        peer = msgspec.json.decode(row.value, type=PeerNode)
        Address.from_text(peer.address)
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        _UNREADABLE.note(row.key, str(error))
        return None
    return peer
