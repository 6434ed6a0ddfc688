"""Judge by the connections that a node opens which targets it reaches; no I/O.

A node may lose its network paths to targets that serve all other nodes. One
connection that fails says little: its target may have failed. Several that fail
to different targets of a service in one failure domain, with none that succeeds
there meanwhile, say that the fault lies with the node's own paths.
"""

import random
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from cranecart.clocks import since_boot
from cranecart.logs import log_decision
from cranecart.ports import Incarnation, ListedInstance

# Different targets of a group to which connections must have failed.
_MIN_FAILED_TARGETS = 2
# Interval of the checks that find out when lost paths work again.
_LOST_CHECK_SECONDS = 0.2
# Interval of the checks of single targets; it doubles with each failure.
_MIN_CHECK_SECONDS = 0.1
_MAX_CHECK_SECONDS = 1.0
# A loss that has lasted this long was confirmed by other targets of the group.
_CONFIRMED_SECONDS = 0.25
# Connections that are attempted at once, as in a burst of requests, fail within
# this time of each other and prove no more than one of them.
_DISTINCT_SECONDS = 0.05
# Other targets to which connections are opened in one check of a group.
_REFERENCE_COUNT = 2


@attrs.frozen
class PathGroup:
    """Targets that are probably reached over the same paths."""

    service: str
    failure_domain: str

    @classmethod
    def of(cls, instance: ListedInstance) -> 'PathGroup':
        """Return the group of an instance."""
        return cls(instance.service, instance.failure_domain)


@attrs.define
class _UnreachedTarget:
    """A target that was not reached since ``since``; times in seconds."""

    since: float
    check_at: float = 0
    failures: int = 0
    _check_seconds: float = _MIN_CHECK_SECONDS
    _failed_at: float = float('-inf')

    def record_failure(self, now: float) -> None:
        """Count a failure, unless it began before the last one was known."""
        if now - self._failed_at <= _DISTINCT_SECONDS:
            return
        self.failures += 1
        self._failed_at = now
        self.check_at = now + self._check_seconds
        self._check_seconds = min(_MAX_CHECK_SECONDS, 2 * self._check_seconds)


@attrs.define
class _GroupPaths:
    """The paths to a group of targets.

    ``failed`` are the targets to which connections have failed since the last
    one that succeeded, ``unreached`` those that were not reached since.
    """

    failed: set[Incarnation] = attrs.field(factory=set)
    unreached: dict[Incarnation, _UnreachedTarget] = attrs.field(factory=dict)
    lost_at: float | None = None
    check_at: float = 0
    connected_at: float = float('-inf')


def _none_listed() -> Sequence[ListedInstance]:
    """Return the instances, where none are listed."""
    return ()


def _none_in_flight(_instance_id: str) -> int:
    """Return the requests of other nodes, where there are none."""
    return 0


