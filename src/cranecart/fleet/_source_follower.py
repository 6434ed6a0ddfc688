"""Follow a source: read it whole once, then by its changes.

One node reads the changes from the store and passes them on to the others,
who read for themselves only while nobody does that for them.
"""

import random
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    HistoryLostError,
    PlatformSilentError,
    PlatformUnavailableError,
    ReadRenewedError,
)
from cranecart.fleet._item_cache import ItemCache
from cranecart.fleet._store_reachability import StoreReachability
from cranecart.fleet._updates import (
    Extent,
    ItemsConsumer,
    RestoredItemsConsumer,
    SourceUpdate,
    UpdateSharing,
)
from cranecart.logs import decision
from cranecart.ports import Source, era_of

Item = TypeVar('Item')

# How long one read waits for changes, nearly the longest that stores allow, as
# each costs; a read that hangs is made up for by other nodes.
LONG_POLL_SECONDS = 28.0
# A reader whose path to the store has not shown to be good for two waits, less
# what two reads overlap, is not relied on.
_PROVEN_WAITS = 1.8
_FIRST_PAUSE_SECONDS = 0.1
# How long a read waits that shows whether the store is back.
_PROBE_SECONDS = 0.25
_JITTER = 0.25
# Beats come more seldom, and each look wakes an idle node.
_FED_LOOK_SECONDS = 0.1
# While a deployment starts, all nodes read and the list fills entry by entry.
# It stays below the rest by which placers tell that the list is whole.
_START_GAP_SECONDS = 0.15
_START_SECONDS = 2.0
# News that was announced but has not come for this long is read.
_BEHIND_SECONDS = 0.3
# How long each turn of nodes waits for those before it when a reader is gone,
# so that not all of them begin to read: until a beat has told of the next.
_TURN_SECONDS = 0.25
# After its first reading a node waits for so long for another that goes on
# reading: two beats, as a relay may have to speak first.
_MEET_SECONDS = 0.5

# A source that nobody has read for so long was away, for this node at least.
_AWAY_SECONDS = 2.0
# How long after a source's return it may lack what lives.
_FILLING_SECONDS = 2.0


