"""When a node reports to its load balancer that it is ready."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec

from cranecart.logs import set_up_log_queue
from cranecart.models import ClientLimits
from cranecart.serving import ServingNode
from cranecart.serving._factories import server_limits
from cranecart.settings import LiveSettings, ServingSettings
from tests.lib.fake_targets import CONFIG


def _settings(**changes: object) -> bytes:
    address = '127.0.0.1:0'
    fields = {
        'node_id': 'n',
        'failure_domain': 'east',
        'client_address': address,
        'ready_address': address,
        'peer_address': address,
        'metrics_address': address,
        'platform_address': address,
    }
    return msgspec.json.encode({**fields, **changes})


def _node(file: Path) -> Any:
    live = LiveSettings(ServingSettings.from_file(file), file)
    return ServingNode(live, set_up_log_queue('error', 'n'))


class ReadinessTest(unittest.TestCase):
    """Each condition without which a node must not get connections."""

    def setUp(self) -> None:
        """Build a node that meets all conditions; nothing runs."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = Path(directory.name) / 'node.json'
        self.file.write_bytes(_settings(max_descriptors=1200.5))
        self.node = _node(self.file)
        self.node._active_config._config = CONFIG
        self.node._followers = SimpleNamespace(
            is_informed=True,
            announced_versions=dict,
        )
        self.node._client_server = SimpleNamespace(is_full=False, limits=None)

    def tearDown(self) -> None:
        """Close the sockets."""
        self.node._mesh.close()

    def test_ready(self) -> None:
        """A node that meets all conditions is ready."""
        self.assertTrue(self.node._is_ready())

    def test_full(self) -> None:
        """A node at its connection limit is not ready."""
        self.node._client_server.is_full = True
        self.assertFalse(self.node._is_ready())

    def test_missing_data(self) -> None:
        """A node without configuration or targets is not ready."""
        self.node._followers.is_informed = False
        self.assertFalse(self.node._is_ready())
        self.node._followers.is_informed = True
        self.node._active_config._config = None
        self.assertFalse(self.node._is_ready())

    def test_stopping(self) -> None:
        """A stopping node is not ready."""
        self.node._is_stopping = True
        self.assertFalse(self.node._is_ready())

    def test_descriptors_are_left_for_targets(self) -> None:
        """A new configuration keeps the limit that leaves descriptors free."""
        self.assertLessEqual(self._connections(), 600)
        self.assertGreaterEqual(self._connections(), 500)
        self.file.write_bytes(_settings(max_descriptors=100))
        settings = ServingSettings.from_file(self.file)
        limits = server_limits(settings, ClientLimits())
        self.assertGreater(limits.connections, 0)

    def _connections(self) -> int:
        self.node._apply_client_limits(CONFIG)
        limit: int = self.node._client_server.limits.connections
        return limit
