"""Registration of this node in the store, where other nodes find it."""

from collections.abc import Mapping

import attrs
import curio
import msgspec

from cranecart.clocks import since_boot
from cranecart.exceptions import PlatformError, WriteConflictError
from cranecart.fleet import node_key
from cranecart.http import Address
from cranecart.logs import UnreadableRowLog, log_decision
from cranecart.mesh import PeerNode
from cranecart.ports import Check, Put, Row, Table, Transaction
from cranecart.settings import ServingSettings

_RETRY_SECONDS = 0.5
# Longer than failure domains are cut off (6 s) and news take after that.
_ESTABLISHED_SECONDS = 10.0
# All nodes register within some seconds when the whole deployment starts.
_FIRST_START_SECONDS = 3.0
_UNREADABLE_ROWS = UnreadableRowLog('node_row_unreadable')


@attrs.define
class NodeRegistration:
    """Writes this node's row at the start and deletes it at a planned stop.

    The name belongs to the process that registered it last. An earlier one that
    still runs keeps no share of what is divided by names, and leaves the row.

    ``finds_earlier_row`` is whether it finds out at the start if the row exists
    already, which only the sharing of cold targets needs.
    """

    _settings: ServingSettings
    _table: Table
    _finds_earlier_row: bool = False
    _is_written: bool = attrs.field(default=False, init=False)
    _is_writing: bool = attrs.field(default=False, init=False)
    _is_withdrawn: bool = attrs.field(default=False, init=False)
    _was_registered: bool = attrs.field(default=False, init=False)
    _written_at: float = attrs.field(default=float('inf'), init=False)
    _written_version: int = attrs.field(default=0, init=False)
    _is_name_taken: bool = attrs.field(default=False, init=False)

    def is_established(self, *, hears_all_peers: bool) -> bool:
        """Return whether all other nodes know of this one.

        That takes some seconds after it was registered, as nodes may be cut
        off, unless its row is older than the process or all nodes start anew.
        A listed node that is not heard shows that others have started before,
        whatever the settings say.
        """
        if self._was_registered:
            return True
        seconds = (
            _FIRST_START_SECONDS
            if self._settings.first_start and hears_all_peers
            else _ESTABLISHED_SECONDS
        )
        return since_boot() - self._written_at >= seconds

    @property
    def registered_at(self) -> float:
        """Return when the row was first accepted, infinity if it is not held."""
        return float('inf') if self._is_name_taken else self._written_at

    @property
    def needs_registration(self) -> bool:
        """Return whether the row has to be written and no write is running."""
        is_due = not self._is_written and not self._is_withdrawn
        return is_due and not self._is_writing and not self._is_name_taken

    def apply(self, items: Mapping[str, Row | None]) -> None:
        """Find out from changed rows if another process took the name."""
        row = items.get(self._key)
        if row is None or not self._written_version or self._is_name_taken:
            return
        is_newer = row.version > self._written_version
        if is_newer and row.value != self._row_value:
            self._is_name_taken = True
            log_decision('node_name_taken', version=row.version)

    def restore(self, items: Mapping[str, Row]) -> None:
        """Require registration again if a restored store lacks the row."""
        row = items.get(self._key)
        is_held = row is not None and row.value == self._row_value
        self._is_written = self._is_written and is_held

    async def register(self) -> None:
        """Write the row; retry until the store has accepted it."""
        self._is_writing = True
        try:
            await self._write()
        finally:
            self._is_writing = False

    async def withdraw(self) -> None:
        """Delete the row; log if the store does not accept that."""
        self._is_withdrawn = True
        if self._is_name_taken:
            return
        try:
            await self._table.commit(Transaction((), (), (self._key,)))
        except PlatformError as error:
            log_decision('node_not_withdrawn', why=str(error))

    async def _write(self) -> None:
        put = Put(self._key, self._row_value)
        checks: tuple[Check, ...] = ()
        if self._finds_earlier_row:
            checks = (Check(self._key),)
        while not self._is_written and not self._is_withdrawn:
            try:
                self._written_version = await self._table.commit(
                    Transaction(checks, (put,))
                )
            except WriteConflictError:
                self._was_registered = True
                checks = ()
            except PlatformError as error:
                log_decision('node_not_registered', why=str(error))
                # The row that the next attempt finds may be this process's.
                checks = ()
                await curio.sleep(_RETRY_SECONDS)
            else:
                self._is_written = True
                self._written_at = min(self._written_at, since_boot())

    @property
    def _row_value(self) -> str:
        peer = PeerNode(
            self._settings.peer_address,
            self._settings.failure_domain,
            self._settings.peer_request_address,
            self._settings.link_mbps,
        )
        return msgspec.json.encode(peer).decode()

    @property
    def _key(self) -> str:
        return node_key(self._settings.node_id)


def peers_from_rows(
    items: Mapping[str, Row | None],
) -> dict[str, PeerNode | None]:
    """Return the nodes among changed rows by node id, ``None`` if deleted.

    An unreadable row is skipped, so that its node's last known state is kept.
    """
    prefix = node_key('')
    peers = {
        key: None if row is None else _peer_from_row(row)
        for key, row in items.items()
        if key.startswith(prefix)
    }
    return {
        key.removeprefix(prefix): peer
        for key, peer in peers.items()
        if peer is not None or items[key] is None
    }


def _peer_from_row(row: Row) -> PeerNode | None:
    try:
        peer = msgspec.json.decode(row.value, type=PeerNode)
        for address in filter(None, (peer.address, peer.request_address)):
            Address.from_listed(address)
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        _UNREADABLE_ROWS.report(row.key, str(error))
        return None
    return peer
