"""Every mechanism can still be switched off by its edit."""

import ast
import shutil
import tempfile
import unittest
from pathlib import Path

import cranecart
from tools.ablation import MECHANISMS, switch_off


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
