"""Failure domains to whose targets nothing is sent; no I/O, no clock."""

from collections.abc import Iterable

import attrs

from cranecart.exceptions import TargetWithdrawnError
from cranecart.logs import log_decision
from cranecart.models import Evacuation
from cranecart.ports import era_of

_NO_VERSION = -1


@attrs.define
class Evacuations:
    """One node's view of all evacuations, read from the store or heard.

    Answers the load of a failure domain that an operator takes out of use while
    the others carry its requests. ``changes`` counts how often one came into
    force or ended here, ``withdrawn`` the requests whose target was evacuated
    between its selection and the sending.
    """

    changes: int = attrs.field(default=0, init=False)
    withdrawn: int = attrs.field(default=0, init=False)
    _known: dict[str, Evacuation] = attrs.field(factory=dict, init=False)
    _active: frozenset[str] = attrs.field(default=frozenset(), init=False)
    # The last complete read. It proves that rows which it lacked had ended, but
    # rows of an earlier era only if it was not the first read of its era: a
    # restored store lacks rows until the operator has written them again.
    _complete_version: int = attrs.field(default=_NO_VERSION, init=False)
    _is_confirmed: bool = attrs.field(default=False, init=False)
    _read_era: int = attrs.field(default=_NO_VERSION, init=False)

    @property
    def lacks_restored_rows(self) -> bool:
        """Return whether the last read lacked rows that a restore has lost."""
        return any(
            evacuation.is_active and era_of(evacuation.version) < self._read_era
            for evacuation in self._known.values()
        )

    def apply(
        self,
        items: Iterable[Evacuation],
        is_complete: bool,
        version: int,
        source: str,
    ) -> None:
        """Apply what was read from the store as of ``version``.

        If ``is_complete``, evacuations that are missing there have ended.
        """
        read = {item.failure_domain: item for item in items}
        if is_complete:
            self._complete_version = version
            self._is_confirmed = era_of(version) == self._read_era
            for known in tuple(self._known.values()):
                if known.failure_domain not in read and self._has_ended(known):
                    self._end(known.failure_domain, source)
        self._read_era = max(self._read_era, era_of(version))
        for evacuation in read.values():
            self._record(evacuation, source)

    def merge(self, evacuations: Iterable[Evacuation], sender: str) -> bool:
        """Apply what another node knows; return whether this is a change.

        A node that was cut off may still announce an evacuation that had ended
        before this node's last complete read, which did not contain it.
        """
        changes_before = self.changes
        for evacuation in evacuations:
            if self._is_newer(evacuation) and self._has_ended(evacuation):
                self._end(evacuation.failure_domain, 'store')
            else:
                self._record(evacuation, sender)
        return self.changes != changes_before

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether nothing may be sent to a failure domain's targets."""
        return failure_domain in self._active

    def check_target(self, name: str, failure_domain: str) -> None:
        """Raise ``TargetWithdrawnError`` if a selected target was evacuated."""
        if self.is_evacuated(failure_domain):
            self.withdrawn += 1
            raise TargetWithdrawnError(
                f'{name} is in {failure_domain}, which was evacuated before '
                'the request was sent',
            )

    def active(self) -> frozenset[str]:
        """Return the evacuated failure domains; the same object until changed.

        Callers compare it by identity to keep caches valid.
        """
        return self._active

    def known(self) -> tuple[Evacuation, ...]:
        """Return all evacuations, including ended ones, for other nodes."""
        return tuple(self._known.values())

    def _has_ended(self, evacuation: Evacuation) -> bool:
        """Return whether the last complete read shows an evacuation's end.

        Applies to evacuations that it did not contain.
        """
        version = self._complete_version
        is_same_era = era_of(evacuation.version) == era_of(version)
        return (
            evacuation.is_active
            and evacuation.version < version
            and (is_same_era or self._is_confirmed)
        )

    def _is_newer(self, evacuation: Evacuation) -> bool:
        known = self._known.get(evacuation.failure_domain)
        return known is None or known.version < evacuation.version

    def _end(self, failure_domain: str, source: str) -> None:
        self._record(
            Evacuation(failure_domain, self._complete_version, False), source
        )

    def _record(self, evacuation: Evacuation, source: str) -> None:
        domain = evacuation.failure_domain
        if not self._is_newer(evacuation):
            return
        self._known[domain] = evacuation
        if evacuation.is_active == self.is_evacuated(domain):
            return
        self._active ^= {domain}
        self.changes += 1
        log_decision(
            'evacuation_in_force'
            if evacuation.is_active
            else 'evacuation_ended',
            failure_domain=domain,
            version=evacuation.version,
            source=source,
        )
