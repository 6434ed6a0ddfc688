"""A store client that returns fixed rows, for malformed row values."""

import base64

from cranecart.http import Address
from cranecart.platform import StoreClient
from cranecart.platform._wire_rows import WireRow, WireRows


class FixedRowsClient(StoreClient):
    """Returns the same rows for each read and as changes, without a store."""

    def __init__(self, rows: dict[str, bytes]) -> None:
        """Keep the values of the rows by key."""
        super().__init__(Address('127.0.0.1', 1))
        self.written = rows

    async def read_page(
        self,
        table: str,
        part: str,
        start_key: str,
    ) -> WireRows:
        """Return the rows."""
        return self._page()

    async def feed(
        self,
        table: str,
        since: int,
        wait_seconds: float,
    ) -> WireRows:
        """Return the rows."""
        return self._page()

    def _page(self) -> WireRows:
        rows = [
            WireRow(
                key,
                value=base64.b64encode(value).decode(),
                schema_version=3,
            )
            for key, value in self.written.items()
        ]
        return WireRows(3, rows)
