"""What targets say in their answers of the load that they take."""

import re

import attrs

from cranecart.http import ResponseHead
from cranecart.ports import AnswerFacts

_LIMIT = 'server-limit'
_LEAVING = 'server-leaving'
_REST = 'retry-after'
_YES = '1'
# What a target answers that is full, with which it may ask for rest.
_FULL = 503
# Figures with more digits say nothing that can be meant.
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,20})?', re.ASCII)
# No target takes more, and what is reckoned from it stays finite.
_MOST_PER_SECOND = 1_000_000.0
# A target that is listed still is asked again after that, or one wrong figure
# would lose it for good.
_LONGEST_REST_SECONDS = 3600.0
# As much of a figure that cannot be read as a log line may hold.
_MOST_TOLD = 40


def with_load_headers(facts: AnswerFacts, head: ResponseHead) -> AnswerFacts:
    """Add what the target says of the load that it takes."""
    if _LIMIT in head.headers:
        facts = _with_limit(facts, head)
    if head.status == _FULL and _REST in head.headers:
        facts = _with_rest(facts, head)
    if _LEAVING in head.headers:
        facts = _with_leaving(facts, head)
    return facts


def _with_rest(facts: AnswerFacts, head: ResponseHead) -> AnswerFacts:
    rest = _figure(head, _REST)
    if rest is None:
        return _with_unreadable(facts, head, _REST)
    return attrs.evolve(facts, rest_seconds=min(rest, _LONGEST_REST_SECONDS))


def _with_leaving(facts: AnswerFacts, head: ResponseHead) -> AnswerFacts:
    if {text.strip() for text in _texts(head, _LEAVING)} != {_YES}:
        return _with_unreadable(facts, head, _LEAVING)
    return attrs.evolve(facts, is_leaving=True)


def _with_limit(facts: AnswerFacts, head: ResponseHead) -> AnswerFacts:
    limit = _figure(head, _LIMIT)
    if limit is None:
        return _with_unreadable(facts, head, _LIMIT)
    return attrs.evolve(facts, limit=min(limit, _MOST_PER_SECOND))


def _figure(head: ResponseHead, name: str) -> float | None:
    """Return the decimal number of a header, if it holds just one."""
    texts = _texts(head, name)
    is_one = len(texts) == 1 and _DECIMAL.fullmatch(texts[0].strip())
    return float(texts[0]) if is_one else None


def _with_unreadable(
    facts: AnswerFacts,
    head: ResponseHead,
    name: str,
) -> AnswerFacts:
    texts = ', '.join(_texts(head, name))
    told = f'{name}: {texts[:_MOST_TOLD]}'
    return attrs.evolve(facts, unreadable=(*facts.unreadable, told))


def _texts(head: ResponseHead, name: str) -> list[str]:
    if not head.header_lines:
        return [head.headers[name]]
    return [text for line_name, text in head.header_lines if line_name == name]
