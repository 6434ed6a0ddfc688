"""Settings of a node, as far as its registration needs them."""

from types import SimpleNamespace
from typing import Any


def registration_settings(*, port: int = 1, first_start: bool = False) -> Any:
    """Return those of a node whose address has this port."""
    return SimpleNamespace(
        link_mbps=0,
        node_id='n0',
        peer_address=f'10.0.0.1:{port}',
        peer_request_address='',
        failure_domain='east',
        first_start=first_start,
    )
