"""The dispatch decision, alone and in emulated overload."""

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
from cranecart.simulation import Burst, Engine, ReplicaCrash
from tools.engine_loads import (
    PROFILE,
    SMALL,
    engines,
    make_fewest_in_flight,
    make_forecast,
    mean_utility,
    route,
)

_REQUEST = DispatchRequest(route(), PROFILE, SMALL, 600, 0, 6, 0.065)
_DECISIONS = 200


class DecideTest(unittest.TestCase):
    """Decisions about one request and some replicas."""

    def test_a_free_replica_is_preferred_to_a_full_one(self) -> None:
        """It meets the objective, so that its request is not deferred."""
        decision = decide(
            _REQUEST, [ReplicaState('full', 20), ReplicaState('free', 2)]
        )
        self.assertEqual(_name(decision), 'free')
        self.assertFalse(decision.is_deferred)  # type: ignore[union-attr]

    def test_a_slow_replica_is_passed_over(self) -> None:
        """Its learned forecast error outweighs its lower number of requests."""
        slow = ReplicaState('slow', 0, error_seconds=0.5)
        self.assertEqual(
            _name(decide(_REQUEST, [slow, ReplicaState('ok', 9)])), 'ok'
        )

    def test_a_local_replica_is_preferred_to_a_slightly_faster_one(
        self,
    ) -> None:
        """A full local replica is not preferred."""
        remote = ReplicaState('remote', 0, is_local=False)
        self.assertEqual(
            _name(decide(_REQUEST, [remote, ReplicaState('local', 9)])), 'local'
        )
        self.assertEqual(
            _name(decide(_REQUEST, [remote, ReplicaState('local', 16)])),
            'remote',
        )

    def test_a_late_request_is_deferred(self) -> None:
        """It is still sent if its client waits long enough."""
        decision = decide(_REQUEST, [ReplicaState('full', 22)])
        self.assertTrue(isinstance(decision, Send) and decision.is_deferred)

    def test_a_request_that_would_time_out_is_refused(self) -> None:
        """The refusal has the seconds by which the wait would be too long."""
        decision = decide(_REQUEST, [ReplicaState('full', 18, deferred=60)])
        self.assertTrue(
            isinstance(decision, Refuse) and decision.excess_seconds > 0
        )

    def test_a_retry_is_accepted_longer_than_a_new_request(self) -> None:
        """Its client has waited already and has no further attempt."""
        late = [ReplicaState('full', 18, deferred=20)]
        self.assertIsInstance(decide(_REQUEST, late), Refuse)
        retry = attrs.evolve(_REQUEST, elapsed_seconds=1, was_refused=True)
        self.assertIsInstance(decide(retry, late), Send)

    def test_a_resumed_stream_is_never_refused(self) -> None:
        """Its client already has a part of the answer."""
        resumed = attrs.evolve(_REQUEST, is_resumed=True, elapsed_seconds=3)
        decision = decide(resumed, [ReplicaState('full', 40)])
        self.assertTrue(isinstance(decision, Send) and not decision.is_deferred)

    def test_a_decision_is_fast(self) -> None:
        """Alone on a machine it takes 50 us at 50 replicas, 200 us at 760."""
        for replicas, seconds in ((50, 0.0005), (760, 0.006)):
            replica_states = [
                ReplicaState(f'r{number}', number % 9)
                for number in range(replicas)
            ]
            started = time.perf_counter()
            for _number in range(_DECISIONS):
                decide(_REQUEST, replica_states)
            took = (time.perf_counter() - started) / _DECISIONS
            self.assertLess(took, seconds)


class ClientRetryTest(unittest.TestCase):
    """Recognising retries, and spreading them in time."""

    def test_a_shorter_deadline_during_refusals_is_a_retry(self) -> None:
        """The missing time is the time since the client first asked."""
        retries = ClientRetryDetector()
        self.assertEqual(retries.elapsed_seconds('r', 6, 10), 0)
        self.assertEqual(retries.elapsed_seconds('r', 5.5, 10), 0)
        retries.record_refusal('r', 10)
        self.assertEqual(retries.elapsed_seconds('r', 5.5, 10.5), 0.5)
        self.assertEqual(retries.elapsed_seconds('r', 6, 10.5), 0)
        self.assertEqual(retries.elapsed_seconds('r', 5.5, 20), 0)

    def test_retry_times_are_spread_and_bounded(self) -> None:
        """Clients honour at most a third of their remaining time."""
        early, late = (spread_retry_after(0.4, 6, drawn) for drawn in (0, 1))
        self.assertLess(early, late)
        self.assertLessEqual(spread_retry_after(5, 3, 1), 1)


class ForecastErrorsTest(unittest.TestCase):
    """Learning of forecast errors."""

    def test_a_slow_replica_is_learned_and_tried_again(self) -> None:
        """After some time without first events it counts like any other."""
        errors = ForecastErrors()
        for _answer in range(20):
            errors.record('slow', 'm', 0.6, 10)
            errors.record('good', 'm', 0.1, 10)
        self.assertGreater(errors.expected('slow', 'm', 10), 0.5)
        self.assertLess(errors.expected('good', 'm', 10), 0.15)
        self.assertLess(errors.expected('slow', 'm', 20), 0.4)


class LoadTest(unittest.TestCase):
    """Dispatch by forecast against dispatch by counts, in simulation."""

    def test_load_surge(self) -> None:
        """Requests that can still be in time pass late ones.

        The mean utility rises from 0.66 to 0.73.
        """
        surge = Burst(5, 6, 2.4)
        before = mean_utility(
            make_fewest_in_flight, lambda: engines(4, 6), surge
        )
        after = mean_utility(make_forecast, lambda: engines(4, 6), surge)
        self.assertGreater(after, before + 0.03)

    def test_too_few_replicas(self) -> None:
        """With too few replicas all day, utility rises from 0.29 to 0.44."""
        before = mean_utility(make_fewest_in_flight, lambda: engines(2, 3))
        after = mean_utility(make_forecast, lambda: engines(2, 3))
        self.assertGreater(after, before + 0.1)

    def test_replica_failures(self) -> None:
        """Streams resume elsewhere, with fewer replicas for some seconds."""
        crashes = [
            ReplicaCrash(4, 0, 5),
            ReplicaCrash(6, 5, 5),
            ReplicaCrash(9, 1, 5),
        ]
        before = mean_utility(
            make_fewest_in_flight, lambda: engines(4, 6), crashes=crashes
        )
        after = mean_utility(
            make_forecast, lambda: engines(4, 6), crashes=crashes
        )
        self.assertGreater(after, before)

    def test_a_replica_becomes_slow(self) -> None:
        """It gets fewer requests once its first events come late."""
        before = mean_utility(make_fewest_in_flight, _engines_with_a_slow_one)
        after = mean_utility(make_forecast, _engines_with_a_slow_one)
        self.assertGreater(after, before)


def _engines_with_a_slow_one() -> Sequence[Engine]:
    replicas = engines(4, 6)
    replicas[0].slowness = 4
    return replicas


def _name(decision: Send | Refuse) -> str:
    return decision.name if isinstance(decision, Send) else ''