@attrs.define
class SourceFollower(Generic[Item]):
    """Keeps a taker up to date with one source.

    ``gap_seconds`` is the least time between two reads, so that changes in
    quick succession come together. ``take_restored`` takes what a store holds
    that has come back from a copy. What that lacks counts as there until it had
    time to be written again; then all is read once more.
    """

    name: str
    _source: Source[Item]
    _take: ItemsConsumer[Item]
    _random: random.Random
    _gap_seconds: float = 0
    _sharing: UpdateSharing[Item] | None = None
    _clock: Callable[[], float] = since_boot
    _path: StoreReachability = attrs.field(factory=StoreReachability)
    _apply_restored: RestoredItemsConsumer[Item] | None = None
    _version: int = attrs.field(default=-1, init=False)
    _changed_version: int = attrs.field(default=-1, init=False)
    _is_whole: bool = attrs.field(default=False, init=False)
    _read_at: float = attrs.field(default=float('-inf'), init=False)
    _pause: float = attrs.field(default=_FIRST_PAUSE_SECONDS, init=False)
    _is_lost: bool = attrs.field(default=False, init=False)
    _is_silent: bool = attrs.field(default=False, init=False)
    _fresh_at: float | None = attrs.field(default=None, init=False)
    _filled_at: float = attrs.field(default=0, init=False)
    _started_at: float | None = attrs.field(default=None, init=False)
    _held: ItemCache[Item] = attrs.field(factory=ItemCache, init=False)
    _check_at: float = attrs.field(default=float('inf'), init=False)

    @property
    def is_informed(self) -> bool:
        """Tell whether the source was read at least once."""
        return self._version >= 0

    @property
    def has_recent_read(self) -> bool:
        """Tell whether this node has read so lately that others may rely."""
        window = _PROVEN_WAITS * self._wait_seconds
        return self._clock() - self._read_at < window

    @property
    def last_change_version(self) -> int:
        """Return the version of the last change that was taken over."""
        return self._changed_version

    @property
    def is_unreachable(self) -> bool:
        """Tell whether the last reading failed."""
        return self._is_lost

    @property
    def repopulated_at(self) -> float:
        """Return when the source holds all again; zero if it does now."""
        return self._filled_at if self._clock() < self._filled_at else 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            started = self._clock()
            try:
                await self._read()
            except HistoryLostError as error:
                self._is_whole = False
                decision('history_lost', source=self.name, why=str(error))
            except PlatformUnavailableError as error:
                await self._wait_after(error)
            except ReadRenewedError:
                decision('feed_renewed', source=self.name)
            else:
                await self._rest(started)

    def apply_update(self, news: SourceUpdate[Item]) -> None:
        """Take over what another node has read, if nothing is between."""
        self._note_fresh()
        if not self._is_whole or news.version < self._version:
            return
        if news.extent is not Extent.CHANGES:
            # First readings are of various versions, with no change between.
            first = max(news.since, self._changed_version)
            if first <= min(news.until, self._version):
                items = self._held.changed_by(news.items)
                self._take_all(news.version, items, news.extent)
        elif news.since <= self._version < news.version:
            self._version = news.version
            self._take_changes(news.version, news.items)

    @property
    def _wait_seconds(self) -> float:
        if self._is_lost:
            return _PROBE_SECONDS
        if self._sharing is None:
            return LONG_POLL_SECONDS
        return self._sharing.wait_seconds

    async def _read(self) -> None:
        if self._is_whole and self._clock() < self._check_at:
            await self._read_changes()
            return
        snapshot = await self._source.snapshot()
        if snapshot.version < self._version:
            if self._is_whole:
                # Another node's news has come meanwhile.
                return
            raise PlatformUnavailableError('the store answers with the past')
        self._note_fresh()
        earlier = self._changed_version
        until = self._version
        extent = self._extent(snapshot.version)
        differences = self._held.differences(snapshot.items)
        self._take_all(snapshot.version, snapshot.items, extent)
        # At a start each node reads for itself.
        if earlier >= 0 and self._sharing is not None:
            self._sharing.publish(
                SourceUpdate(
                    earlier,
                    snapshot.version,
                    differences,
                    extent,
                    until,
                ),
            )

    def _extent(self, version: int) -> Extent:
        """Return what a whole reading holds."""
        if not self.is_informed:
            return Extent.COMPLETE
        is_filling = self._clock() < self._check_at < float('inf')
        if is_filling or era_of(version) > era_of(self._version):
            return Extent.RESTORED
        return Extent.COMPLETE

    def _take_all(
        self,
        version: int,
        items: Mapping[str, Item],
        extent: Extent,
    ) -> None:
        earlier = self._version
        self._version = version
        self._changed_version = version
        self._is_whole = True
        self._held.replace(items)
        if 0 <= earlier and era_of(earlier) < era_of(version):
            if self._apply_restored is not None:
                self._check_at = self._clock() + _FILLING_SECONDS
            decision(
                'source_restored',
                source=self.name,
                earlier=earlier,
                version=version,
                items=len(items),
            )
        elif extent is Extent.COMPLETE or earlier < 0:
            self._check_at = float('inf')
            self._take(items, True)
            return
        if self._apply_restored is None:
            self._take(items, False)
        else:
            self._apply_restored(items)

    async def _read_changes(self) -> None:
        since = self._version
        until_check = max(0, self._check_at - self._clock())
        seconds = min(self._wait_seconds, until_check)
        try:
            changes = await self._path.ask(
                self._source.changes,
                since,
                seconds,
            )
        except HistoryLostError:
            # Another node may have read everything and passed it on meanwhile.
            if self._version == since:
                raise
            return
        self._note_fresh()
        # Another node's news may have come meanwhile.
        if changes.version <= self._version:
            return
        earlier = self._changed_version
        self._version = changes.version
        if not changes.items:
            return
        self._take_changes(changes.version, changes.items)
        if self._sharing is not None:
            self._sharing.publish(
                SourceUpdate(
                    min(earlier, since), changes.version, changes.items
                ),
            )

    def _take_changes(
        self,
        version: int,
        items: Mapping[str, Item | None],
    ) -> None:
        self._changed_version = version
        self._held.change(items)
        self._take(items, False)

    async def _rest(self, started: float) -> None:
        """Wait after a reading, until this node should read again."""
        if self._is_silent:
            self._is_silent = False
            await self._path.renew()
        if self._is_lost:
            decision('source_back', source=self.name, version=self._version)
        self._is_lost = False
        self._path.find()
        self._read_at = self._clock()
        self._pause = _FIRST_PAUSE_SECONDS
        rest = self._gap(started) - (self._clock() - started)
        if rest > 0:
            await curio.sleep(rest)
        if self._sharing is not None:
            await self._leave_to_others(self._sharing, started)

    def _gap(self, now: float) -> float:
        if self._started_at is None:
            self._started_at = now
        if self._sharing is None:
            return self._gap_seconds
        gap = max(self._gap_seconds, self._sharing.gap_seconds())
        is_starting = now - self._started_at < _START_SECONDS
        return max(gap, _START_GAP_SECONDS) if is_starting else gap

    async def _leave_to_others(
        self,
        sharing: UpdateSharing[Item],
        started: float,
    ) -> None:
        """Wait while another node reads, or may be about to."""
        if self._started_at == started:
            await self._meet_feeder(_MEET_SECONDS)
        was_fed = False
        while await self._be_fed():
            was_fed = True
            await self._meet_feeder(_TURN_SECONDS * sharing.turn())
        if was_fed:
            # Others rely on this node from now on.
            await self._path.renew()

    async def _meet_feeder(self, seconds: float) -> None:
        """Wait for a while for the word of another node that reads."""
        until = self._clock() + seconds
        while self._announced() is None and self._clock() < until:
            await curio.sleep(_FED_LOOK_SECONDS)

    async def _be_fed(self) -> bool:
        """Wait while another node passes on what it reads.

        Return whether there was one that has gone; otherwise this node reads.
        """
        was_fed = False
        behind_since: float | None = None
        announced_version = self._announced()
        while announced_version is not None:
            was_fed = True
            self._note_fresh()
            if self._clock() > self._check_at + _BEHIND_SECONDS:
                return False
            if announced_version <= self._version:
                behind_since = None
            elif behind_since is None:
                behind_since = self._clock()
            elif self._clock() - behind_since > _BEHIND_SECONDS:
                return False
            await curio.sleep(_FED_LOOK_SECONDS)
            announced_version = self._announced()
        return was_fed

    def _announced(self) -> int | None:
        return (
            None if self._sharing is None else self._sharing.announced_version()
        )

    def _note_fresh(self) -> None:
        """Take over that somebody's path to the source is good now."""
        now = self._clock()
        if self._fresh_at is not None and now - self._fresh_at > _AWAY_SECONDS:
            self._filled_at = now + _FILLING_SECONDS
        self._fresh_at = now

    async def _wait_after(self, error: PlatformUnavailableError) -> None:
        if not self._is_lost:
            self._is_lost = True
            decision('source_lost', source=self.name, why=str(error))
        if isinstance(error, PlatformSilentError) and not self._is_silent:
            self._is_silent = True
            await self._path.renew()
        spread = 1 + self._random.uniform(-_JITTER, _JITTER)
        await self._path.wait(self.name, self._pause * spread)
        self._pause = min(self._path.max_retry_seconds, self._pause * 2)
