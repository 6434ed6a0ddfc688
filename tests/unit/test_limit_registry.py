"""A node's registry of the limits that targets announce."""

import itertools
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.ports import Incarnation, ResponseInfo
from cranecart.throttling import LimitRegistry, LimitUpdate

_INCARNATION = Incarnation('i1', 7)
_PLAIN = ResponseInfo('r1', True, False)

_UPDATES = st.lists(
    st.builds(
        LimitUpdate,
        st.just(_INCARNATION.id),
        st.just(_INCARNATION.born),
        st.integers(1, 4),
        st.sampled_from((None, 1.0, 2.0)),
    ),
    max_size=6,
)


def _announcing(limit: float | None) -> ResponseInfo:
    return attrs.evolve(_PLAIN, limit=limit)


class LimitRegistryTest(unittest.TestCase):
    """Responses and updates of one incarnation, on a simulated clock."""

    def setUp(self) -> None:
        """Create an empty registry."""
        self.now = float(10)
        self.registry = LimitRegistry(self.clock)

    def clock(self) -> float:
        """Return the simulated time."""
        return self.now

    def limit(self) -> float | None:
        """Return the limit in force, if there is one."""
        return next(
            (update.per_second for update in self.registry.active_limits()),
            None,
        )

    def test_a_response_announces_a_limit(self) -> None:
        """It is published once, and again when it changes."""
        first = self.registry.record_response(
            _INCARNATION, _announcing(2.0), 9.9
        )
        self.assertEqual(first, LimitUpdate('i1', 7, 1, 2.0))
        again = self.registry.record_response(
            _INCARNATION, _announcing(2.0), 9.95
        )
        self.assertIsNone(again)
        changed = self.registry.record_response(
            _INCARNATION, _announcing(1.4), 9.95
        )
        self.assertEqual(changed, LimitUpdate('i1', 7, 2, 1.4))

    def test_a_later_response_without_limit_ends_it(self) -> None:
        """It does so only if its request was sent after the announcement."""
        self.registry.record_response(_INCARNATION, _announcing(2.0), 9.9)
        self.now = 11
        self.assertIsNone(
            self.registry.record_response(_INCARNATION, _PLAIN, 9.5)
        )
        self.assertEqual(self.limit(), 2)
        self.assertIsNotNone(
            self.registry.record_response(_INCARNATION, _PLAIN, 10.5)
        )
        self.assertIsNone(self.limit())

    def test_a_delayed_response_does_not_raise_a_limit(self) -> None:
        """It may be older than the response with the smaller limit."""
        self.registry.record_response(_INCARNATION, _announcing(1.4), 9.9)
        self.now = 11
        self.registry.record_response(_INCARNATION, _announcing(2.0), 9.5)
        self.assertEqual(self.limit(), 1.4)
        self.registry.record_response(_INCARNATION, _announcing(2.0), 10.5)
        self.assertEqual(self.limit(), 2)

    def test_another_incarnation_has_no_limit(self) -> None:
        """A limit applies to the incarnation that announced it."""
        self.registry.record_response(_INCARNATION, _announcing(2.0), 9.9)
        self.registry.record_response(Incarnation('i1', 8), _PLAIN, 10.5)
        incarnations = {
            update.incarnation for update in self.registry.active_limits()
        }
        self.assertEqual(incarnations, {_INCARNATION})

    def test_an_outdated_update_is_ignored(self) -> None:
        """A node that missed the end of a limit publishes the old one."""
        announced = self.registry.record_response(
            _INCARNATION, _announcing(2.0), 9.9
        )
        assert announced is not None
        self.now = 11
        self.registry.record_response(_INCARNATION, _PLAIN, 10.5)
        self.assertFalse(self.registry.merge(announced, 'n2'))
        self.assertIsNone(self.limit())

    def test_unlisted_incarnations_are_pruned(self) -> None:
        """They are kept first, as an entry may be missing for seconds."""
        self.registry.record_response(_INCARNATION, _announcing(2.0), 9.9)
        self.now = 20
        self.registry.prune((), {_INCARNATION})
        self.assertEqual(self.limit(), 2)
        self.now = 50
        self.registry.prune((), {_INCARNATION})
        self.assertIsNone(self.limit())

    @given(_UPDATES)
    def test_order_and_repeats_do_not_matter(
        self,
        updates: list[LimitUpdate],
    ) -> None:
        """Nodes that receive the same updates reach the same state."""
        states = set()
        for order in itertools.islice(itertools.permutations(updates), 24):
            registry = LimitRegistry(self.clock)
            for update in (*order, *order):
                registry.merge(update, 'n2')
            states.add(tuple(registry.active_limits()))
        self.assertEqual(len(states), 1)
