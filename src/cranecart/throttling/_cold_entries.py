"""Find out from the instance list which targets are cold."""

from collections.abc import Callable, Iterable

import attrs

from cranecart.clocks import since_boot
from cranecart.models import ColdStart
from cranecart.ports import Incarnation, ListedInstance
from cranecart.throttling._throttle import TargetThrottle

_LIST_SOURCE = 'the list'
_ASSUMED_SOURCE = 'assumed at its start'
# More than the instances of any deployment and their restarts of an hour.
_MAX_INCARNATIONS = 4096


@attrs.frozen
class _Statement:
    """What was read of an incarnation, at a time on this node's clock."""

    service: str
    read_at: float
    cold_seconds: float | None
    is_new: bool


@attrs.define
class ColdEntries:
    """Tells the throttle which listed incarnations are cold.

    An incarnation that is listed for the first time while there is traffic is
    cold as long as its service says, unless its entry says how long. That does
    not apply to the first list that this node reads, as most of its instances
    have been running for long. ``_find_cold_start`` finds how a service's cold
    targets are loaded.
    """

    _throttle: TargetThrottle
    _find_cold_start: Callable[[str], ColdStart | None]
    _has_traffic: Callable[[], bool]
    _clock: Callable[[], float] = since_boot
    _statements: dict[Incarnation, _Statement] = attrs.field(
        factory=dict, init=False
    )
    _is_informed: bool = attrs.field(default=False, init=False)

    def apply(self, entries: Iterable[ListedInstance]) -> None:
        """Apply entries that were just read."""
        for entry in entries:
            known = self._statements.get(entry.incarnation)
            # An entry may be read repeatedly.
            if known is None or entry.cold_seconds != known.cold_seconds:
                statement = _Statement(
                    entry.service, self._clock(), entry.cold_seconds, not known
                )
                self._statements.pop(entry.incarnation, None)
                self._statements[entry.incarnation] = statement
                self._apply_statement(entry.incarnation, statement)
        if len(self._statements) > _MAX_INCARNATIONS:
            self._forget_replaced()
        self._is_informed = True

    def apply_config(self) -> None:
        """Apply what was read before a configuration with other rates."""
        for incarnation, statement in self._statements.items():
            if statement.cold_seconds is not None:
                # Since then this node may have sent requests without a limit.
                self._apply_statement(
                    incarnation, attrs.evolve(statement, is_new=False)
                )

    def _forget_replaced(self) -> None:
        """Forget incarnations, but not the last one of each instance.

        One that is running would be taken for a new one if it was forgotten.
        """
        last = {incarnation.id: incarnation for incarnation in self._statements}
        self._statements = {
            incarnation: self._statements[incarnation]
            for incarnation in list(last.values())[-_MAX_INCARNATIONS:]
        }

    def _apply_statement(
        self, incarnation: Incarnation, statement: _Statement
    ) -> None:
        cold_start = self._find_cold_start(statement.service)
        if cold_start is None:
            return
        if statement.cold_seconds is not None:
            age = self._clock() - statement.read_at
            self._throttle.set_cold(
                incarnation,
                cold_start.per_second,
                statement.cold_seconds - age,
                _LIST_SOURCE,
                is_new=statement.is_new,
            )
        elif statement.is_new and self._is_informed and self._has_traffic():
            self._throttle.set_cold(
                incarnation,
                cold_start.per_second,
                cold_start.seconds,
                _ASSUMED_SOURCE,
                is_new=True,
                is_assumed=True,
            )
