"""Read the pages of a table as of one version.

The store reads each page at a different time. Changes between two pages are
read from the feed and applied to the rows of the earlier pages, so that none is
missed and no transaction is read in part. This happens after each page, as the
store may keep a shorter history than all pages take.
"""

from collections.abc import Awaitable, Callable

import attrs

from cranecart.exceptions import HistoryLostError, PlatformUnavailableError
from cranecart.logs import log_decision
from cranecart.platform._wire_rows import WireRow, WireRows
from cranecart.ports import era_of

# The changes are known to have happened, so there is nothing to wait for.
_FEED_WAIT_SECONDS = 0.001

# Reads a page of a table and part, from a key on.
PageReader = Callable[[str, str, str], Awaitable[WireRows]]
# Waits some seconds for changes of a table since a version.
ChangesReader = Callable[[str, int, float], Awaitable[WireRows]]


@attrs.define
class _KeyRange:
    """The keys of a part that were read, up to the last one or to the end."""

    start: str
    last: str | None = None

    def contains(self, key: str) -> bool:
        """Return whether a key was read, or would have been."""
        return self.start <= key and (self.last is None or key <= self.last)


@attrs.define
class PagedRead:
    """One read of one or more parts of a table.

    With ``rows_are_independent``, the read goes on without the changes between
    the pages if the store cannot list them. Its version is then one after which
    all changes follow that its rows may lack.
    """

    _table: str
    _read_page: PageReader
    _read_changes: ChangesReader
    _rows_are_independent: bool = attrs.field(default=False, kw_only=True)
    _rows: dict[tuple[str, str], WireRow] = attrs.field(
        factory=dict, init=False
    )
    _ranges: dict[str, _KeyRange] = attrs.field(factory=dict, init=False)
    _page_versions: list[int] = attrs.field(factory=list, init=False)
    _version: int = attrs.field(default=-1, init=False)
    _has_lost_changes: bool = attrs.field(default=False, init=False)

    async def add_part(self, part: str, start_key: str = '') -> None:
        """Read all pages of a part, from a key on.

        Raise ``HistoryLostError`` if the store cannot list the changes between
        two pages, and ``PlatformUnavailableError`` if a read fails.
        """
        self._ranges[part] = _KeyRange(start_key)
        page = await self._add_page(part, start_key)
        while page.truncated:
            # Start the next page at the smallest key after the last one.
            page = await self._add_page(part, f'{page.rows[-1].key_file}\0')

    def contents(self) -> WireRows:
        """Return the rows and their version."""
        if len(self._page_versions) > 1:
            log_decision(
                'pages_read',
                table=self._table,
                rows=len(self._rows),
                page_versions=self._page_versions,
                version=self._version,
                lost_changes=self._has_lost_changes,
            )
        return WireRows(self._version, list(self._rows.values()))

    async def _add_page(self, part: str, start_key: str) -> WireRows:
        page = await self._read_page(self._table, part, start_key)
        if page.truncated and not page.rows:
            # The rows after it would be taken for deleted.
            raise PlatformUnavailableError(
                f'a page of table {self._table!r} has no rows, but is not the '
                'last one'
            )
        last_key = page.rows[-1].key_file if page.truncated else None
        self._ranges[part].last = last_key
        for row in page.rows:
            row.part = part
            self._rows[part, row.key_file] = row
        await self._catch_up(page.schema_version)
        return page

    async def _catch_up(self, page_version: int) -> None:
        """Apply what had changed when a page was read to the pages before."""
        if not self._page_versions:
            self._version = page_version
        self._page_versions.append(page_version)
        if era_of(page_version) != era_of(self._version):
            raise HistoryLostError(
                'the store was restored from a backup between two pages'
            )
        if page_version < self._version:
            raise PlatformUnavailableError(
                f'a page of table {self._table!r} has version {page_version}, '
                f'but version {self._version} was read before it'
            )
        while self._version < page_version and not self._has_lost_changes:
            await self._apply_changes()

    async def _apply_changes(self) -> None:
        """Apply changes to the rows that were read."""
        try:
            changes = await self._read_changes(
                self._table, self._version, _FEED_WAIT_SECONDS
            )
        except HistoryLostError:
            if not self._rows_are_independent:
                raise
            self._has_lost_changes = True
            return
        if changes.schema_version <= self._version:
            raise PlatformUnavailableError(
                f'the changes of table {self._table!r} end at version '
                f'{changes.schema_version}, before a page that was read'
            )
        for row in changes.rows:
            self._apply(row)
        self._version = changes.schema_version

    def _apply(self, row: WireRow) -> None:
        key_range = self._ranges.get(row.part)
        if key_range is None or not key_range.contains(row.key_file):
            return
        if row.deleted:
            self._rows.pop((row.part, row.key_file), None)
        else:
            self._rows[row.part, row.key_file] = row
