"""The paces of replicas, as measured on the streams of this and other nodes."""

from collections.abc import Callable, Collection, Mapping

import attrs

from cranecart.clocks import since_boot
from cranecart.dispatch import GapSample, PaceRegistry
from cranecart.logs import log_decision
from cranecart.models import EngineProfile
from cranecart.ports import Incarnation

# Replicas that are at least half as slow again as declared are logged as slow.
# They are logged as normal only well below, so that one at the limit is not
# logged again and again.
_SLOW_PACE = 1.5
_NORMAL_PACE = 1.2
# Sending an event takes less than this unless the client reads slowly; a pass
# of an engine takes about 30 ms.
_MAX_SENDING_SECONDS = 0.005


@attrs.define
class TargetPaces:
    """Measures, logs and counts slow replicas; does nothing unless enabled."""

    is_enabled: bool = False
    _clock: Callable[[], float] = since_boot
    registry: PaceRegistry = attrs.field(factory=PaceRegistry, init=False)
    _models: dict[Incarnation, str] = attrs.field(factory=dict, init=False)
    _slow: set[Incarnation] = attrs.field(factory=set, init=False)
    _measurement_count: int = attrs.field(default=0, init=False)
    _became_slow_count: int = attrs.field(default=0, init=False)

    def pace(self, incarnation: Incarnation, model: str) -> float:
        """Return by what factor a replica is slower than declared."""
        if not self.is_enabled:
            return 1
        return self.registry.pace(incarnation, model, self._clock())

    def record(
        self,
        incarnation: Incarnation,
        engine: EngineProfile | None,
        model_name: str,
        load: int,
        gap_seconds: float,
    ) -> None:
        """Record the typical gap between the events of a stream.

        ``load`` is how many requests all nodes have at the replica.
        """
        model = None if engine is None else engine.model(model_name)
        if engine is None or model is None:
            return
        active = min(engine.slots, max(1, load))
        self.registry.record(
            incarnation,
            model_name,
            engine.timing.pass_seconds(active) * model.pace,
            gap_seconds,
            self._clock(),
        )
        self._models[incarnation] = model_name
        self._measurement_count += 1

    def track_stream(
        self,
        incarnation: Incarnation,
        engine: EngineProfile | None,
        model: str,
        load: Callable[[str], int],
    ) -> 'StreamPace':
        """Return a meter for one stream of a replica.

        ``load`` returns how many requests all nodes have at an instance.
        """
        return StreamPace(self, incarnation, engine, model, load, self._clock)

    def report(self) -> dict[str, int]:
        """Return the paces to report to other nodes, in hundredths by id."""
        return self.registry.slow(self._clock()) if self.is_enabled else {}

    def merge(self, sender: str, slow: Mapping[str, int]) -> None:
        """Merge the report of another node or failure domain."""
        if self.is_enabled:
            self.registry.merge(sender, slow, self._clock())

    def refresh(self, listed: Collection[Incarnation]) -> None:
        """Drop what has expired; log replicas that became slow or normal."""
        now = self._clock()
        self.registry.prune(listed, now)
        for incarnation in list(self._models):
            if incarnation not in listed:
                self._models.pop(incarnation)
                self._slow.discard(incarnation)
        for incarnation, model in self._models.items():
            self._log_change(
                incarnation, self.registry.pace(incarnation, model, now)
            )

    def counts(self) -> dict[str, int]:
        """Return metrics by name."""
        if not self.is_enabled:
            return {}
        return {
            'pace_measurements': self._measurement_count,
            'slow_targets': len(self._slow),
            'targets_became_slow': self._became_slow_count,
        }

    def _log_change(self, incarnation: Incarnation, pace: float) -> None:
        if incarnation not in self._slow and pace >= _SLOW_PACE:
            self._slow.add(incarnation)
            self._became_slow_count += 1
            event = 'target_slow'
        elif incarnation in self._slow and pace < _NORMAL_PACE:
            self._slow.discard(incarnation)
            event = 'target_normal'
        else:
            return
        log_decision(
            event,
            instance=incarnation.id,
            born=incarnation.born,
            pace=round(pace, 2),
            reports=self.registry.report_count(incarnation.id),
        )


@attrs.define
class StreamPace:
    """Measures the pace of a replica on one stream."""

    _paces: TargetPaces
    _incarnation: Incarnation
    _engine: EngineProfile | None
    _model: str
    _load: Callable[[str], int]
    _clock: Callable[[], float]
    _sample: GapSample = attrs.field(factory=GapSample, init=False)
    _arrived_at: float | None = attrs.field(default=None, init=False)

    def record_event(self) -> None:
        """Record that an event arrived, before it is sent to the client."""
        previous_at = self._arrived_at
        self._arrived_at = self._clock()
        if previous_at is None or not self._paces.is_enabled:
            return
        typical_gap = self._sample.add(self._arrived_at - previous_at)
        if typical_gap is not None:
            self._paces.record(
                self._incarnation,
                self._engine,
                self._model,
                self._load(self._incarnation.id),
                typical_gap,
            )

    def record_sent(self) -> None:
        """Record that the event was sent to the client.

        If the client was slow to take it, the next gap is not measured.
        """
        arrived_at = self._arrived_at
        if arrived_at and self._clock() - arrived_at > _MAX_SENDING_SECONDS:
            self._arrived_at = None
