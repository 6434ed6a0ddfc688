"""Judge by the connections that a node opens which targets it reaches; no I/O.

A node may lose its network paths to targets that serve all other nodes. One
connection that fails says little: its target may have failed. Several that fail
to different targets of one failure domain, with none that succeeds there
meanwhile, say that the fault lies with the node's own paths.
"""

from collections.abc import Callable

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance

# Different targets of a failure domain to which connections must have failed.
_MIN_FAILED_TARGETS = 2


def _list_several(_failure_domain: str) -> int:
    """Treat each failure domain as having several instances."""
    return _MIN_FAILED_TARGETS


def _none_in_flight(_instance_id: str) -> int:
    """Return the requests of other nodes, where there are none."""
    return 0


@attrs.define
class _DomainPaths:
    """Failed connections to a failure domain since the last that succeeded.

    ``failed`` has the targets and when connections to them first failed.
    """

    failed: dict[Incarnation, float] = attrs.field(factory=dict)
    lost_at: float | None = None


@attrs.define
class TargetPaths:
    """Which failure domains' targets this node reaches; times in seconds.

    ``_listed_count`` returns how many instances are listed in a failure domain,
    ``_in_flight_elsewhere`` how many requests other nodes have at an instance.
    ``failed_connects`` and ``losses`` count since the start.
    """

    _listed_count: Callable[[str], int] = _list_several
    _in_flight_elsewhere: Callable[[str], int] = _none_in_flight
    _clock: Callable[[], float] = since_boot
    failed_connects: int = attrs.field(default=0, init=False)
    losses: int = attrs.field(default=0, init=False)
    _domains: dict[str, _DomainPaths] = attrs.field(factory=dict, init=False)

    @property
    def has_failures(self) -> bool:
        """Return whether a failure domain's last connection failed."""
        return bool(self._domains)

    def is_lost(self, failure_domain: str) -> bool:
        """Return whether this node reaches no targets of a failure domain."""
        paths = self._domains.get(failure_domain)
        return paths is not None and paths.lost_at is not None

    def lost_domains(self) -> list[str]:
        """Return the failure domains whose targets this node does not reach."""
        return [domain for domain in self._domains if self.is_lost(domain)]

    def record_failed(self, instance: ListedInstance, reason: str) -> None:
        """Record a connection that could not be opened."""
        self.failed_connects += 1
        domain = instance.failure_domain
        paths = self._domains.setdefault(domain, _DomainPaths())
        paths.failed.setdefault(instance.incarnation, self._clock())
        needed = min(_MIN_FAILED_TARGETS, self._listed_count(domain))
        if paths.lost_at is None and len(paths.failed) >= needed:
            self._record_loss(domain, paths, reason)

    def record_connected(self, instance: ListedInstance) -> None:
        """Record a connection that was opened."""
        paths = self._domains.pop(instance.failure_domain, None)
        if paths is None or paths.lost_at is None:
            return
        log_decision(
            'paths_restored',
            failure_domain=instance.failure_domain,
            instance=instance.id,
            lost_for=round(self._clock() - paths.lost_at, 3),
        )

    def counts(self) -> dict[str, int]:
        """Return the metrics by name."""
        return {
            'target_connects_failed': self.failed_connects,
            'target_paths_lost': self.losses,
            'domains_out_of_reach': len(self.lost_domains()),
        }

    def _record_loss(
        self, domain: str, paths: _DomainPaths, reason: str
    ) -> None:
        now = self._clock()
        paths.lost_at = now
        self.losses += 1
        log_decision(
            'paths_lost',
            failure_domain=domain,
            instances=[incarnation.id for incarnation in paths.failed],
            failing_for=round(now - min(paths.failed.values()), 3),
            in_flight_elsewhere={
                incarnation.id: self._in_flight_elsewhere(incarnation.id)
                for incarnation in paths.failed
            },
            why=reason,
        )
