"""Versions of rows, which rise over all eras of a store.

A store that comes back from a copy gives versions out again. Each return
begins another era, and the era stands above the store's own number, so that
what is newer has the greater version. The sum stays below 2 to the power of
53, as JSON's readers may keep numbers as fractions.
"""

_NUMBERS = 1_000_000_000_000


def make_version(era: int, number: int) -> int:
    """Return the version of what an era's store gave a number."""
    return era * _NUMBERS + number


def era_of(version: int) -> int:
    """Return the era in which a version was given out."""
    return version // _NUMBERS


def store_number_of(version: int) -> int:
    """Return a version's number as the store knows it."""
    return version % _NUMBERS
