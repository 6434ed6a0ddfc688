"""Requests that end the targets that run them: found, told, held."""

from cranecart.quarantine._book import (
    CaseBook,
    CaseNews,
    End,
    Standing,
)
from cranecart.quarantine._guard import RequestGuard, Watch
from cranecart.quarantine._identity import identity_of
from cranecart.quarantine._probe import EndProbe
from cranecart.quarantine._rows import HeldRows, held_from_rows, held_key
from cranecart.quarantine._runner import NamedRunner, Runner

__all__ = (
    'CaseBook',
    'CaseNews',
    'End',
    'EndProbe',
    'HeldRows',
    'NamedRunner',
    'RequestGuard',
    'Runner',
    'Standing',
    'Watch',
    'held_from_rows',
    'held_key',
    'identity_of',
)
