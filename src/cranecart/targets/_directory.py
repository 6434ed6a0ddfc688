"""The targets of calls: own failure domain in full, others by summaries."""

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping
from operator import attrgetter
from typing import TypeVar

import attrs

from cranecart.clocks import since_boot
from cranecart.declarations import DomainVersions
from cranecart.fleet import Evacuations
from cranecart.instances import Instance
from cranecart.models import Evacuation
from cranecart.targets._complete_replicas import ServingReplica
from cranecart.targets._report_registry import ReportRegistry

TargetT = TypeVar('TargetT', ServingReplica, Instance)

SUMMARY_TTL_SECONDS = 8.0
_MAX_TARGETS_PER_NAME = 4


@attrs.frozen
class DomainSummary:
    """What a failure domain publishes to the others about itself.

    ``replicas`` and ``services`` are a few targets for calls from other
    domains, ``versions`` the domain's configuration versions, ``demand`` the
    recent peak of concurrent calls by organisation, ``evacuations`` what is
    known of failure domains that are or were evacuated.
    """

    failure_domain: str
    replicas: tuple[ServingReplica, ...] = ()
    services: tuple[Instance, ...] = ()
    versions: DomainVersions | None = None
    demand: Mapping[str, int] = attrs.field(factory=dict)
    evacuations: tuple[Evacuation, ...] = ()


@attrs.define
class TargetDirectory:
    """All targets that a node can send calls to.

    Those in evacuated failure domains are omitted.
    """

    failure_domain: str
    reports: ReportRegistry
    _clock: Callable[[], float] = since_boot
    evacuations: Evacuations = attrs.field(factory=Evacuations, init=False)
    _summaries: dict[str, tuple[float, DomainSummary]] = attrs.field(
        factory=dict,
        init=False,
    )

    def record_summary(self, summary: DomainSummary) -> None:
        """Store the summary of another failure domain."""
        if summary.failure_domain != self.failure_domain:
            now = self._clock()
            self._summaries[summary.failure_domain] = (now, summary)

    def replicas(self) -> list[ServingReplica]:
        """Return the complete replicas, those of other domains last."""
        remote = (summary.replicas for summary in self._fresh())
        return self._not_evacuated(
            (
                *self.reports.serving_replicas(),
                *itertools.chain.from_iterable(remote),
            )
        )

    def services(self, name: str) -> list[Instance]:
        """Return the instances of a plain service, local ones first."""
        remote = itertools.chain.from_iterable(
            summary.services for summary in self._fresh()
        )
        return self._not_evacuated(
            (
                *self.reports.service_instances(name),
                *(instance for instance in remote if instance.service == name),
            )
        )

    def service_ids(self) -> list[str]:
        """Return the ids of all service instances that take requests."""
        remote = itertools.chain.from_iterable(
            summary.services for summary in self._fresh()
        )
        return [
            *self.reports.open_service_ids(),
            *(instance.id for instance in remote),
        ]

    def summary(
        self,
        versions: DomainVersions | None = None,
        demand: Mapping[str, int] | None = None,
    ) -> DomainSummary:
        """Return the summary of this domain for the others."""
        open_services = [
            self.reports.instances[name]
            for name in self.reports.open_service_ids()
        ]
        local = [
            instance
            for instance in open_services
            if instance.failure_domain == self.failure_domain
        ]
        least_loaded = sorted(
            self.reports.serving_replicas(),
            key=lambda replica: (
                (replica.running + replica.queued) / replica.slots
            ),
        )
        return DomainSummary(
            self.failure_domain,
            tuple(_first_per_name(least_loaded, attrgetter('model'))),
            tuple(_first_per_name(local, attrgetter('service'))),
            versions,
            demand or {},
            self.evacuations.known(),
        )

    def versions_by_domain(self) -> dict[str, DomainVersions]:
        """Return the configuration versions of other failure domains."""
        return {
            summary.failure_domain: summary.versions
            for summary in self._fresh()
            if summary.versions is not None
        }

    def _not_evacuated(self, targets: Iterable[TargetT]) -> list[TargetT]:
        return [
            target
            for target in targets
            if not self.evacuations.is_evacuated(target.failure_domain)
        ]

    def _fresh(self) -> list[DomainSummary]:
        now = self._clock()
        return [
            summary
            for received_at, summary in self._summaries.values()
            if now - received_at < SUMMARY_TTL_SECONDS
        ]


def _first_per_name(
    targets: Iterable[TargetT],
    name: Callable[[TargetT], str],
) -> Iterator[TargetT]:
    groups = itertools.groupby(sorted(targets, key=name), name)
    for _name, group in groups:
        yield from itertools.islice(group, _MAX_TARGETS_PER_NAME)
