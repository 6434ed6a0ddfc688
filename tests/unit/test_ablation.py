"""Every mechanism can still be switched off by its edit."""

import ast
import shutil
import tempfile
import unittest
from pathlib import Path

import cranecart
from tools.ablation import MECHANISMS, switch_off
from tools.mutations import MUTATIONS


class MechanismsTest(unittest.TestCase):
    """Edits against the sources as they are."""

    def test_each_edit_finds_its_place_once(self) -> None:
        """One that does not would measure nothing."""
        for mechanism in MECHANISMS:
            with tempfile.TemporaryDirectory() as folder:
                sources = Path(folder) / 'cranecart'
                shutil.copytree(Path(cranecart.__file__).parent, sources)
                switch_off(sources, mechanism)
                edited = (sources / mechanism.file).read_text('utf-8')
                ast.parse(edited)


class MutationsTest(unittest.TestCase):
    """Guards that mutations switch off, in the sources as they are.

    Four of thirty had moved on with the sources, and were noticed by nobody.
    """

    def test_each_guard_is_in_its_file(self) -> None:
        """A mutation that cannot be made proves nothing."""
        sources = Path(cranecart.__file__).parent
        for mutation in MUTATIONS:
            with self.subTest(mutation=mutation.name):
                source = (sources / mutation.file).read_text('utf-8')
                self.assertIn(mutation.guard, source)
                edited = source.replace(mutation.guard, mutation.without)
                ast.parse(edited)
