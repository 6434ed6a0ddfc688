"""The limits that targets announce, merged between nodes.

A limit belongs to the incarnation that announced it, from the first response
with the limit to the first one without. Nodes have no common clock and
responses overtake each other: each change has a version, of which the larger
wins, and only the response to a request that was sent after the last
announcement ends a limit.
"""

from collections.abc import Callable, Collection, Iterable

import attrs
import msgspec

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ResponseInfo

# The source of a limit that came with a response, in the log.
_RESPONSE_SOURCE = 'an answer'
# How long the limit of an unlisted incarnation is kept: its entry may be
# missing from the store for some seconds only.
_UNLISTED_SECONDS = 30.0
# A limit that no response or other node repeats for this long has ended without
# an announcement to this node.
_LIMIT_EXPIRY_SECONDS = 10.0


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One node's knowledge of an incarnation's limit, in requests per second.

    ``per_second`` is ``None`` if the incarnation announced a limit before and
    has dropped it.
    """

    instance: str
    born: int
    version: int
    per_second: float | None

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that the update belongs to."""
        return Incarnation(self.instance, self.born)

    def supersedes(self, other: 'LimitUpdate') -> bool:
        """Return whether this update replaces the other.

        Of two updates with the same version the stricter one wins.
        """
        if self.version != other.version:
            return self.version > other.version
        return _strictness(self) < _strictness(other)


@attrs.define
class KnownLimit:
    """The latest update of an incarnation; times on the registry's clock.

    ``is_own`` is true if a response to this node announced the limit.
    ``confirmed_at`` is when a response last announced it, ``reported_at`` when
    another node last reported it.
    """

    update: LimitUpdate
    is_own: bool
    changed_at: float
    confirmed_at: float
    reported_at: float

    @property
    def is_in_force(self) -> bool:
        """Return whether a limit is in force."""
        return self.update.per_second is not None

    @property
    def last_seen_at(self) -> float:
        """Return when the update was last confirmed or reported."""
        return max(self.confirmed_at, self.reported_at)


@attrs.define
class LimitRegistry:
    """Limits in force and limits that ended recently, by incarnation."""

    _clock: Callable[[], float] = since_boot
    _known: dict[Incarnation, KnownLimit] = attrs.field(
        factory=dict, init=False
    )
    _unreadable: set[Incarnation] = attrs.field(factory=set, init=False)

    def limit(self, incarnation: Incarnation) -> float | None:
        """Return the limit of an incarnation in requests per second, if any."""
        known = self._known.get(incarnation)
        return None if known is None else known.update.per_second

    def active_limits(self) -> list[LimitUpdate]:
        """Return the limits that are in force."""
        return [
            known.update for known in self._known.values() if known.is_in_force
        ]

    def record_response(
        self,
        incarnation: Incarnation,
        facts: ResponseInfo,
        sent_at: float,
    ) -> LimitUpdate | None:
        """Apply a response's limit; return the update to publish, if any.

        ``sent_at`` is when the request of this response was sent.
        """
        if facts.unreadable:
            self._log_unreadable(incarnation, facts.unreadable)
        known = self._known.get(incarnation)
        if known is None:
            if facts.limit is None:
                return None
            return self._record_change(incarnation, 1, facts.limit)
        if facts.limit == known.update.per_second:
            known.confirmed_at = self._clock()
            return None
        if sent_at < known.confirmed_at and not _is_stricter(
            facts.limit, known
        ):
            # The response may be older than the one that announced the limit.
            return None
        return self._record_change(
            incarnation, known.update.version + 1, facts.limit
        )

    def merge(self, update: LimitUpdate, by: str) -> bool:
        """Merge another node's update; return whether it changed anything."""
        known = self._known.get(update.incarnation)
        if known is not None and update == known.update:
            known.reported_at = self._clock()
        if known is not None and not update.supersedes(known.update):
            return False
        self._store(update, by)
        return True

    def updates_to_republish(
        self,
        sending_to: Collection[Incarnation],
        seconds: float,
    ) -> list[LimitUpdate]:
        """Return the updates that this node has to publish again.

        These are the limits in force of incarnations in ``sending_to``, and two
        kinds of limits that were announced to this node itself: those in force
        that no other node reported within ``seconds``, and those that ended
        within ``seconds``.
        """
        oldest = self._clock() - seconds
        return [
            known.update
            for incarnation, known in self._known.items()
            if _needs_republishing(
                known, oldest, is_sending=incarnation in sending_to
            )
        ]

    def prune(
        self,
        listed: Collection[Incarnation],
        sending_to: Collection[Incarnation],
    ) -> None:
        """Drop incarnations that are no longer listed and expired limits."""
        now = self._clock()
        self._known = {
            incarnation: known
            for incarnation, known in self._known.items()
            if (
                incarnation in listed
                or now - known.last_seen_at < _UNLISTED_SECONDS
            )
            and (incarnation in sending_to or _is_current(known, now))
        }
        self._unreadable.intersection_update(listed)

    def _record_change(
        self,
        incarnation: Incarnation,
        version: int,
        per_second: float | None,
    ) -> LimitUpdate:
        update = LimitUpdate(
            incarnation.id, incarnation.born, version, per_second
        )
        self._store(update, _RESPONSE_SOURCE)
        return update

    def _store(self, update: LimitUpdate, by: str) -> None:
        now = self._clock()
        known = self._known.get(update.incarnation)
        log_decision(
            'target_limit',
            instance=update.instance,
            born=update.born,
            per_second=update.per_second,
            before=known and known.update.per_second,
            for_seconds=known and round(now - known.changed_at, 3),
            by=by,
            version=update.version,
        )
        self._known[update.incarnation] = KnownLimit(
            update, by == _RESPONSE_SOURCE, now, now, now
        )

    def _log_unreadable(
        self, incarnation: Incarnation, texts: Iterable[str]
    ) -> None:
        if incarnation not in self._unreadable:
            self._unreadable.add(incarnation)
            log_decision(
                'target_word_unreadable',
                instance=incarnation.id,
                born=incarnation.born,
                texts=list(texts),
            )


def _strictness(update: LimitUpdate) -> float:
    return float('inf') if update.per_second is None else update.per_second


def _is_stricter(limit: float | None, known: KnownLimit) -> bool:
    return limit is not None and limit < _strictness(known.update)


def _needs_republishing(
    known: KnownLimit, oldest: float, *, is_sending: bool
) -> bool:
    if known.is_in_force:
        return is_sending or (known.is_own and known.reported_at < oldest)
    return known.is_own and known.changed_at > oldest


def _is_current(known: KnownLimit, now: float) -> bool:
    return (
        not known.is_in_force
        or now - known.last_seen_at < _LIMIT_EXPIRY_SECONDS
    )
