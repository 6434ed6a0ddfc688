"""Detect requests that crash their targets, and hold them back."""

from cranecart.quarantine._abandoned import AbandonedAttempts
from cranecart.quarantine._case import CaseUpdate, Termination, Verdict
from cranecart.quarantine._cases import CaseRegistry
from cranecart.quarantine._guard import AttemptProgress, RequestGuard
from cranecart.quarantine._identity import request_identity, segment_identity
from cranecart.quarantine._probe import TerminationProbe
from cranecart.quarantine._rows import HeldRows, held_from_rows, held_key
from cranecart.quarantine._runner import NamedRunner, Runner
from cranecart.quarantine._suspect import Suspect

__all__ = (
    'AbandonedAttempts',
    'CaseRegistry',
    'CaseUpdate',
    'Termination',
    'TerminationProbe',
    'HeldRows',
    'NamedRunner',
    'RequestGuard',
    'Runner',
    'Suspect',
    'Verdict',
    'AttemptProgress',
    'held_from_rows',
    'held_key',
    'request_identity',
    'segment_identity',
)
