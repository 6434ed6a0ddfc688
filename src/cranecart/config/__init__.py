"""Compile operators' declarations and compare them."""

from cranecart.config._compile import compile_folder
from cranecart.config._differences import Difference, differences

__all__ = ('Difference', 'compile_folder', 'differences')
