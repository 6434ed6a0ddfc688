"""What the door decides, and what that gives under loads it was made for."""

import time
import unittest
from collections.abc import Sequence

import attrs

from cranecart.dispatch import (
    ClientRetryDetector,
    DispatchRequest,
    ForecastErrors,
    Refuse,
    ReplicaState,
    Send,
    decide,
    spread_retry_after,
)
from cranecart.emulation import Burst, Death, Engine
from tools.engine_loads import (
    PROFILE,
    SMALL,
    engines,
    fewest,
    forecast,
    route,
    worth,
)

_ASK = DispatchRequest(route(), PROFILE, SMALL, 600, 0, 6, 0.065)
_DECISIONS = 200


class DecideTest(unittest.TestCase):
    """One request and some replicas."""

    def test_a_free_replica_is_in_time(self) -> None:
        """Whatever another one has."""
        chosen = decide(
            _ASK, [ReplicaState('full', 20), ReplicaState('free', 2)]
        )
        self.assertEqual(_name(chosen), 'free')
        self.assertFalse(chosen.is_deferred)  # type: ignore[union-attr]

    def test_a_slow_one_is_passed_over(self) -> None:
        """What came late from it counts more than its numbers."""
        slow = ReplicaState('slow', 0, error_seconds=0.5)
        self.assertEqual(
            _name(decide(_ASK, [slow, ReplicaState('ok', 9)])), 'ok'
        )

    def test_a_near_one_is_preferred_to_a_little_quicker_one(self) -> None:
        """But not if it is full."""
        far = ReplicaState('far', 0, is_local=False)
        self.assertEqual(
            _name(decide(_ASK, [far, ReplicaState('near', 9)])), 'near'
        )
        self.assertEqual(
            _name(decide(_ASK, [far, ReplicaState('near', 16)])), 'far'
        )

    def test_what_is_late_lets_others_pass(self) -> None:
        """It waits as long as its client does."""
        chosen = decide(_ASK, [ReplicaState('full', 22)])
        self.assertTrue(isinstance(chosen, Send) and chosen.is_deferred)

    def test_what_cannot_be_served_is_refused_at_once(self) -> None:
        """With the time after which it could be."""
        chosen = decide(_ASK, [ReplicaState('full', 18, deferred=60)])
        self.assertTrue(
            isinstance(chosen, Refuse) and chosen.excess_seconds > 0
        )

    def test_one_that_came_back_is_refused_later_than_a_new_one(self) -> None:
        """It has waited already, and this is its last try."""
        late = [ReplicaState('full', 18, deferred=20)]
        self.assertIsInstance(decide(_ASK, late), Refuse)
        back = attrs.evolve(_ASK, elapsed_seconds=1, was_refused=True)
        self.assertIsInstance(decide(back, late), Send)

    def test_a_stream_that_moves_is_never_refused(self) -> None:
        """Its client has a part of the answer already."""
        begun = attrs.evolve(_ASK, is_resumed=True, elapsed_seconds=3)
        chosen = decide(begun, [ReplicaState('full', 40)])
        self.assertTrue(isinstance(chosen, Send) and not chosen.is_deferred)

    def test_a_decision_is_quick(self) -> None:
        """Under 50 us at 50 replicas and 200 us at 760 alone on a machine."""
        for replicas, seconds in ((50, 0.0005), (760, 0.006)):
            standings = [
                ReplicaState(f'r{number}', number % 9)
                for number in range(replicas)
            ]
            started = time.perf_counter()
            for _decision in range(_DECISIONS):
                decide(_ASK, standings)
            took = (time.perf_counter() - started) / _DECISIONS
            self.assertLess(took, seconds)


class ReturnsTest(unittest.TestCase):
    """Who has come back, and when to come."""

    def test_a_shorter_deadline_while_requests_are_refused(self) -> None:
        """What is missing of it is how long ago its client first asked."""
        returns = ClientRetryDetector()
        self.assertEqual(returns.elapsed_seconds('r', 6, 10), 0)
        self.assertEqual(returns.elapsed_seconds('r', 5.5, 10), 0)
        returns.record_refusal('r', 10)
        self.assertEqual(returns.elapsed_seconds('r', 5.5, 10.5), 0.5)
        self.assertEqual(returns.elapsed_seconds('r', 6, 10.5), 0)
        self.assertEqual(returns.elapsed_seconds('r', 5.5, 20), 0)

    def test_times_are_spread_and_heeded(self) -> None:
        """A third of what a client has left is the most that it heeds."""
        early, late = (spread_retry_after(0.4, 6, drawn) for drawn in (0, 1))
        self.assertLess(early, late)
        self.assertLessEqual(spread_retry_after(5, 3, 1), 1)


class ForecastErrorsTest(unittest.TestCase):
    """What is learned of replicas."""

    def test_a_slow_replica_is_known_and_tried_again(self) -> None:
        """After a while without answers it counts like any other."""
        errors = ForecastErrors()
        for _answer in range(20):
            errors.record('slow', 'm', 0.6, 10)
            errors.record('good', 'm', 0.1, 10)
        self.assertGreater(errors.expected('slow', 'm', 10), 0.5)
        self.assertLess(errors.expected('good', 'm', 10), 0.15)
        self.assertLess(errors.expected('slow', 'm', 20), 0.4)


class LoadTest(unittest.TestCase):
    """The door against counts alone, on the same requests and engines."""

    def test_a_surge(self) -> None:
        """Those that can be in time pass those that cannot: 0.66 to 0.73."""
        surge = Burst(5, 6, 2.4)
        before = worth(fewest, lambda: engines(4, 6), surge)
        after = worth(forecast, lambda: engines(4, 6), surge)
        self.assertGreater(after, before + 0.03)

    def test_too_few_replicas(self) -> None:
        """One model short for the whole day: 0.29 to 0.44."""
        before = worth(fewest, lambda: engines(2, 3))
        after = worth(forecast, lambda: engines(2, 3))
        self.assertGreater(after, before + 0.1)

    def test_deaths(self) -> None:
        """Streams that move, and fewer replicas for some seconds."""
        deaths = [Death(4, 0, 5), Death(6, 5, 5), Death(9, 1, 5)]
        before = worth(fewest, lambda: engines(4, 6), deaths=deaths)
        after = worth(forecast, lambda: engines(4, 6), deaths=deaths)
        self.assertGreater(after, before)

    def test_a_replica_turns_slow(self) -> None:
        """It gets fewer requests once its first answers are late."""
        before = worth(fewest, _with_a_slow_one)
        after = worth(forecast, _with_a_slow_one)
        self.assertGreater(after, before)


def _with_a_slow_one() -> Sequence[Engine]:
    replicas = engines(4, 6)
    replicas[0].slowness = 4
    return replicas


def _name(chosen: Send | Refuse) -> str:
    return chosen.name if isinstance(chosen, Send) else ''
