"""Learn which replicas are slower than declared, together with other nodes.

The load it answers: a third of the replicas becomes six times slower for some
seconds while demand is at its peak, and each of many nodes sends too few
requests to notice that soon. So nodes report what they measured to each other.

A pace is measured by the gaps between the events of a stream. An engine emits
one event of each stream in each pass, however many requests wait, so that gaps
do not grow with a queue. First events do: at a peak they are late at all
replicas. The quickest recent gaps of the same model at this node account for
what slows all replicas alike, such as long prompts or a slow node.
"""

import math
from collections import defaultdict, deque
from collections.abc import Collection, Iterable, Mapping

import attrs

from cranecart.ports import Incarnation

# Gaps in one measurement; the second shortest counts. Longer ones include the
# prompts of other requests, and the shortest may be of events that arrived
# together.
_SAMPLE_SIZE = 4
# Measurements of a model at this node that a new one is compared with, and the
# rank of the usual one: the quickest quarter, as more than a third of the
# replicas may be slow at once.
_RECENT_COUNT = 16
_MIN_RECENT = 4
_USUAL_QUANTILE = 0.25
# By what factor gaps have to be longer than usual for a replica to count as
# slow. The prompts of others double them.
_CLEARLY_SLOW = 2.5
# Where the last measurements at several replicas were all slow, the node or the
# model is slow, and these measurements are the usual ones from now on.
_OWN_SLOWNESS_COUNT = 4
_OWN_SLOWNESS_TARGETS = 3
_MAX_PACE = 16.0
_NEWEST_WEIGHT = 0.5
# Weight of the assumption that a replica is as declared, against 1 for each
# new report. One report of six then counts as three.
_DECLARED_WEIGHT = 0.5
# A measurement loses its weight evenly within this time, so that a replica
# without requests is tried again by a few requests first. It covers the time
# that a few gaps take at a replica that is sixteen times slower.
_EXPIRY_SECONDS = 4.0
# A report is repeated while its measurement is valid. It expires once it was
# missing for several heartbeats, more than reports of many replicas take in turn.
_REPORT_EXPIRY_SECONDS = 2.0
# Measurements as usual are reported, against reports of others, only while they
# are certain.
_REPORT_USUAL_SECONDS = 1.0
# Entries in one report. With those of the relays, 60 nodes that all report slow
# targets send 0.5 KB/s each; many nodes measure few targets a second.
_MAX_REPORTED = 1
# Reported replicas are at least half as slow again as declared.
_MIN_REPORTED_PACE = 1.5
_HUNDREDTHS = 100


@attrs.frozen
class _Measurement:
    """A pace as a logarithm, and when it was measured or received."""

    log_pace: float
    at: float
    valid_seconds: float = _EXPIRY_SECONDS

    def weight(self, now: float) -> float:
        """Return the weight, from 1 for a new measurement down to 0."""
        return max(0, 1 - (now - self.at) / self.valid_seconds)


@attrs.define
class GapSample:
    """Collects the gaps between the events of one stream."""

    _gaps: list[float] = attrs.field(factory=list, init=False)

    def add(self, seconds: float) -> float | None:
        """Add a gap; return the typical one once there are enough."""
        self._gaps.append(seconds)
        if len(self._gaps) < _SAMPLE_SIZE:
            return None
        typical = sorted(self._gaps)[1]
        self._gaps.clear()
        return typical


@attrs.define
class _ModelGaps:
    """By what factors a model's gaps were recently longer than expected."""

    _factors: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=_RECENT_COUNT), init=False
    )
    _last_slow: deque[tuple[Incarnation, bool]] = attrs.field(
        factory=lambda: deque(maxlen=_OWN_SLOWNESS_COUNT), init=False
    )

    @property
    def is_slow_everywhere(self) -> bool:
        """Return whether the last measurements of several replicas were slow."""
        targets = {target for target, is_slow in self._last_slow if is_slow}
        return len(targets) >= _OWN_SLOWNESS_TARGETS and all(
            is_slow for _target, is_slow in self._last_slow
        )

    def add(self, target: Incarnation, factor: float) -> float | None:
        """Return the pace that a factor shows, 1 unless clearly slow.

        Return None while there are too few factors to compare it with.
        """
        self._factors.append(factor)
        if len(self._factors) < _MIN_RECENT:
            return None
        ranked = sorted(self._factors)
        usual = ranked[int((len(ranked) - 1) * _USUAL_QUANTILE)]
        pace = min(_MAX_PACE, factor / max(1, usual))
        is_slow = pace >= _CLEARLY_SLOW
        self._last_slow.append((target, is_slow))
        return pace if is_slow else 1

    def restart(self) -> None:
        """Compare with the last measurements only, all of which were slow."""
        self._last_slow.clear()
        for _number in range(len(self._factors) - _OWN_SLOWNESS_COUNT):
            self._factors.popleft()


