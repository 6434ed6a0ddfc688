"""What a node believes of the limits that targets name."""

import itertools
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.ports import AnswerFacts, Incarnation
from cranecart.throttling import LimitRegistry, LimitUpdate

_LIFE = Incarnation('i1', 7)
_PLAIN = AnswerFacts('r1', True, False)

_NEWS = st.lists(
    st.builds(
        LimitUpdate,
        st.just(_LIFE.id),
        st.just(_LIFE.born),
        st.integers(1, 4),
        st.sampled_from((None, 1.0, 2.0)),
    ),
    max_size=6,
)


def _naming(limit: float | None) -> AnswerFacts:
    return attrs.evolve(_PLAIN, limit=limit)


class LimitBookTest(unittest.TestCase):
    """Answers and news of one life, on a clock that the test turns."""

    def setUp(self) -> None:
        """Know nothing."""
        self.now = float(10)
        self.book = LimitRegistry(self.clock)

    def clock(self) -> float:
        """Return what the test has turned the clock to."""
        return self.now

    def limit(self) -> float | None:
        """Return the limit in force, if there is one."""
        return next((one.per_second for one in self.book.active_limits()), None)

    def test_an_answer_names_a_limit(self) -> None:
        """It is news once, and again when it changes."""
        first = self.book.record_response(_LIFE, _naming(2.0), 9.9)
        self.assertEqual(first, LimitUpdate('i1', 7, 1, 2.0))
        again = self.book.record_response(_LIFE, _naming(2.0), 9.95)
        self.assertIsNone(again)
        changed = self.book.record_response(_LIFE, _naming(1.4), 9.95)
        self.assertEqual(changed, LimitUpdate('i1', 7, 2, 1.4))

    def test_one_without_lifts_it(self) -> None:
        """But only if its request was sent after it had been named."""
        self.book.record_response(_LIFE, _naming(2.0), 9.9)
        self.now = 11
        self.assertIsNone(self.book.record_response(_LIFE, _PLAIN, 9.5))
        self.assertEqual(self.limit(), 2)
        self.assertIsNotNone(self.book.record_response(_LIFE, _PLAIN, 10.5))
        self.assertIsNone(self.limit())

    def test_a_late_answer_names_no_larger_limit(self) -> None:
        """It may be older than the one that named the smaller."""
        self.book.record_response(_LIFE, _naming(1.4), 9.9)
        self.now = 11
        self.book.record_response(_LIFE, _naming(2.0), 9.5)
        self.assertEqual(self.limit(), 1.4)
        self.book.record_response(_LIFE, _naming(2.0), 10.5)
        self.assertEqual(self.limit(), 2)

    def test_another_life_has_no_limit(self) -> None:
        """What one life has named says nothing of the next."""
        self.book.record_response(_LIFE, _naming(2.0), 9.9)
        self.book.record_response(Incarnation('i1', 8), _PLAIN, 10.5)
        incarnations = {one.incarnation for one in self.book.active_limits()}
        self.assertEqual(incarnations, {_LIFE})

    def test_old_news_changes_nothing(self) -> None:
        """A node that has not heard of the end says what it knew."""
        named = self.book.record_response(_LIFE, _naming(2.0), 9.9)
        assert named is not None
        self.now = 11
        self.book.record_response(_LIFE, _PLAIN, 10.5)
        self.assertFalse(self.book.merge(named, 'n2'))
        self.assertIsNone(self.limit())

    def test_unlisted_lives_are_forgotten(self) -> None:
        """But not at once, as an entry may be lost for some seconds."""
        self.book.record_response(_LIFE, _naming(2.0), 9.9)
        self.now = 20
        self.book.prune((), {_LIFE})
        self.assertEqual(self.limit(), 2)
        self.now = 50
        self.book.prune((), {_LIFE})
        self.assertIsNone(self.limit())

    @given(_NEWS)
    def test_order_and_repeats_do_not_matter(
        self,
        news: list[LimitUpdate],
    ) -> None:
        """All nodes that hear the same believe the same."""
        believed = set()
        for order in itertools.islice(itertools.permutations(news), 24):
            book = LimitRegistry(self.clock)
            for one in (*order, *order):
                book.merge(one, 'n2')
            believed.add(tuple(book.active_limits()))
        self.assertEqual(len(believed), 1)
