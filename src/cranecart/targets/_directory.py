"""Where calls can go: own failure domain in full, others by summaries."""

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping
from operator import attrgetter
from typing import TypeVar

import attrs

from cranecart.clocks import since_boot
from cranecart.declarations import DomainVersions
from cranecart.instances import Instance
from cranecart.targets._assemble import ServingReplica
from cranecart.targets._book import ReportBook

Target = TypeVar('Target', ServingReplica, Instance)

SUMMARY_SECONDS = 8.0
_MAX_PER_NAME = 4


@attrs.frozen
class Summary:
    """A few targets of a failure domain, for calls from other domains."""

    failure_domain: str
    replicas: tuple[ServingReplica, ...] = ()
    services: tuple[Instance, ...] = ()
    versions: DomainVersions | None = None
    demand: Mapping[str, int] = attrs.field(factory=dict)


@attrs.define
class Directory:
    """All targets that a node may send to."""

    failure_domain: str
    book: ReportBook
    _clock: Callable[[], float] = since_boot
    _summaries: dict[str, tuple[float, Summary]] = attrs.field(
        factory=dict,
        init=False,
    )

    def note(self, summary: Summary) -> None:
        """Take over what another failure domain says of itself."""
        if summary.failure_domain != self.failure_domain:
            now = self._clock()
            self._summaries[summary.failure_domain] = (now, summary)

    def replicas(self) -> list[ServingReplica]:
        """Return the whole replicas, those of other domains last."""
        far = (summary.replicas for summary in self._fresh())
        return [*self.book.serving(), *itertools.chain.from_iterable(far)]

    def services(self, name: str) -> list[Instance]:
        """Return the instances of a plain service, near ones first."""
        far = itertools.chain.from_iterable(
            summary.services for summary in self._fresh()
        )
        return [
            *self.book.services(name),
            *(instance for instance in far if instance.service == name),
        ]

    def service_ids(self) -> list[str]:
        """Return the ids of all service instances that take work."""
        far = itertools.chain.from_iterable(
            summary.services for summary in self._fresh()
        )
        return [*self.book.open_services(), *(one.id for one in far)]

    def summary(
        self,
        versions: DomainVersions | None = None,
        demand: Mapping[str, int] | None = None,
    ) -> Summary:
        """Return what other failure domains should know of this one."""
        open_services = [
            self.book.instances[name] for name in self.book.open_services()
        ]
        near = [
            instance
            for instance in open_services
            if instance.failure_domain == self.failure_domain
        ]
        least_loaded = sorted(
            self.book.serving(),
            key=lambda one: (one.running + one.queued) / one.slots,
        )
        return Summary(
            self.failure_domain,
            tuple(_first_of_each(least_loaded, attrgetter('model'))),
            tuple(_first_of_each(near, attrgetter('service'))),
            versions,
            demand or {},
        )

    def versions(self) -> dict[str, DomainVersions]:
        """Return how far the other failure domains have come."""
        return {
            summary.failure_domain: summary.versions
            for summary in self._fresh()
            if summary.versions is not None
        }

    def _fresh(self) -> list[Summary]:
        now = self._clock()
        return [
            summary
            for at, summary in self._summaries.values()
            if now - at < SUMMARY_SECONDS
        ]


def _first_of_each(
    targets: Iterable[Target],
    name: Callable[[Target], str],
) -> Iterator[Target]:
    groups = itertools.groupby(sorted(targets, key=name), name)
    for _name, group in groups:
        yield from itertools.islice(group, _MAX_PER_NAME)
