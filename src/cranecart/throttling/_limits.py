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
from cranecart.ports import AnswerFacts, Life

# Who told of a limit, in log lines.
_ANSWER = 'an answer'
# A life that is listed no more may come back with its limit, when the store
# has lost its entry for some seconds only.
_UNLISTED_SECONDS = 30.0


class LimitNews(msgspec.Struct, array_like=True, frozen=True):
    """What a node knows of one life's limit, requests a second.

    No limit means that it named one before and does so no more.
    """

    instance: str
    born: int
    version: int
    per_second: float | None

    @property
    def life(self) -> Life:
        """Return the life that the news is of."""
        return Life(self.instance, self.born)

    def is_after(self, other: 'LimitNews') -> bool:
        """Tell whether this counts and the other does not.

        Of two changes that were seen at once, the stricter counts.
        """
        if self.version != other.version:
            return self.version > other.version
        return _strictness(self) < _strictness(other)


@attrs.define
class KnownLimit:
    """The last news of a life; times on the book's clock.

    ``told_at`` is when an answer or another node last said so.
    """

    news: LimitNews
    told_at: float


@attrs.define
class LimitBook:
    """The limits that are in force, and those that ended lately, by life."""

    _clock: Callable[[], float] = since_boot
    _known: dict[Life, KnownLimit] = attrs.field(factory=dict, init=False)
    _unreadable: set[Life] = attrs.field(factory=set, init=False)

    def in_force(self) -> list[LimitNews]:
        """Return the limits that are named now."""
        return [
            one.news
            for one in self._known.values()
            if one.news.per_second is not None
        ]

    def note_answer(
        self,
        life: Life,
        facts: AnswerFacts,
        sent_at: float,
    ) -> LimitNews | None:
        """Take over what an answer names; return what others have to hear.

        ``sent_at`` is when the request was sent that it answers.
        """
        if facts.unreadable:
            self._tell_unreadable(life, facts.unreadable)
        known = self._known.get(life)
        if known is None:
            if facts.limit is None:
                return None
            return self._change(life, 1, facts.limit)
        if facts.limit == known.news.per_second:
            known.told_at = self._clock()
            return None
        if sent_at < known.told_at and not _is_stricter(facts.limit, known):
            # It may be older than the answer that said so.
            return None
        return self._change(life, known.news.version + 1, facts.limit)

    def note_news(self, news: LimitNews, by: str) -> bool:
        """Take over what another node knows; return whether it is new."""
        known = self._known.get(news.life)
        if known is not None and news == known.news:
            known.told_at = self._clock()
        if known is not None and not news.is_after(known.news):
            return False
        self._put(news, by)
        return True

    def forget(self, listed: Collection[Life]) -> None:
        """Forget lives that are listed no more."""
        oldest = self._clock() - _UNLISTED_SECONDS
        self._known = {
            life: known
            for life, known in self._known.items()
            if life in listed or known.told_at > oldest
        }
        self._unreadable.intersection_update(listed)

    def _change(
        self,
        life: Life,
        version: int,
        per_second: float | None,
    ) -> LimitNews:
        news = LimitNews(life.id, life.born, version, per_second)
        self._put(news, _ANSWER)
        return news

    def _put(self, news: LimitNews, by: str) -> None:
        known = self._known.get(news.life)
        decision(
            'target_limit',
            instance=news.instance,
            born=news.born,
            per_second=news.per_second,
            before=known and known.news.per_second,
            for_seconds=known and round(self._clock() - known.told_at, 3),
            by=by,
            version=news.version,
        )
        self._known[news.life] = KnownLimit(news, self._clock())

    def _tell_unreadable(self, life: Life, texts: Iterable[str]) -> None:
        if life not in self._unreadable:
            self._unreadable.add(life)
            decision(
                'target_word_unreadable',
                instance=life.id,
                born=life.born,
                texts=list(texts),
            )


def _strictness(news: LimitNews) -> float:
    return float('inf') if news.per_second is None else news.per_second


def _is_stricter(limit: float | None, known: KnownLimit) -> bool:
    return limit is not None and limit < _strictness(known.news)
