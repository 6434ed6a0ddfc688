"""Cold targets receive no more than allowed, of all nodes together.

The required bound: in any second, half as many again as the target's rate and
five more, whether or not nodes hear each other. A target that is given too
little is a fault as well: at least half of its rate has to be used.
"""

import itertools
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.cold_simulation import (
    BOUND,
    LISTED_AT,
    PER_SECOND,
    ColdSimulation,
)

_KINDS = ('crash', 'restart', 'withdraw', 'join', 'cut', 'cut domain', 'heal')
_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(_KINDS), st.floats(0, 1.5), st.integers(0, 10**6)
    ),
    max_size=14,
)


_SIZES = st.sampled_from((4, 5, 9, 30, 85, 139, 300))
# Its kind, the seconds after it, and the number of its node or domain.
_Event = tuple[str, float, int]
# Nodes, and the requests a second of each.
_LOADS = ((4, 40), (9, 4), (30, 3), (85, 3), (300, 3))
# Requests per second.
_MIN_USED = PER_SECOND / 2


def _used(simulation: ColdSimulation) -> float:
    """Return the rate from when all nodes know of the target."""
    return simulation.per_second_between(LISTED_AT + 1, LISTED_AT + 4)


def _apply(
    simulation: ColdSimulation, kind: str, number: int, turn: int
) -> None:
    names = sorted(simulation.nodes)
    name = names[number % len(names)]
    match kind:
        case 'crash':
            simulation.stop(name)
        case 'restart':
            simulation.stop(name)
            simulation.start(name, simulation.nodes[name].domain)
        case 'withdraw':
            simulation.withdraw(name)
        case 'join':
            simulation.start(f'new-{turn}', number % 3)
        case 'cut':
            simulation.cut(name, turn + 10)
        case 'cut domain':
            for other in names:
                if simulation.nodes[other].domain == number % 3:
                    simulation.cut(other, 1 + number % 3)
        case _:
            simulation.sides.clear()


class ColdSharesTest(unittest.TestCase):
    """The requests of all nodes at one cold target."""

    @settings(max_examples=60, deadline=None)
    @given(_SIZES, st.integers(0, 2**16), st.sampled_from((3.0, 40.0)), _EVENTS)
    def test_bound(
        self,
        nodes: int,
        seed: int,
        per_second: float,
        events: Sequence[_Event],
    ) -> None:
        """No second exceeds it, whatever fails and whoever is cut off."""
        simulation = ColdSimulation(nodes, seed, per_second)
        simulation.run(LISTED_AT)
        for turn, (kind, pause, number) in enumerate(events):
            _apply(simulation, kind, number, turn)
            simulation.run(pause)
        simulation.run(2)
        self.assertLessEqual(simulation.max_in_second(), BOUND)

    def test_half_of_the_rate_is_used(self) -> None:
        """Also by nodes that have three requests a second each."""
        for seed, load in itertools.product(range(5), _LOADS):
            simulation = ColdSimulation(load[0], seed, load[1])
            simulation.run(LISTED_AT + 4)
            with self.subTest(load=load, seed=seed):
                self.assertGreaterEqual(_used(simulation), _MIN_USED)

    def test_other_nodes_send_if_those_of_its_domain_are_down(self) -> None:
        """Targets may start before the nodes of their failure domain."""
        for nodes, per_second in ((9, 40), (30, 40), (85, 20), (300, 20)):
            simulation = ColdSimulation(nodes, nodes, per_second)
            for name, node in simulation.nodes.items():
                if not node.domain:
                    simulation.stop(name)
            simulation.run(LISTED_AT + 4)
            with self.subTest(nodes=nodes):
                self.assertGreaterEqual(_used(simulation), _MIN_USED)
