"""Headers by which targets announce their limits and their state.

These are limits, back-offs, how long they stay cold, and their leaving.
"""

import re

import attrs

from cranecart.http import ResponseHead
from cranecart.ports import ResponseInfo

_LIMIT = 'server-limit'
_LEAVING = 'server-leaving'
_RETRY_AFTER = 'retry-after'
_COLD = 'cold-ms'
_IS_LEAVING = '1'
# An overloaded target answers with this status, and may ask for a back-off.
_UNAVAILABLE = 503
# Numbers with more digits cannot be intended.
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,20})?', re.ASCII)
# No target accepts a higher rate, and results computed from it stay finite.
MAX_PER_SECOND = 1_000_000.0
# The maximum back-off. Without it, a single wrong value would exclude a target
# for good.
_MAX_BACKOFF_SECONDS = 3600.0
# The longest that a target may stay cold, as one wrong value would limit it for
# good. Targets are cold for some seconds.
MAX_COLD_SECONDS = 300.0
_MILLISECONDS = 1000
# How much of an unreadable header value is logged.
_MAX_LOGGED_CHARACTERS = 40


def with_load_headers(facts: ResponseInfo, head: ResponseHead) -> ResponseInfo:
    """Add a target's limit, back-off, cold time and leaving."""
    if _LIMIT in head.headers:
        facts = _with_limit(facts, head)
    if head.status == _UNAVAILABLE and _RETRY_AFTER in head.headers:
        facts = _with_backoff(facts, head)
    if _COLD in head.headers:
        facts = _with_cold_time(facts, head)
    if _LEAVING in head.headers:
        facts = _with_leaving(facts, head)
    return facts


def _with_cold_time(facts: ResponseInfo, head: ResponseHead) -> ResponseInfo:
    milliseconds = _decimal_value(head, _COLD)
    if milliseconds is None:
        return _with_unreadable(facts, head, _COLD)
    return attrs.evolve(
        facts, cold_seconds=min(milliseconds / _MILLISECONDS, MAX_COLD_SECONDS)
    )


def _with_backoff(facts: ResponseInfo, head: ResponseHead) -> ResponseInfo:
    backoff = _decimal_value(head, _RETRY_AFTER)
    if backoff is None:
        return _with_unreadable(facts, head, _RETRY_AFTER)
    return attrs.evolve(
        facts, backoff_seconds=min(backoff, _MAX_BACKOFF_SECONDS)
    )


def _with_leaving(facts: ResponseInfo, head: ResponseHead) -> ResponseInfo:
    if {value.strip() for value in _header_values(head, _LEAVING)} != {
        _IS_LEAVING
    }:
        return _with_unreadable(facts, head, _LEAVING)
    return attrs.evolve(facts, is_leaving=True)


def _with_limit(facts: ResponseInfo, head: ResponseHead) -> ResponseInfo:
    limit = _decimal_value(head, _LIMIT)
    if limit is None:
        return _with_unreadable(facts, head, _LIMIT)
    return attrs.evolve(facts, limit=min(limit, MAX_PER_SECOND))


def _decimal_value(head: ResponseHead, name: str) -> float | None:
    """Return a header's value, if there is one and it is a decimal number."""
    header_values = _header_values(head, name)
    is_valid = len(header_values) == 1 and _DECIMAL.fullmatch(
        header_values[0].strip()
    )
    return float(header_values[0]) if is_valid else None


def _with_unreadable(
    facts: ResponseInfo,
    head: ResponseHead,
    name: str,
) -> ResponseInfo:
    header_values = ', '.join(_header_values(head, name))
    description = f'{name}: {header_values[:_MAX_LOGGED_CHARACTERS]}'
    return attrs.evolve(facts, unreadable=(*facts.unreadable, description))


def _header_values(head: ResponseHead, name: str) -> list[str]:
    if not head.header_lines:
        return [head.headers[name]]
    return [
        value for line_name, value in head.header_lines if line_name == name
    ]
