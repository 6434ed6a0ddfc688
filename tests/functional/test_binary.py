"""The binary, if it has been built."""

import os
import subprocess
import tempfile
import time
import unittest
from pathlib import Path

import msgspec

from tools.processes import Addresses

_BINARY = Path(__file__).parent.parent.parent / 'dist' / 'cranecart'


@unittest.skipUnless(
    _BINARY.exists(), 'dist/cranecart is missing; build it with make binary'
)
class BinaryTest(unittest.TestCase):
    """The binary runs a node in a single process."""

    def test_running_node_has_no_child_process(self) -> None:
        """The node also works if only the unpacking folder is writable."""
        with tempfile.TemporaryDirectory() as folder:
            settings = self._write_settings(Path(folder))
            process = subprocess.Popen(
                [str(_BINARY), 'node', str(settings)],
                env={**os.environ, 'PEX_ROOT': f'{folder}/pex', 'HOME': '/'},
                cwd='/',
                stderr=subprocess.DEVNULL,
            )
            try:
                self._assert_alone(process)
            finally:
                process.terminate()
                self.assertEqual(process.wait(30), 0)

    def _assert_alone(self, process: subprocess.Popen[bytes]) -> None:
        children = f'/proc/{process.pid}/task/{process.pid}/children'
        time.sleep(15)
        self.assertIsNone(process.poll())
        self.assertEqual(Path(children).read_text('ascii').strip(), '')

    def _write_settings(self, folder: Path) -> Path:
        addresses = Addresses()
        self.addCleanup(addresses.release)
        settings = {
            name: str(addresses.take())
            for name in (
                'client_address',
                'operator_address',
                'peer_address',
                'platform_address',
            )
        }
        settings |= {
            'node_id': 'n',
            'failure_domain': 'd',
            'operator_key_sha256': 'x',
        }
        file = folder / 'node.json'
        encoded = msgspec.json.encode({**settings, 'ready_off_ms': 100})
        file.write_bytes(encoded)
        return file
