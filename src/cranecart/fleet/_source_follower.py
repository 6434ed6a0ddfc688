"""Follow a source: read a snapshot once, then its changes by long polling.

One node, the shared reader, reads the changes from the store and shares them
with the others, which read for themselves only while there is none.
"""

import random
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

import attrs
import curio

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    HistoryLostError,
    PlatformTimeoutError,
    PlatformUnavailableError,
    ReadAbandonedError,
)
from cranecart.fleet._item_cache import ItemCache
from cranecart.fleet._shared_reader import (
    CHECK_INTERVAL_SECONDS,
    ConditionTimer,
    await_shared_reader,
)
from cranecart.fleet._snapshot_pacing import SnapshotPacing
from cranecart.fleet._store_reachability import StoreReachability
from cranecart.fleet._updates import (
    Extent,
    ItemsConsumer,
    RestoredItemsConsumer,
    SourceUpdate,
    UpdateSharing,
)
from cranecart.logs import log_decision
from cranecart.ports import Source, era_of

Item = TypeVar('Item')

# Each read has a cost, so a long poll takes nearly the maximum that stores
# allow. If one hangs, other nodes take over.
LONG_POLL_SECONDS = 28.0
# Other nodes rely on a reader only if it had an answer within two polls, less
# the overlap of two reads.
_RECENT_READ_POLLS = 1.8
_MIN_RETRY_SECONDS = 0.1
# Length of the poll that shows whether the store is reachable again.
_PROBE_POLL_SECONDS = 0.25
_JITTER = 0.25
# After a longer pause of this process, other nodes have taken over.
_MAX_PAUSE_SECONDS = 3.0
# While a deployment starts, all nodes read and the list grows entry by entry.
# The interval has to be shorter than the quiet period after which placers take
# the list for complete.
_STARTUP_MIN_INTERVAL_SECONDS = 0.15
_STARTUP_SECONDS = 2.0
# Callers may already wait for the changes that a lost history held back.
_SNAPSHOT_POLL_SECONDS = 0.02
# An announced update that has not arrived after this time is read instead.
_MAX_LAG_SECONDS = 0.3
# When the reader stops, each node waits this long per rank, until a heartbeat
# has announced the next reader, so that not all nodes start to read.
_TAKEOVER_STEP_SECONDS = 0.25
# After its first read a node waits two heartbeats for the announcement of a
# shared reader, as it may be passed on by a relay.
_DISCOVERY_SECONDS = 0.5

# If no node has read a source for this long, it counts as an outage, at least
# for this node.
_OUTAGE_SECONDS = 2.0
# After an outage, entries of running instances may be missing for this long.
_REPOPULATION_SECONDS = 2.0


