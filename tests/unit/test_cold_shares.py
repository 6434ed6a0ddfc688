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
    max_size=20,
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


def _pick(simulation: ColdSimulation, number: int) -> str:
    """Return a node, mostly one of the target's failure domain."""
    names = sorted(simulation.nodes)
    if number % 3:
        names = [name for name in names if not simulation.nodes[name].domain]
    return names[number // 3 % len(names)]


def _apply(
    simulation: ColdSimulation, kind: str, number: int, turn: int
) -> None:
    name = _pick(simulation, number)
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
            for other in sorted(simulation.nodes):
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
        self._check(simulation, events)

    def test_new_nodes_while_others_are_cut_off(self) -> None:
        """Those that are cut off know nothing of the new ones."""
        for nodes in (9, 30):
            simulation = ColdSimulation(nodes, nodes, 40)
            simulation.run(LISTED_AT + 1.5)
            cuts = [('cut', 0, 3 * number + 1) for number in range(nodes)]
            joins = [('join', 0, 0) for _number in range(9)]
            self._check(simulation, cuts + joins)

    def test_all_nodes_restart_repeatedly(self) -> None:
        """They forget what they sent."""
        for pause in (0.2, 0.4, 0.7, 1.2):
            simulation = ColdSimulation(9, 1, 40)
            simulation.run(LISTED_AT + 1.5)
            for _turn in range(6):
                simulation.restart_all()
                simulation.run(pause)
            self._check(simulation)

    def test_nodes_leave_one_after_the_other(self) -> None:
        """The rest takes over what they have just sent themselves."""
        for seed in range(4):
            simulation = ColdSimulation(30, seed, 40)
            simulation.run(LISTED_AT + 1.5)
            events = [('withdraw', 0.25, 3 * turn + 1) for turn in range(9)]
            self._check(simulation, events)

    def test_its_domain_is_cut_off(self) -> None:
        """Nodes within and one other domain send, unheard by each other."""
        simulation = ColdSimulation(30, 1, 40)
        simulation.run(LISTED_AT + 1.5)
        self._check(simulation, [('cut domain', 2.0, 0)])
        sent = {
            simulation.nodes[name].domain for _at, name in simulation.arrivals
        }
        self.assertEqual(len(sent), 2)

    def test_half_of_the_rate_is_used(self) -> None:
        """Also by nodes that have three requests a second each."""
        for seed, load in itertools.product(range(5), _LOADS):
            simulation = ColdSimulation(load[0], seed, load[1])
            simulation.run(LISTED_AT + 4)
            with self.subTest(load=load, seed=seed):
                self.assertGreaterEqual(_used(simulation), _MIN_USED)

    def test_other_nodes_send_if_those_of_its_domain_are_down(self) -> None:
        """Targets may start before the nodes of their failure domain."""
        for nodes in (9, 30, 85, 300):
            simulation = ColdSimulation(nodes, nodes, 60)
            for name, node in simulation.nodes.items():
                if not node.domain:
                    simulation.stop(name)
            simulation.run(LISTED_AT + 10)
            used = simulation.per_second_between(LISTED_AT + 1, LISTED_AT + 10)
            with self.subTest(nodes=nodes):
                self.assertGreaterEqual(used, _MIN_USED)

    def _check(
        self, simulation: ColdSimulation, events: Sequence[_Event] = ()
    ) -> None:
        for turn, (kind, pause, number) in enumerate(events):
            _apply(simulation, kind, number, turn)
            simulation.run(pause)
        simulation.run(3)
        self.assertLessEqual(simulation.max_in_second(), BOUND)