@attrs.define
class PaceRegistry:
    """The pace of replicas: 1 as declared, 6 if six times slower.

    ``record`` learns from this node's streams, ``merge`` from other nodes.
    Reports are by instance id, as few bytes are to be sent; after a restart
    they count until they expire or a measurement contradicts them.
    """

    _models: dict[str, _ModelGaps] = attrs.field(
        factory=lambda: defaultdict(_ModelGaps), init=False
    )
    _own: dict[tuple[Incarnation, str], _Measurement] = attrs.field(
        factory=dict, init=False
    )
    _reports: dict[str, dict[str, _Measurement]] = attrs.field(
        factory=dict, init=False
    )
    _reported_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def record(
        self,
        incarnation: Incarnation,
        model: str,
        expected_seconds: float,
        measured_seconds: float,
        now: float,
    ) -> None:
        """Record how long a gap between events is expected to be, and was."""
        gaps = self._models[model]
        pace = gaps.add(incarnation, measured_seconds / expected_seconds)
        if gaps.is_slow_everywhere:
            gaps.restart()
            self._drop_slow(model)
        elif pace is not None:
            self._update(incarnation, model, pace, now)

    def pace(self, incarnation: Incarnation, model: str, now: float) -> float:
        """Return the pace of a replica, at least 1."""
        own = self._own.get((incarnation, model))
        reports = self._reports.get(incarnation.id)
        if not reports and (own is None or not own.log_pace):
            return 1
        measurements = [] if own is None else [own]
        measurements.extend(reports.values() if reports else ())
        return _combined_pace(measurements, now)

    def report_count(self, instance_id: str) -> int:
        """Return how many other nodes or domains reported an instance."""
        return len(self._reports.get(instance_id, ()))

    def slow(self, now: float) -> dict[str, int]:
        """Return what to report: paces in hundredths by instance id.

        These are the replicas that this node measured as slow, and with a pace
        of 100 those that others report as slow and this node just measured as
        usual. Of more than fit into a report, the least recently reported come
        first.
        """
        reportable = {
            incarnation.id: _hundredths(own.log_pace * own.weight(now))
            for (incarnation, _model), own in self._own.items()
            if self._is_reportable(incarnation.id, own, now)
        }
        chosen = sorted(
            reportable, key=lambda name: self._reported_at.get(name, 0)
        )[:_MAX_REPORTED]
        self._reported_at.update(dict.fromkeys(chosen, now))
        return {name: reportable[name] for name in chosen}

    def merge(self, sender: str, slow: Mapping[str, int], now: float) -> None:
        """Merge the report of another node, or of a failure domain."""
        for name, hundredths in slow.items():
            pace = min(_MAX_PACE, max(1, hundredths / _HUNDREDTHS))
            self._reports.setdefault(name, {})[sender] = _Measurement(
                math.log(pace), now, _REPORT_EXPIRY_SECONDS
            )

    def prune(self, listed: Collection[Incarnation], now: float) -> None:
        """Drop what has expired, and incarnations that are not listed."""
        self._own = {
            key: own
            for key, own in self._own.items()
            if key[0] in listed and own.weight(now)
        }
        current_reports = {
            name: {
                sender: report
                for sender, report in reports.items()
                if report.weight(now)
            }
            for name, reports in self._reports.items()
        }
        self._reports = {
            name: reports
            for name, reports in current_reports.items()
            if reports
        }
        self._reported_at = {
            name: at
            for name, at in self._reported_at.items()
            if now - at < _EXPIRY_SECONDS
        }

    def _is_reportable(self, name: str, own: _Measurement, now: float) -> bool:
        if own.log_pace:
            log_pace = own.log_pace * own.weight(now)
            return log_pace > math.log(_MIN_REPORTED_PACE)
        return name in self._reports and now - own.at < _REPORT_USUAL_SECONDS

    def _update(
        self, incarnation: Incarnation, model: str, pace: float, now: float
    ) -> None:
        log_pace = math.log(pace)
        known = self._own.get((incarnation, model))
        if known is not None and known.weight(now):
            log_pace = (
                _NEWEST_WEIGHT * log_pace
                + (1 - _NEWEST_WEIGHT) * known.log_pace
            )
        self._own[incarnation, model] = _Measurement(log_pace, now)

    def _drop_slow(self, model: str) -> None:
        """Drop what was measured as slow, as the model is slow everywhere."""
        self._own = {
            key: own
            for key, own in self._own.items()
            if key[1] != model or not own.log_pace
        }


def _combined_pace(measurements: Iterable[_Measurement], now: float) -> float:
    """Return the mean pace, by weight, together with the declared one."""
    total = float(0)
    total_weight = _DECLARED_WEIGHT
    for measurement in measurements:
        weight = measurement.weight(now)
        total += weight * measurement.log_pace
        total_weight += weight
    return math.exp(total / total_weight)


def _hundredths(log_pace: float) -> int:
    return round(_HUNDREDTHS * math.exp(log_pace))