@attrs.define
class TargetPaths:
    """Which targets this node reaches; times in seconds.

    ``_listed`` returns all instances that are listed, ``_in_flight_elsewhere``
    how many requests other nodes have at an instance. ``failed_connects`` and
    ``losses`` count since the start.
    """

    _listed: Callable[[], Collection[ListedInstance]] = _none_listed
    _in_flight_elsewhere: Callable[[str], int] = _none_in_flight
    _random: random.Random = attrs.field(factory=random.Random)
    _clock: Callable[[], float] = since_boot
    failed_connects: int = attrs.field(default=0, init=False)
    losses: int = attrs.field(default=0, init=False)
    _groups: dict[PathGroup, _GroupPaths] = attrs.field(
        factory=dict, init=False
    )
    # The groups to which paths may be lost, as others are.
    _suspects: set[PathGroup] = attrs.field(factory=set, init=False)
    # The groups with targets that were not reached.
    _impaired: dict[PathGroup, _GroupPaths] = attrs.field(
        factory=dict, init=False
    )

    @property
    def is_impaired(self) -> bool:
        """Return whether there are targets that this node does not reach."""
        return bool(self._impaired)

    def is_lost(self, instance: ListedInstance) -> bool:
        """Return whether this node reaches no target of an instance's group."""
        return self._is_lost(PathGroup.of(instance))

    def is_unreached(self, instance: ListedInstance) -> bool:
        """Return whether a connection to an instance would probably fail."""
        paths = self._impaired.get(PathGroup.of(instance))
        if paths is None:
            return False
        return (
            paths.lost_at is not None or instance.incarnation in paths.unreached
        )

    def is_domain_lost(
        self, failure_domain: str, is_relevant: Callable[[str], bool]
    ) -> bool:
        """Return whether no target of a failure domain's services is reached.

        Only services that are relevant count, and only losses that checks have
        confirmed.
        """
        confirmed = {
            group.service
            for group, paths in self._impaired.items()
            if group.failure_domain == failure_domain
            and self._is_confirmed(paths)
        }
        # Without this, each call would go through all instances.
        if not confirmed:
            return False
        return confirmed.issuperset(
            instance.service
            for instance in self._listed()
            if instance.failure_domain == failure_domain
            and is_relevant(instance.service)
        )

    def is_everything_lost(self) -> bool:
        """Return whether no target at all is reached, as checks confirmed."""
        if not all(map(self._is_confirmed, self._impaired.values())):
            return False
        return bool(self._impaired) and all(map(self.is_lost, self._listed()))

    def has_connected(self, instance: ListedInstance, since: float) -> bool:
        """Return whether a connection to its group has succeeded since."""
        paths = self._groups.get(PathGroup.of(instance))
        return paths is not None and paths.connected_at >= since

    def record_failed(self, instance: ListedInstance, reason: str) -> None:
        """Record a connection that could not be opened."""
        self.failed_connects += 1
        now = self._clock()
        group = PathGroup.of(instance)
        paths = self._groups.setdefault(group, _GroupPaths())
        self._impaired[group] = paths
        paths.failed.add(instance.incarnation)
        target = paths.unreached.setdefault(
            instance.incarnation, _UnreachedTarget(now)
        )
        target.record_failure(now)
        if paths.lost_at is None and self._has_lost(group, paths):
            self._record_loss(group, paths, reason)

    def record_connected(self, instance: ListedInstance) -> None:
        """Record a connection that was opened."""
        group = PathGroup.of(instance)
        paths = self._groups.setdefault(group, _GroupPaths())
        paths.connected_at = self._clock()
        if group not in self._impaired:
            return
        paths.failed.clear()
        paths.unreached.pop(instance.incarnation, None)
        if paths.lost_at is not None:
            self._record_restored(group, paths)
        if not paths.unreached:
            self._impaired.pop(group)

    def references(self, instance: ListedInstance) -> list[ListedInstance]:
        """Return instances that should be reached if the paths work.

        They are of the same group if it has others, else of the same service,
        else of any.
        """
        others = [
            other
            for other in self._listed()
            if other.id != instance.id and not other.leaving
        ]
        same_service = [
            other for other in others if other.service == instance.service
        ]
        same_group = [
            other
            for other in same_service
            if other.failure_domain == instance.failure_domain
        ]
        nearest = same_group or same_service or others
        return self._sample(nearest)

    def due_checks(self) -> list[ListedInstance]:
        """Return the instances to which connections are to be tried now.

        These are some instances of each group whose paths may be lost, and the
        single targets that were not reached for some time.
        """
        now = self._clock()
        due = {
            member.id: member
            for group in self._suspects
            for member in self._sample(self._members(group))
        }
        self._suspects.clear()
        for group, paths in self._impaired.items():
            members = self._members(group)
            if paths.failed and paths.check_at <= now:
                paths.check_at = now + _LOST_CHECK_SECONDS
                # Other targets first, as long as it may be these that failed.
                excluded = paths.unreached if paths.lost_at is None else ()
                sample = self._sample(members, excluded)
                due.update((member.id, member) for member in sample)
            if paths.lost_at is None:
                due.update(
                    (member.id, member)
                    for member in members
                    if _is_due(paths, member, now)
                )
        return list(due.values())

    def prune(self, listed: Collection[Incarnation]) -> None:
        """Discard what is known of incarnations that are not listed."""
        for group, paths in list(self._impaired.items()):
            paths.failed.intersection_update(listed)
            for incarnation in paths.unreached.keys() - set(listed):
                paths.unreached.pop(incarnation)
            if not paths.unreached:
                self._impaired.pop(group)
                paths.lost_at = None

    def counts(self) -> dict[str, int]:
        """Return the metrics by name."""
        return {
            'target_connects_failed': self.failed_connects,
            'target_paths_lost': self.losses,
            'target_groups_out_of_reach': sum(
                map(self._is_lost, self._impaired)
            ),
        }

    def _is_lost(self, group: PathGroup) -> bool:
        paths = self._impaired.get(group)
        return paths is not None and paths.lost_at is not None

    def _is_confirmed(self, paths: _GroupPaths) -> bool:
        if paths.lost_at is None:
            return False
        return self._clock() - paths.lost_at >= _CONFIRMED_SECONDS

    def _has_lost(self, group: PathGroup, paths: _GroupPaths) -> bool:
        if len(paths.failed) >= _MIN_FAILED_TARGETS:
            return True
        # There is no other target to try, so this one has to fail again.
        failures = sum(
            paths.unreached[incarnation].failures
            for incarnation in paths.failed
        )
        is_alone = len(self._members(group)) <= len(paths.failed)
        return is_alone and failures >= _MIN_FAILED_TARGETS

    def _members(self, group: PathGroup) -> list[ListedInstance]:
        return [
            instance
            for instance in self._listed()
            if instance.failure_domain == group.failure_domain
            and instance.service == group.service
            and not instance.leaving
        ]

    def _sample(
        self,
        instances: Sequence[ListedInstance],
        excluded: Collection[Incarnation] = (),
    ) -> list[ListedInstance]:
        """Return some instances, those that are not excluded first."""
        shuffled = self._random.sample(instances, len(instances))
        shuffled.sort(key=lambda instance: instance.incarnation in excluded)
        return shuffled[:_REFERENCE_COUNT]

    def _record_loss(
        self, group: PathGroup, paths: _GroupPaths, reason: str
    ) -> None:
        now = self._clock()
        paths.lost_at = now
        self.losses += 1
        self._suspects = {
            PathGroup.of(instance)
            for instance in self._listed()
            if not instance.leaving
        }.difference(self._impaired)
        failing_since = min(
            paths.unreached[incarnation].since for incarnation in paths.failed
        )
        log_decision(
            'paths_lost',
            service=group.service,
            failure_domain=group.failure_domain,
            instances=[incarnation.id for incarnation in paths.failed],
            failing_for=round(now - failing_since, 3),
            in_flight_elsewhere={
                incarnation.id: self._in_flight_elsewhere(incarnation.id)
                for incarnation in paths.failed
            },
            why=reason,
        )

    def _record_restored(self, group: PathGroup, paths: _GroupPaths) -> None:
        now = self._clock()
        log_decision(
            'paths_restored',
            service=group.service,
            failure_domain=group.failure_domain,
            lost_for=round(now - (paths.lost_at or now), 3),
        )
        paths.lost_at = None
        # Nothing that failed meanwhile says anything about its target.
        paths.unreached.clear()


def _is_due(paths: _GroupPaths, member: ListedInstance, now: float) -> bool:
    target = paths.unreached.get(member.incarnation)
    return target is not None and target.check_at <= now


def all_unreached(
    paths: TargetPaths, instances: Iterable[ListedInstance]
) -> bool:
    """Return whether none of the instances is reached."""
    return all(map(paths.is_unreached, instances))
