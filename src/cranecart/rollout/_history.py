"""The history of accepted configuration changes, stored in the table."""

import contextlib
import time
from collections.abc import Mapping

import attrs
import msgspec

from cranecart.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnknownError,
)
from cranecart.native import PlatformClient
from cranecart.ports import Check, Put, Row, Transaction
from cranecart.rollout._active_config import Release

HEAD_KEY = 'config/head'
_CHANGES = 'config/change/'
_CHANGE_IDS = 'config/id/'


@attrs.frozen
class Change:
    """One accepted change; ``accepted_at`` is in seconds since the epoch."""

    version: int
    sha256: str
    change_id: str
    author: str
    accepted_at: float
    note: str = ''

    @property
    def release(self) -> Release:
        """Return the release that the change created."""
        return Release(self.version, self.sha256)


@attrs.define
class ConfigHistory:
    """The history of a deployment."""

    _platform: PlatformClient

    async def head(self) -> Change | None:
        """Return the newest change; raise ``PlatformError``."""
        return self.head_in(await self._platform.read_keys([HEAD_KEY]))

    def head_in(self, rows: Mapping[str, Row]) -> Change | None:
        """Return the newest change in rows that include the head's."""
        row = rows.get(HEAD_KEY)
        return _decode(row) if row else None

    async def changes(self) -> list[Change]:
        """Return all changes, oldest first."""
        rows = await self._platform.read_prefix(_CHANGES)
        return [_decode(rows[key]) for key in sorted(rows)]

    async def change(self, version: int) -> Change | None:
        """Return the change that created a version, if there is one."""
        key = _change_key(version)
        row = (await self._platform.read_keys([key])).get(key)
        return _decode(row) if row else None

    async def find(self, change_id: str) -> Change | None:
        """Return the accepted change with a change id, if there is one."""
        key = f'{_CHANGE_IDS}{change_id}'
        row = (await self._platform.read_keys([key])).get(key)
        return _decode(row) if row else None

    async def append(
        self,
        base_version: int,
        change_id: str,
        author: str,
        encoded: bytes,
        note: str = '',
    ) -> Change:
        """Append a change that is based on ``base_version``.

        Raise ``WriteConflictError`` if that is not the newest version, and
        ``WriteUnknownError`` if the outcome of the write cannot be determined.
        """
        sha256 = await self._platform.put_object(encoded)
        head = await self._head_row()
        current_version = _decode(head).version if head else 0
        if current_version != base_version:
            raise WriteConflictError(
                f'the change is based on version {base_version}, but version '
                f'{current_version} is in force',
            )
        change = Change(
            current_version + 1,
            sha256,
            change_id,
            author,
            time.time(),
            note,
        )
        transaction = _transaction(head, change)
        try:
            await self._platform.commit(transaction)
        except WriteUnknownError:
            return await self._resolve_unknown_write(transaction, change)
        return change

    async def _head_row(self) -> Row | None:
        rows = await self._platform.read_keys([HEAD_KEY])
        return rows.get(HEAD_KEY)

    async def _resolve_unknown_write(
        self,
        transaction: Transaction,
        change: Change,
    ) -> Change:
        """Retry the write and read it back.

        The retry is safe, because a change id can be accepted only once.
        """
        with contextlib.suppress(PlatformError):
            await self._platform.commit(transaction)
        try:
            accepted = await self.find(change.change_id)
            head = await self.head()
        except PlatformUnavailableError as error:
            raise WriteUnknownError(str(error)) from error
        if accepted is not None:
            return accepted
        if head is not None and head.version >= change.version:
            raise WriteConflictError(
                f'another change was accepted as version {change.version}'
            )
        # The write may still be in flight and take effect later.
        raise WriteUnknownError(
            'the change is not in the history, but may still be accepted'
        )


def _transaction(head: Row | None, change: Change) -> Transaction:
    encoded = msgspec.json.encode(change).decode()
    id_key = f'{_CHANGE_IDS}{change.change_id}'
    return Transaction(
        (
            Check(HEAD_KEY, head.version if head else 0),
            Check(id_key),
        ),
        (
            Put(HEAD_KEY, encoded),
            Put(_change_key(change.version), encoded),
            Put(id_key, encoded),
        ),
    )


def _change_key(version: int) -> str:
    return f'{_CHANGES}{version:010}'


def _decode(row: Row) -> Change:
    return msgspec.json.decode(row.value, type=Change)
