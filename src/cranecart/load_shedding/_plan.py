"""Plan which part of each kind of request a model that is short admits.

The load it answers: all requests of a model together need more replicas than
there are, for seconds. Admitted by arrival order, requests with a long latency
objective fill the queue and those with a short one are refused, whatever their
rank, and an organisation that sends five times its usual load takes most
slots.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence

import attrs

from cranecart.load_shedding._offered import OTHERS, OfferedLoad

# The least urgent rank is admitted at least this many times as often as all
# requests together. Its requests cost half as much, so that without a floor
# many of them are refused to serve few of the other class. With 0.7, the urgent
# class earns less than the other by more than the 0.15 that users accept.
_RANK_FLOOR_FRACTION = 0.6
# The same for an organisation. Users require a quarter; the rest allows for the
# error of the measured loads.
_ORGANISATION_FLOOR_FRACTION = 0.3
# Enough for a thousandth of the fractions that are logged.
_BISECTION_STEPS = 32

# A rank and an organisation.
_Kind = tuple[int, str]


@attrs.frozen
class AdmissionPlan:
    """The fraction of requests to admit, by rank and organisation.

    ``offered`` and ``capacity`` are in replicas. ``_rank_loads`` are the
    offered loads by rank and ``_admitted`` what of them is admitted.
    """

    offered: float
    capacity: float
    _fractions: Mapping[_Kind, float]
    _rank_loads: Mapping[int, float]
    _admitted: Mapping[int, float]

    def fraction(self, rank: int, organisation: str) -> float:
        """Return the fraction of requests that are admitted."""
        of_rank = min(
            1, self._admitted.get(rank, 1) / self._rank_loads.get(rank, 1)
        )
        of_others = self._fractions.get((rank, OTHERS), of_rank)
        return self._fractions.get((rank, organisation), of_others)

    def admits(self, rank: int, organisation: str, token: float) -> bool:
        """Return whether the request with this token is admitted."""
        return token < self.fraction(rank, organisation)

    def less_urgent_fraction(self, rank: int) -> float:
        """Return the part of the admitted load that has a less urgent rank."""
        total = sum(self._admitted.values())
        less_urgent = sum(
            load for other, load in self._admitted.items() if other > rank
        )
        return less_urgent / total if total else 0


@attrs.frozen
class _Demand:
    """The load of an organisation, or of several together (``OTHERS``).

    The sizes of the latter are taken to be spread evenly up to ``size``.
    """

    organisation: str
    load: float
    size: float

    def fraction(self, share: float, floor: float) -> float:
        """Return the admitted fraction if each organisation gets a share."""
        part = min(1, share / self.size)
        if self.organisation == OTHERS:
            part *= 2 - part
        return max(floor, part)


def plan_admission(
    offered: Mapping[OfferedLoad, float],
    capacity: float,
    organisations: int = 0,
) -> AdmissionPlan:
    """Divide a model's capacity among the offered loads.

    More urgent ranks come first; within a rank, organisations get max-min fair
    shares. ``capacity`` is in replicas, the loads in replica-seconds a second.
    ``organisations`` is how many are configured, from which follows how large
    those are whose load is not listed on its own.
    """
    ranks = _by_rank(offered)
    total = sum(offered.values())
    mean = min(1, capacity / total) if total else 1
    rank_loads = {rank: sum(loads.values()) for rank, loads in ranks.items()}
    granted = _divide_by_rank(rank_loads, mean)
    fractions = {
        (rank, organisation): fraction
        for rank, loads in ranks.items()
        for organisation, fraction in _fair_fractions(
            loads,
            granted[rank],
            _ORGANISATION_FLOOR_FRACTION * mean,
            organisations,
        ).items()
    }
    return AdmissionPlan(total, capacity, fractions, rank_loads, granted)


def _by_rank(
    offered: Mapping[OfferedLoad, float],
) -> dict[int, dict[str, float]]:
    ranks: dict[int, dict[str, float]] = defaultdict(dict)
    for key, load in offered.items():
        if load > 0:
            ranks[key.rank][key.organisation] = load
    return ranks


def _divide_by_rank(
    loads: Mapping[int, float], mean: float
) -> dict[int, float]:
    """Grant capacity to the most urgent ranks first, and a floor to each.

    ``mean`` is the part of the load of all ranks that is admitted.
    """
    total = sum(loads.values())
    floor = _RANK_FLOOR_FRACTION * mean
    remaining = mean * total
    reserved = floor * total
    granted: dict[int, float] = {}
    for rank, load in sorted(loads.items()):
        reserved -= floor * load
        granted[rank] = max(0, min(load, remaining - reserved))
        remaining -= granted[rank]
    return granted


def _fair_fractions(
    loads: Mapping[str, float],
    granted: float,
    floor: float,
    organisations: int,
) -> dict[str, float]:
    """Return the admitted fraction of each organisation's load."""
    total = sum(loads.values())
    if granted >= total:
        return dict.fromkeys(loads, 1)
    largest_other = _largest_other(loads, organisations)
    demands = tuple(
        _Demand(name, load, largest_other if name == OTHERS else load)
        for name, load in loads.items()
    )
    floor = min(floor, granted / total)
    share = _fair_share(demands, floor, granted)
    return {
        demand.organisation: demand.fraction(share, floor) for demand in demands
    }


def _largest_other(loads: Mapping[str, float], organisations: int) -> float:
    """Return the size of the largest organisation that is not listed.

    It is at most the smallest listed one, and twice the mean if the sizes are
    spread evenly.
    """
    listed = [load for name, load in loads.items() if name != OTHERS]
    others = loads.get(OTHERS, 0)
    count = max(1, organisations - len(listed))
    return min((2 * others / count, others, *listed))


def _fair_share(
    demands: Sequence[_Demand], floor: float, granted: float
) -> float:
    """Return the load up to which each organisation is admitted."""
    low, high = float(0), max(demand.size for demand in demands)
    for _step in range(_BISECTION_STEPS):
        share = (low + high) / 2
        admitted = sum(
            demand.load * demand.fraction(share, floor) for demand in demands
        )
        if admitted > granted:
            high = share
        else:
            low = share
    return low
