"""Tests of the command line."""

import contextlib
import io
import os
import socket
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from cranecart.cli import main
from cranecart.cli._common import KEY_VARIABLE
from cranecart.cli._registry import COMMANDS, load_command
from cranecart.exit_codes import ExitCode

_EXAMPLES = Path(__file__).parent.parent.parent / 'examples'


def _run(*words: str) -> tuple[int, str, str]:
    """Run a command; return its exit code, output and error output."""
    out = io.StringIO()
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(words)
    return code, out.getvalue(), err.getvalue()


class CommandLineTest(unittest.TestCase):
    """Tests that apply to all commands."""

    def test_every_command_has_help(self) -> None:
        """The help text contains the command's name."""
        for name in COMMANDS:
            with self.subTest(command=name):
                code, out, _ = _run(name, '--help')
                self.assertEqual(code, ExitCode.OK)
                self.assertIn(f'cranecart {name}:', out)

    def test_command_modules_have_the_required_functions(self) -> None:
        """Each defines ``run``, and ``declare_flags`` if it takes flags."""
        for name, command in COMMANDS.items():
            module = load_command(name)
            declares = callable(getattr(module, 'declare_flags', None))
            self.assertEqual(declares, command.takes_flags)
            self.assertTrue(callable(module.run))

    def test_unknown_command_and_flag_are_rejected(self) -> None:
        """Both are reported on standard error."""
        code, _, err = _run('chekc')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("no command 'chekc'", err)
        code, _, err = _run('check', '--jsno', 'x')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn('jsno', err)
        code, _, err = _run('serve', '--jsno')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn('jsno', err)

    def test_unreachable_node(self) -> None:
        """The exit code is that of an unavailable service."""
        os.environ[KEY_VARIABLE] = 'key'
        self.addCleanup(os.environ.pop, KEY_VARIABLE)
        code, _, err = _run('status', '--node_address=127.0.0.1:1')
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn('cannot be reached', err)


class KeyTest(unittest.TestCase):
    """Tests of the operators' key in the environment."""

    def test_missing_key(self) -> None:
        """The error names the environment variable."""
        code, _, err = _run('status')
        self.assertEqual(code, ExitCode.FAILED)
        self.assertIn(KEY_VARIABLE, err)

    def test_key_that_is_invalid_in_a_header(self) -> None:
        """The command reports the error instead of a traceback."""
        os.environ[KEY_VARIABLE] = 'two\nlines'
        self.addCleanup(os.environ.pop, KEY_VARIABLE)
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
            code, _, err = _run('status', f'--node_address=127.0.0.1:{port}')
        self.assertNotEqual(code, ExitCode.OK)
        self.assertIn('not valid HTTP', err)


class CheckTest(unittest.TestCase):
    """Tests of ``check``, which needs no node."""

    def test_valid_folder(self) -> None:
        """The output summarises the declarations."""
        code, out, _ = _run('check', str(_EXAMPLES / 'atril'))
        self.assertEqual(code, ExitCode.OK)
        self.assertIn('1 models', out)

    def test_invalid_folder(self) -> None:
        """Findings have files and lines, as text and as JSON."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / 'x.json'
            file.write_text('{\n"kind": "templaet"}', 'utf-8')
            code, _, err = _run('check', folder)
            self.assertEqual(code, ExitCode.INVALID_DECLARATION)
            self.assertIn("x.json:2: unknown kind 'templaet'", err)
            self.assertIn("did you mean 'template'?", err)
            code, out, _ = _run('check', '--json', folder)
        self.assertEqual(code, ExitCode.INVALID_DECLARATION)
        self.assertEqual(msgspec.json.decode(out)['findings'][0]['line'], 2)

    def test_missing_folder(self) -> None:
        """It is reported like any other finding."""
        code, _, err = _run('check', '/nowhere')
        self.assertEqual(code, ExitCode.INVALID_DECLARATION)
        self.assertIn('needs exactly one deployment file', err)


class ExplainTest(unittest.TestCase):
    """Tests of ``explain``."""

    def test_decisions_about_an_id(self) -> None:
        """Ids in lists are found too, and other lines are ignored."""
        lines = (
            {'name': 'cranecart.decisions', 'event': 'routed', 'request': 'a'},
            {
                'name': 'cranecart.decisions',
                'event': 'placed',
                'members': ['a'],
            },
            {'name': 'cranecart.decisions', 'event': 'routed', 'request': 'b'},
            {'name': 'other', 'request': 'a'},
        )
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / 'log'
            encoded = [msgspec.json.encode(line) for line in lines]
            log.write_bytes(b'\n'.join((b'plain text', *encoded)))
            code, out, _ = _run('explain', 'a', str(log))
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(len(out.splitlines()), 2)

    def test_quarantined_request(self) -> None:
        """Targets that ended in its other attempts are shown, from any node."""
        lines = (
            {
                'event': 'target_ended',
                'identity': 'd1',
                'instance': 'i1',
                'node': 'n2',
                'source': 'seen here',
            },
            {'event': 'target_ended', 'identity': 'd2', 'instance': 'i2'},
            {'event': 'held', 'request': 'a', 'identity': 'd1', 'node': 'n1'},
        )
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / 'log'
            log.write_bytes(b'\n'.join(map(msgspec.json.encode, lines)))
            _code, out, _ = _run('explain', 'a', str(log))
        self.assertIn('n2 target_ended', out)
        self.assertEqual(len(out.splitlines()), 2)

    def test_id_without_decisions(self) -> None:
        """The command reports that there are none and fails."""
        code, out, _ = _run('explain', 'zzz', sys.executable)
        self.assertEqual(code, ExitCode.FAILED)
        self.assertIn('nothing was decided about zzz', out)
