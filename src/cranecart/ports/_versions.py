"""Row versions that increase across restores of the store.

A store that is restored from a backup reuses version numbers. Each restore
begins a new era, which forms the high part of a version, so that newer rows
have greater versions. Versions stay below 2 to the power of 53, as JSON
readers may store numbers as floats.
"""

_NUMBERS_PER_ERA = 1_000_000_000_000


def make_version(era: int, number: int) -> int:
    """Combine an era and the store's number into a version."""
    return era * _NUMBERS_PER_ERA + number


def era_of(version: int) -> int:
    """Return the era in which a version was issued."""
    return version // _NUMBERS_PER_ERA


def store_number_of(version: int) -> int:
    """Return the store's own number of a version."""
    return version % _NUMBERS_PER_ERA
