"""Run a node whose connections to targets go through cuttable paths.

Usage: python -m tests.lib.redirected_node SETTINGS_FILE REDIRECTS_FILE. The
second file has the address to connect to by the address of each target.
"""

import json
import sys
from pathlib import Path
from typing import Any

from cranecart.cli import main
from cranecart.http import Address, HttpConnection


def redirect(redirects: dict[str, str]) -> None:
    """Make connections to some addresses go to others."""
    open_connection = HttpConnection.open

    async def open_redirected(  # noqa: WPS430
        address: Address, *arguments: Any, **options: Any
    ) -> HttpConnection:
        actual = Address.from_text(redirects.get(str(address), str(address)))
        return await open_connection(actual, *arguments, **options)

    HttpConnection.open = open_redirected  # type: ignore[method-assign]


if __name__ == '__main__':
    redirect(json.loads(Path(sys.argv[2]).read_text('utf-8')))
    sys.exit(main(['serve', sys.argv[1]]))
