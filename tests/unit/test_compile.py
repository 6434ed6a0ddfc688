"""Tests of the validation of declarations and of its messages."""

import tempfile
import unittest
from pathlib import Path

from cranecart.config import compile_folder
from cranecart.documents import FindingsError

_ROOT = Path(__file__).parent.parent.parent
_DEPLOYMENT = """// where
{"kind": "deployment", "name": "d", "region": "r", "failure_domains": ["a"]}
"""
_TEMPLATE = """{
  "kind": "template",
  "name": "chat",
  "parameters": {
    "replicas": {"type": "integer", "minimum": 1, "maximum": 4, "default": 1}
  },
  "body": {"models": [{
    "name": "m", "version": "v1",
    "replicas": "${replicas}",
    "instances_per_replica": 4
  }]}
}
"""
_ORGANISATION = """{
  "kind": "organisation",
  "name": "o",
  "key_sha256": ["%s"],
  "limits": {"concurrent_requests": 5, "tokens_per_second": 100},
  "uses": [
    {"template": "chat", "parameters": {"replicas": 2}}
  ]
}
""" % ('0' * 64)


class CompileTest(unittest.TestCase):
    """Tests with a folder of declarations."""

    def setUp(self) -> None:
        """Write a valid folder."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self._write('deployment.json', _DEPLOYMENT)
        self._write('chat.json', _TEMPLATE)
        self._write('o.json', _ORGANISATION)

    def test_examples_compile(self) -> None:
        """The example folders of the repository are valid."""
        for name in ('katyuszerviz', 'atril'):
            declared = compile_folder(_ROOT / 'examples' / name)
            self.assertEqual(declared.deployment, name)
            self.assertEqual(declared.models[0].replicas, 2)

    def test_parameters_are_filled_in(self) -> None:
        """A value that is only a reference keeps the parameter's type."""
        declared = compile_folder(self.folder)
        self.assertEqual(declared.models[0].replicas, 2)
        self.assertEqual(declared.organisations[0].models, ('m',))

    def test_all_errors_are_reported_with_lines(self) -> None:
        """Each finding names its file, line and rule."""
        self._edit('o.json', '"replicas": 2', '"replicas": 9')
        self._edit('o.json', '"limits"', '"limitz"')
        self._edit('chat.json', '"version"', '"versoin"')
        findings = self._findings()
        self.assertIn("o.json:5: unknown key 'limitz'", findings)
        self.assertIn("did you mean 'limits'?", findings)
        self.assertIn('o.json:1: limits: required', findings)

    def test_parameter_over_its_maximum(self) -> None:
        """The finding names the line of the argument."""
        self._edit('o.json', '"replicas": 2', '"replicas": 9')
        self.assertIn('o.json:7: parameter', self._findings())
        self.assertIn('at most 4, found 9', self._findings())

    def test_unknown_template_suggests_a_similar_name(self) -> None:
        """A misspelt name gives a suggestion."""
        self._edit('o.json', '"template": "chat"', '"template": "chta"')
        self.assertIn("did you mean 'chat'?", self._findings())

    def test_unknown_failure_domain(self) -> None:
        """A template may only name declared failure domains."""
        self._edit(
            'chat.json',
            '"instances_per_replica": 4',
            '"instances_per_replica": 4, "failure_domains": ["b"]',
        )
        self.assertIn("unknown failure domain 'b'", self._findings())

    def test_invalid_json_is_reported_with_its_line(self) -> None:
        """The finding for a syntax error has a line."""
        self._edit('o.json', '"name": "o",', '"name": "o"')
        self.assertRegex(self._findings(), r'o\.json:\d+: is not JSON')

    def test_wrong_type(self) -> None:
        """A boolean is not accepted as an integer."""
        self._edit(
            'o.json', '"concurrent_requests": 5', '"concurrent_requests": true'
        )
        self.assertIn('expected int', self._findings())

    def test_missing_key_is_named(self) -> None:
        """The finding names the required key."""
        self._edit('o.json', '"name": "o",', '')
        self.assertIn('name', self._findings())

    def _write(self, name: str, text: str) -> None:
        (self.folder / name).write_text(text, 'utf-8')

    def _edit(self, name: str, old: str, new: str) -> None:
        text = (self.folder / name).read_text('utf-8')
        self.assertIn(old, text)
        self._write(name, text.replace(old, new))

    def _findings(self) -> str:
        with self.assertRaises(FindingsError) as caught:
            compile_folder(self.folder)
        return str(caught.exception)
