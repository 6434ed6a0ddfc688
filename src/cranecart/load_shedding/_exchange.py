"""What a node publishes of its offered load, and what it hears of others.

Nodes publish only while a model is short, so a calm deployment sends nothing.
"""

import base64
import functools
import zlib
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

import attrs

from cranecart.load_shedding._meter import OfferedLoadMeter
from cranecart.load_shedding._offered import OTHERS, OfferedLoad
from cranecart.load_shedding._plan import AdmissionPlan, plan_admission

# How long a deferred or refused request counts as a sign of a shortage: as
# long as the meter's window, so that a surge is measured once it is noticed.
_SHORTAGE_SECONDS = 2.0
# Reports are sent once a second, not with each heartbeat, to stay under 0.5 KB/s a
# node for the organisations in the summaries of three failure domains.
_REPORT_SECONDS = 1.0
# One report may be lost before a sender's load no longer counts.
_REPORT_VALID_SECONDS = 2.5
# Organisations listed for each model and rank. At twice the load that fits, no
# more than five of 24 organisations with Zipf-distributed demand (exponent
# 1.2) exceed their share; all others are admitted alike.
_MAX_ORGANISATIONS = 5
# Loads are published in thousandths of a replica, as whole numbers, which take
# three bytes on the wire instead of nine.
_UNITS_PER_REPLICA = 1000
# Part of the open replicas' time that is planned. With all of it, queues are so
# long that most admitted requests miss their objective: in simulation, at twice
# the load that fits, 0.24 of the more urgent class were in time with 1.0 and
# 0.29 with 0.8. From 0.65 to 0.8 little changes, as spare slots are used.
_PLANNED_UTILIZATION = 0.7
# A plan is used this long before it is made anew; reports come once a second.
_PLAN_SECONDS = 0.25
_MODEL_DIGITS = 2
_ORGANISATION_DIGITS = 3
_MARKER = '!'
_MAX_CACHED_NAMES = 1000
# One digit on the wire; the platform has no higher rank.
_MAX_RANK = 9


@functools.lru_cache(maxsize=_MAX_CACHED_NAMES)
def _digest(name: str, digits: int) -> str:
    """Return a short name for the wire, the same at all nodes."""
    if not name:
        return ''
    checksum = zlib.crc32(name.encode()).to_bytes(4)
    return base64.b85encode(checksum).decode()[-digits:]


def _load_key(model: str, rank: int, organisation: str) -> OfferedLoad:
    return OfferedLoad(
        _digest(model, _MODEL_DIGITS),
        min(rank, _MAX_RANK),
        _digest(organisation, _ORGANISATION_DIGITS),
    )


# A model and a rank; a load and its organisation.
_Group = tuple[str, int]
_Member = tuple[float, str]
# When a plan was made, for how many replicas, and the plan.
_CachedPlan = tuple[float, int, AdmissionPlan | None]
_NO_PLAN: _CachedPlan = (float('-inf'), 0, None)


@attrs.frozen
class _Report:
    loads: Mapping[OfferedLoad, float]
    short_models: frozenset[str]
    failure_domain: str
    is_summary: bool
    received_at: float

    @classmethod
    def from_wire(
        cls,
        failure_domain: str,
        encoded: Mapping[str, float],
        now: float,
        *,
        is_summary: bool,
    ) -> '_Report':
        """Decode a report; keys that are not understood are left out."""
        short_models = set()
        loads = {}
        for text, amount in encoded.items():
            model, kind = text[:_MODEL_DIGITS], text[_MODEL_DIGITS:]
            if kind == _MARKER:
                short_models.add(model)
            elif kind[:1].isdigit():
                key = OfferedLoad(model, int(kind[0]), kind[1:])
                loads[key] = amount / _UNITS_PER_REPLICA
        return cls(
            loads, frozenset(short_models), failure_domain, is_summary, now
        )

    def to_wire(self) -> dict[str, float]:
        """Encode the models that are short, bounded in size."""
        encoded: dict[str, float] = {
            f'{model}{_MARKER}': 1 for model in self.short_models
        }
        for key, load in _largest(self.loads):
            text = f'{key.model}{key.rank}{key.organisation}'
            encoded[text] = round(load * _UNITS_PER_REPLICA)
        return encoded


