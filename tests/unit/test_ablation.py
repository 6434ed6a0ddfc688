"""The edits of the ablation and mutation tools still apply to the sources."""

import ast
import shutil
import tempfile
import unittest
from pathlib import Path

import cranecart
from tools.ablation import MECHANISMS, disable
from tools.mutations import MUTATIONS


class AblationEditsTest(unittest.TestCase):
    """The edits that disable mechanisms for the ablation tool."""

    def test_each_edit_applies_exactly_once(self) -> None:
        """An edit that does not apply would leave the mechanism enabled."""
        for mechanism in MECHANISMS:
            with tempfile.TemporaryDirectory() as folder:
                sources = Path(folder) / 'cranecart'
                shutil.copytree(Path(cranecart.__file__).parent, sources)
                disable(sources, mechanism)
                edited = (sources / mechanism.file).read_text('utf-8')
                ast.parse(edited)


class MutationEditsTest(unittest.TestCase):
    """The edits that disable safeguards for the mutation tool.

    Guards against edits that no longer match because the sources have
    changed: this went unnoticed for four of thirty mutations.
    """

    def test_each_edit_applies(self) -> None:
        """A mutation that cannot be applied tests nothing."""
        sources = Path(cranecart.__file__).parent
        for mutation in MUTATIONS:
            with self.subTest(mutation=mutation.name):
                source = (sources / mutation.file).read_text('utf-8')
                self.assertIn(mutation.original, source)
                edited = source.replace(mutation.original, mutation.replacement)
                ast.parse(edited)