@attrs.define
class SourceFollower(Generic[Item]):
    """Keeps a consumer up to date with one source.

    ``min_interval_seconds`` is the minimum time between two reads, which
    combines changes in quick succession. ``apply_restored`` is called with the
    contents of a store that was restored from a backup. Items that are missing
    there are assumed to exist until they had time to be written again; then
    the source is read completely once more. With ``lacks_items`` it is read
    once more only while that returns true, but then also without a restoration
    of its own: a node may know of lost items from other nodes only.
    """

    name: str
    _source: Source[Item]
    _apply: ItemsConsumer[Item]
    _random: random.Random
    _min_interval_seconds: float = 0
    _sharing: UpdateSharing[Item] | None = None
    _clock: Callable[[], float] = since_boot
    _reachability: StoreReachability = attrs.field(factory=StoreReachability)
    _apply_restored: RestoredItemsConsumer[Item] | None = None
    _lacks_items: Callable[[], bool] | None = None
    _version: int = attrs.field(default=-1, init=False)
    _last_change_version: int = attrs.field(default=-1, init=False)
    _has_snapshot: bool = attrs.field(default=False, init=False)
    _read_at: float = attrs.field(default=float('-inf'), init=False)
    _running_read_at: float = attrs.field(default=float('-inf'), init=False)
    _retry_seconds: float = attrs.field(default=_MIN_RETRY_SECONDS, init=False)
    _is_unreachable: bool = attrs.field(default=False, init=False)
    _is_stalled: bool = attrs.field(default=False, init=False)
    _last_contact_at: float | None = attrs.field(default=None, init=False)
    _repopulated_at: float = attrs.field(default=0, init=False)
    _started_at: float | None = attrs.field(default=None, init=False)
    _cache: ItemCache[Item] = attrs.field(factory=ItemCache, init=False)
    _resync_at: float = attrs.field(default=float('inf'), init=False)
    _pacing: SnapshotPacing[Item] = attrs.field(
        default=attrs.Factory(
            lambda follower: SnapshotPacing(follower._source, follower._clock),
            takes_self=True,
        ),
        init=False,
    )

    @property
    def is_informed(self) -> bool:
        """Return whether the source was read at least once."""
        return self._version >= 0

    @property
    def has_recent_read(self) -> bool:
        """Return whether the last read is recent enough to rely on."""
        window = _RECENT_READ_POLLS * self._poll_seconds
        if self._sharing is None:
            return self._clock() - self._read_at < window
        # A pause of this process says nothing about the store.
        return (
            self._sharing.clock() - self._running_read_at < window
            and self._clock() - self._read_at < max(window, _MAX_PAUSE_SECONDS)
        )

    @property
    def last_change_version(self) -> int:
        """Return the version of the last change that was applied."""
        return self._last_change_version

    @property
    def is_unreachable(self) -> bool:
        """Return whether the last read failed."""
        return self._is_unreachable

    @property
    def repopulated_at(self) -> float:
        """Return when the source is complete again after an outage.

        Zero if it is complete now.
        """
        return (
            self._repopulated_at if self._clock() < self._repopulated_at else 0
        )

    async def run(self) -> None:
        """Follow until cancelled; start with a complete read.

        Errors of what applies the items are raised.
        """
        self._has_snapshot = False
        while True:
            started = self._clock()
            try:
                await self._read()
            except HistoryLostError as error:
                self._has_snapshot = False
                log_decision('history_lost', source=self.name, why=str(error))
                # The store does not end polls for tables without changes.
                await self._reachability.restart_reads()
                await curio.sleep(self._pacing.pause_seconds)
                await self._await_shared_snapshot()
            except PlatformUnavailableError as error:
                await self._wait_after_failure(error)
            except ReadAbandonedError:
                log_decision('feed_renewed', source=self.name)
            else:
                await self._wait_before_next_read(started)

    def apply_update(self, update: SourceUpdate[Item]) -> None:
        """Apply an update of another node, unless one before it is missing."""
        self._note_contact()
        if not self.is_informed or update.version < self._version:
            return
        if update.extent is not Extent.CHANGES:
            # The first reads of the nodes may have different versions with no
            # change between them.
            first = max(update.since, self._last_change_version)
            if first <= min(update.until, self._version):
                items = self._cache.merged_with(update.items)
                self._apply_snapshot(update.version, items, update.extent)
        elif update.since <= self._version < update.version:
            self._version = update.version
            self._has_snapshot = True
            self._apply_changes(update.version, update.items)

    @property
    def _poll_seconds(self) -> float:
        if self._is_unreachable:
            return _PROBE_POLL_SECONDS
        if self._sharing is None:
            return LONG_POLL_SECONDS
        return self._sharing.poll_seconds

    async def _read(self) -> None:
        if self._has_snapshot and self._clock() < self._resync_at:
            await self._read_changes()
            return
        snapshot = await self._pacing.read()
        if snapshot.version < self._version:
            if self._has_snapshot:
                # Another node's update has arrived meanwhile.
                return
            raise PlatformUnavailableError(
                f'the store returned version {snapshot.version}, which is '
                f'older than version {self._version} that was read before',
            )
        self._note_contact()
        earlier = self._last_change_version
        until = self._version
        extent = self._extent(snapshot.version)
        differences = self._cache.differences(snapshot.items)
        self._apply_snapshot(snapshot.version, snapshot.items, extent)
        # At startup each node reads for itself.
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
        """Return how much of the source a snapshot covers."""
        if not self.is_informed:
            return Extent.COMPLETE
        is_repopulating = self._clock() < self._resync_at < float('inf')
        if is_repopulating or era_of(version) > era_of(self._version):
            return Extent.RESTORED
        return Extent.COMPLETE

    def _apply_snapshot(
        self,
        version: int,
        items: Mapping[str, Item],
        extent: Extent,
    ) -> None:
        earlier = self._version
        self._version = version
        self._last_change_version = version
        self._has_snapshot = True
        self._cache.replace(items)
        if 0 <= earlier and era_of(earlier) < era_of(version):
            self._resync_at = float('inf')
            if self._apply_restored is not None and self._lacks_items is None:
                self._resync_at = self._clock() + _REPOPULATION_SECONDS
            log_decision(
                'source_restored',
                source=self.name,
                earlier=earlier,
                version=version,
                items=len(items),
            )
        elif extent is Extent.COMPLETE or earlier < 0:
            self._resync_at = float('inf')
            self._apply(items, True)
            return
        if self._apply_restored is None:
            self._apply(items, False)
        else:
            self._apply_restored(items)

    async def _read_changes(self) -> None:
        since = self._version
        until_resync = max(0, self._resync_at - self._clock())
        seconds = min(self._poll_seconds, until_resync)
        try:
            changes = await self._reachability.read(
                self._source.changes,
                since,
                seconds,
                lambda: self._source.is_receiving_changes,
            )
        except HistoryLostError:
            # Another node may have read and shared a snapshot meanwhile.
            if self._version == since:
                raise
            return
        self._note_contact()
        self._pacing.record_changes()
        # Another node's update may have arrived meanwhile.
        if changes.version <= self._version:
            return
        earlier = self._last_change_version
        self._version = changes.version
        if not changes.items:
            return
        self._apply_changes(changes.version, changes.items)
        if self._sharing is not None:
            self._sharing.publish(
                SourceUpdate(
                    min(earlier, since), changes.version, changes.items
                ),
            )

    def _apply_changes(
        self,
        version: int,
        items: Mapping[str, Item | None],
    ) -> None:
        self._last_change_version = version
        self._cache.apply_changes(items)
        self._apply(items, False)

    async def _wait_before_next_read(self, started: float) -> None:
        """Wait after a read until this node should read again."""
        if self._is_stalled:
            self._is_stalled = False
            await self._reachability.restart_reads()
        if self._is_unreachable:
            log_decision('source_back', source=self.name, version=self._version)
        self._is_unreachable = False
        self._reachability.mark_reachable()
        self._read_at = self._clock()
        if self._sharing is not None:
            self._running_read_at = self._sharing.clock()
        if (
            self._resync_at == float('inf')
            and self._lacks_items is not None
            and self._lacks_items()
        ):
            self._resync_at = self._read_at + _REPOPULATION_SECONDS
        self._retry_seconds = _MIN_RETRY_SECONDS
        remaining = self._min_interval(started) - (self._clock() - started)
        if remaining > 0:
            await curio.sleep(remaining)
        if self._sharing is not None:
            await self._defer_to_shared_reader(self._sharing, started)

    def _min_interval(self, now: float) -> float:
        if self._started_at is None:
            self._started_at = now
        if self._sharing is None:
            return self._min_interval_seconds
        min_interval = max(
            self._min_interval_seconds, self._sharing.min_interval_seconds()
        )
        is_starting = now - self._started_at < _STARTUP_SECONDS
        return (
            max(min_interval, _STARTUP_MIN_INTERVAL_SECONDS)
            if is_starting
            else min_interval
        )

    async def _await_shared_snapshot(self) -> None:
        """Let nodes of lower rank read after a lost history, and share it."""
        if self._sharing is None or not self.is_informed:
            return
        clock = self._sharing.clock
        until = clock() + _TAKEOVER_STEP_SECONDS * self._sharing.takeover_rank()
        while not self._has_snapshot and clock() < until:
            await curio.sleep(_SNAPSHOT_POLL_SECONDS)

    async def _defer_to_shared_reader(
        self,
        sharing: UpdateSharing[Item],
        started: float,
    ) -> None:
        """Wait while another node reads, or may be about to start."""
        if self._started_at == started:
            await await_shared_reader(sharing, _DISCOVERY_SECONDS)
        had_shared_reader = False
        while await self._follow_shared_reader(sharing):
            had_shared_reader = True
            await await_shared_reader(
                sharing, _TAKEOVER_STEP_SECONDS * sharing.takeover_rank()
            )
        if had_shared_reader:
            # Other nodes rely on this one from now on.
            await self._reachability.restart_reads()

    async def _follow_shared_reader(self, sharing: UpdateSharing[Item]) -> bool:
        """Wait while another node shares what it reads.

        Return whether there was a shared reader that no longer announces
        anything. Otherwise this node has to read for itself at once.
        """
        had_shared_reader = False
        behind = ConditionTimer(sharing.clock)
        overdue = ConditionTimer(sharing.clock)
        announced_version = sharing.announced_version()
        while announced_version is not None:
            had_shared_reader = True
            self._note_contact()
            is_overdue = self._clock() > self._resync_at
            if overdue.seconds(holds=is_overdue) > _MAX_LAG_SECONDS:
                self._log_own_read('restored store not read', announced_version)
                return False
            is_behind = announced_version > self._version
            if behind.seconds(holds=is_behind) > _MAX_LAG_SECONDS:
                self._log_own_read('update missed', announced_version)
                return False
            await curio.sleep(CHECK_INTERVAL_SECONDS)
            announced_version = sharing.announced_version()
        if had_shared_reader:
            self._log_own_read('no reader announced', None)
        return had_shared_reader

    def _log_own_read(self, reason: str, announced_version: int | None) -> None:
        """Log why this node stops relying on the shared reader."""
        log_decision(
            'shared_reader_lost',
            source=self.name,
            why=reason,
            version=self._version,
            announced=announced_version,
            read_age=round(self._clock() - self._read_at, 3),
        )

    def _note_contact(self) -> None:
        """Record that this or another node reaches the source."""
        now = self._clock()
        if (
            self._last_contact_at is not None
            and now - self._last_contact_at > _OUTAGE_SECONDS
        ):
            self._repopulated_at = now + _REPOPULATION_SECONDS
        self._last_contact_at = now

    async def _wait_after_failure(
        self, error: PlatformUnavailableError
    ) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            log_decision('source_lost', source=self.name, why=str(error))
        if isinstance(error, PlatformTimeoutError) and not self._is_stalled:
            self._is_stalled = True
            await self._reachability.restart_reads()
        spread = 1 + self._random.uniform(-_JITTER, _JITTER)
        await self._reachability.wait_to_retry(
            self.name, self._retry_seconds * spread
        )
        self._retry_seconds = min(
            self._reachability.max_retry_seconds, self._retry_seconds * 2
        )
