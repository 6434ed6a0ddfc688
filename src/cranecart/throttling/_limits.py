"""Which targets have named a limit, and who has to be told.

A limit holds for the life that named it, from the first answer with it to the
first one without. Nodes have no common clock, and answers pass each other: each
change has a version, the larger of which counts, and only the answer to a
request that was sent after the limit was last named ends it.
"""

from collections.abc import Callable, Collection, Iterable

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.logs import decision
from cranecart.ports import AnswerFacts, Incarnation

# Who told of a limit, in log lines.
_ANSWER = 'an answer'
# A life that is listed no more may come back with its limit, when the store
# has lost its entry for some seconds only.
_UNLISTED_SECONDS = 30.0
# A limit that nobody repeats has ended without this node's hearing of it.
_BELIEVED_SECONDS = 10.0


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What a node knows of one life's limit, requests a second.

    No limit means that it named one before and does so no more.
    """

    instance: str
    born: int
    version: int
    per_second: float | None

    @property
    def incarnation(self) -> Incarnation:
        """Return the life that the news is of."""
        return Incarnation(self.instance, self.born)

    def supersedes(self, other: 'LimitUpdate') -> bool:
        """Tell whether this counts and the other does not.

        Of two changes that were seen at once, the stricter counts.
        """
        if self.version != other.version:
            return self.version > other.version
        return _strictness(self) < _strictness(other)


@attrs.define
class KnownLimit:
    """The last news of a life; times on the book's clock.

    It ``is_own`` if an answer to this node said so, last at ``named_at``;
    other nodes said so last at ``heard_at``.
    """

    update: LimitUpdate
    is_own: bool
    changed_at: float
    confirmed_at: float
    heard_at: float

    @property
    def is_in_force(self) -> bool:
        """Tell whether the life names a limit."""
        return self.update.per_second is not None

    @property
    def last_seen_at(self) -> float:
        """Return when this was said last."""
        return max(self.confirmed_at, self.heard_at)


@attrs.define
class LimitRegistry:
    """The limits that are in force, and those that ended lately, by life."""

    _clock: Callable[[], float] = since_boot
    _known: dict[Incarnation, KnownLimit] = attrs.field(
        factory=dict, init=False
    )
    _unreadable: set[Incarnation] = attrs.field(factory=set, init=False)

    def limit(self, incarnation: Incarnation) -> float | None:
        """Return the limit that a life names, if it names one."""
        known = self._known.get(incarnation)
        return None if known is None else known.update.per_second

    def active_limits(self) -> list[LimitUpdate]:
        """Return the limits that are named now."""
        return [one.update for one in self._known.values() if one.is_in_force]

    def record_response(
        self,
        incarnation: Incarnation,
        facts: AnswerFacts,
        sent_at: float,
    ) -> LimitUpdate | None:
        """Take over what an answer names; return what others have to hear.

        ``sent_at`` is when the request was sent that it answers.
        """
        if facts.unreadable:
            self._log_unreadable(incarnation, facts.unreadable)
        known = self._known.get(incarnation)
        if known is None:
            if facts.limit is None:
                return None
            return self._change(incarnation, 1, facts.limit)
        if facts.limit == known.update.per_second:
            known.confirmed_at = self._clock()
            return None
        if sent_at < known.confirmed_at and not _is_stricter(
            facts.limit, known
        ):
            # It may be older than the answer that said so.
            return None
        return self._change(incarnation, known.update.version + 1, facts.limit)

    def merge(self, news: LimitUpdate, by: str) -> bool:
        """Take over what another node knows; return whether it is new."""
        known = self._known.get(news.incarnation)
        if known is not None and news == known.update:
            known.heard_at = self._clock()
        if known is not None and not news.supersedes(known.update):
            return False
        self._store(news, by)
        return True

    def updates_to_repeat(
        self,
        sends: Collection[Incarnation],
        seconds: float,
    ) -> list[LimitUpdate]:
        """Return what this node has to say again.

        That is what it ``sends`` by; and of what it was told itself, what has
        ended in so many ``seconds``, or was said by no other node in them.
        """
        oldest = self._clock() - seconds
        return [
            known.update
            for incarnation, known in self._known.items()
            if _is_to_repeat(known, oldest, is_sent=incarnation in sends)
        ]

    def prune(
        self, listed: Collection[Incarnation], sends: Collection[Incarnation]
    ) -> None:
        """Forget lives that are listed no more, and limits nobody repeats."""
        now = self._clock()
        self._known = {
            incarnation: known
            for incarnation, known in self._known.items()
            if (
                incarnation in listed
                or now - known.last_seen_at < _UNLISTED_SECONDS
            )
            and (incarnation in sends or _is_believed(known, now))
        }
        self._unreadable.intersection_update(listed)

    def _change(
        self,
        incarnation: Incarnation,
        version: int,
        per_second: float | None,
    ) -> LimitUpdate:
        news = LimitUpdate(
            incarnation.id, incarnation.born, version, per_second
        )
        self._store(news, _ANSWER)
        return news

    def _store(self, news: LimitUpdate, by: str) -> None:
        now = self._clock()
        known = self._known.get(news.incarnation)
        decision(
            'target_limit',
            instance=news.instance,
            born=news.born,
            per_second=news.per_second,
            before=known and known.update.per_second,
            for_seconds=known and round(now - known.changed_at, 3),
            by=by,
            version=news.version,
        )
        self._known[news.incarnation] = KnownLimit(
            news, by == _ANSWER, now, now, now
        )

    def _log_unreadable(
        self, incarnation: Incarnation, texts: Iterable[str]
    ) -> None:
        if incarnation not in self._unreadable:
            self._unreadable.add(incarnation)
            decision(
                'target_word_unreadable',
                instance=incarnation.id,
                born=incarnation.born,
                texts=list(texts),
            )


def _strictness(news: LimitUpdate) -> float:
    return float('inf') if news.per_second is None else news.per_second


def _is_stricter(limit: float | None, known: KnownLimit) -> bool:
    return limit is not None and limit < _strictness(known.update)


def _is_to_repeat(known: KnownLimit, oldest: float, *, is_sent: bool) -> bool:
    if known.is_in_force:
        return is_sent or (known.is_own and known.heard_at < oldest)
    return known.is_own and known.changed_at > oldest


def _is_believed(known: KnownLimit, now: float) -> bool:
    return not known.is_in_force or now - known.last_seen_at < _BELIEVED_SECONDS