@attrs.define
class LoadExchange:
    """The offered loads of all nodes, and the plans that follow from them.

    A report lists loads by model, rank and organisation, and the models that
    were short at its sender within the last two seconds. With relays, a node
    hears one report of each failure domain, its own included.
    """

    _failure_domain: str = ''
    _meter: OfferedLoadMeter = attrs.field(factory=OfferedLoadMeter, init=False)
    _reports: dict[str, _Report] = attrs.field(factory=dict, init=False)
    _short_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _sent_at: dict[bool, float] = attrs.field(factory=dict, init=False)
    _unforwarded: dict[str, dict[str, float]] = attrs.field(
        factory=dict, init=False
    )
    _plans: dict[str, _CachedPlan] = attrs.field(factory=dict, init=False)

    def record_arrival(
        self,
        model: str,
        rank: int,
        organisation: str,
        token: float,
        seconds: float,
        now: float,
    ) -> None:
        """Count the expected replica-seconds of an arriving request.

        Where a plan is in force, only the admitted requests are counted, and
        weighted for the others: those are retried at once by some clients,
        which would raise the measured load and lower the admitted part.
        """
        key = _load_key(model, rank, organisation)
        made_at, _replicas, plan = self._plans.get(key.model, _NO_PLAN)
        fraction = float(1)
        if plan is not None and now - made_at < _SHORTAGE_SECONDS:
            fraction = plan.fraction(key.rank, key.organisation)
        if token < fraction:
            self._meter.record(key, seconds / fraction, now)

    def record_shortage(self, model: str, now: float) -> None:
        """Record that a request was deferred or refused."""
        self._short_at[_digest(model, _MODEL_DIGITS)] = now

    def receive(
        self,
        sender: str,
        failure_domain: str,
        loads: Mapping[str, float],
        now: float,
        *,
        is_summary: bool,
    ) -> None:
        """Keep the report of a node, or of a relay for its failure domain."""
        if not loads:
            return
        if is_summary and failure_domain != self._failure_domain:
            self._unforwarded[failure_domain] = dict(loads)
        self._reports[failure_domain if is_summary else sender] = (
            _Report.from_wire(failure_domain, loads, now, is_summary=is_summary)
        )

    def local_report(self, now: float) -> dict[str, float]:
        """Return what a heartbeat publishes now; mostly nothing."""
        if not self._is_due(now, is_summary=False):
            return {}
        rates = self._meter.rates(now)
        return self._encode_report(rates, self._short_here(now), now)

    def domain_report(self, now: float) -> dict[str, float]:
        """Return what a relay's summary publishes now; mostly nothing."""
        if not self._is_due(now, is_summary=True):
            return {}
        reports = [
            report
            for report in self._valid_reports(now)
            if not report.is_summary
            and report.failure_domain == self._failure_domain
        ]
        loads = Counter(self._meter.rates(now))
        for report in reports:
            loads.update(report.loads)
        short_models = (report.short_models for report in reports)
        return self._encode_report(
            loads, self._short_here(now).union(*short_models), now
        )

    def take_unforwarded(self) -> dict[str, dict[str, float]]:
        """Return other failure domains' reports for a relay's next digest.

        Each summary with a report is followed by some without, so a digest
        with only the last summary would miss most reports.
        """
        taken = self._unforwarded
        self._unforwarded = {}
        return taken

    def plan(
        self, model: str, replicas: int, now: float, organisations: int = 0
    ) -> AdmissionPlan | None:
        """Return the plan for a model that is short, else None.

        There is none either if the replicas can do all the offered work, or if
        all requests are of one kind, as none would go before another.
        """
        name = _digest(model, _MODEL_DIGITS)
        known = self._plans.get(name)
        if (
            known is None
            or known[1] != replicas
            or now - known[0] >= _PLAN_SECONDS
        ):
            plan = self._make_plan(name, replicas, now, organisations)
            known = (now, replicas, plan)
            self._plans[name] = known
        return known[2]

    def fraction(
        self, plan: AdmissionPlan, rank: int, organisation: str
    ) -> float:
        """Return the fraction of an organisation's requests to admit."""
        key = _load_key('', rank, organisation)
        return plan.fraction(key.rank, key.organisation)

    def _make_plan(
        self, model: str, replicas: int, now: float, organisations: int
    ) -> AdmissionPlan | None:
        if model not in self._short_models(now):
            return None
        offered = {
            key: load
            for key, load in self._offered(now).items()
            if key.model == model
        }
        if len(offered) < 2 or sum(offered.values()) <= replicas:
            return None
        capacity = _PLANNED_UTILIZATION * replicas
        return plan_admission(offered, capacity, organisations)

    def _is_due(self, now: float, *, is_summary: bool) -> bool:
        sent_at = self._sent_at.get(is_summary, float('-inf'))
        if now - sent_at < _REPORT_SECONDS or not self._short_models(now):
            return False
        self._sent_at[is_summary] = now
        return True

    def _encode_report(
        self,
        loads: Mapping[OfferedLoad, float],
        short_here: frozenset[str],
        now: float,
    ) -> dict[str, float]:
        short_models = self._short_models(now)
        reported = {
            key: load
            for key, load in loads.items()
            if key.model in short_models
        }
        return _Report(reported, short_here, '', False, now).to_wire()

    def _offered(self, now: float) -> Counter[OfferedLoad]:
        """Return the load of all nodes, each counted once."""
        reports = self._valid_reports(now)
        summarized = {
            report.failure_domain for report in reports if report.is_summary
        }
        total = Counter[OfferedLoad]()
        if self._failure_domain not in summarized:
            total.update(self._meter.rates(now))
        for report in reports:
            if report.is_summary or report.failure_domain not in summarized:
                total.update(report.loads)
        return total

    def _short_here(self, now: float) -> frozenset[str]:
        return frozenset(
            model
            for model, at in self._short_at.items()
            if now - at < _SHORTAGE_SECONDS
        )

    def _short_models(self, now: float) -> frozenset[str]:
        return self._short_here(now).union(
            *(report.short_models for report in self._valid_reports(now))
        )

    def _valid_reports(self, now: float) -> list[_Report]:
        self._reports = {
            sender: report
            for sender, report in self._reports.items()
            if now - report.received_at < _REPORT_VALID_SECONDS
        }
        return list(self._reports.values())


def _largest(
    loads: Mapping[OfferedLoad, float],
) -> Iterator[tuple[OfferedLoad, float]]:
    """Yield the largest organisations of each rank, and the sum of the rest."""
    groups: dict[_Group, list[_Member]] = defaultdict(list)
    for key, load in loads.items():
        groups[key.model, key.rank].append((load, key.organisation))
    for (model, rank), members in groups.items():
        others = float(0)
        listed = 0
        for load, organisation in sorted(members, reverse=True):
            if organisation != OTHERS and listed < _MAX_ORGANISATIONS:
                listed += 1
                yield OfferedLoad(model, rank, organisation), load
            else:
                others += load
        if others:
            yield OfferedLoad(model, rank, OTHERS), others
