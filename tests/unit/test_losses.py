"""Lost requests of a benchmark run, read from node logs."""

import unittest

from tools.losses import replicas_by_second, request_outcomes
from tools.pairs import compare
from tools.repairs import read_events

_ADMITTED = (
    '{"event":"admitted","time":5.0,"at":5.0,"request":"%s","model":"m",'
    '"organisation":"o","node":"n","objective":0.3,"pause":0.2}'
)
_LOG = '\n'.join(
    (
        '{"event":"replica_open","time":4.0,"replica":"r","model":"m"}',
        _ADMITTED % 'a',
        '{"event":"streamed","time":5.2,"request":"a","first_ms":200,'
        '"gap_ms":90,"tried":["i"]}',
        _ADMITTED % 'b',
        '{"event":"streamed","time":5.9,"request":"b","first_ms":200,'
        '"gap_ms":400,"tried":["i","j"]}',
        _ADMITTED % 'c',
        '{"event":"refused","time":5.1,"request":"c","code":"overloaded",'
        '"begun":false}',
        '{"event":"replica_stopped","time":6.5,"replica":"r"}',
        '{"event":"cut by a ki',
    ),
)


class LossesTest(unittest.TestCase):
    """A log of three requests whose last line is truncated."""

    def test_causes(self) -> None:
        """Each request is assigned one cause."""
        causes = [
            outcome.cause for outcome in request_outcomes(read_events(_LOG))
        ]
        self.assertEqual(causes, ['in time', 'pause, moved', 'overloaded'])

    def test_replicas(self) -> None:
        """Open replicas are counted by second."""
        counts = replicas_by_second(read_events(_LOG), 4)
        self.assertEqual((counts[0]['m'], counts[2]['m']), (1, 0))


class CompareTest(unittest.TestCase):
    """Comparison of pairs of runs."""

    def test_interval_with_zero_is_inconclusive(self) -> None:
        """Even if the mean difference is large."""
        difference = compare([(0.5, 0.9), (0.6, 0.5), (0.5, 0.7)])
        assert difference is not None
        self.assertEqual(difference.verdict, 'inconclusive')

    def test_consistent_improvement(self) -> None:
        """A small difference is significant if it is consistent."""
        pairs = [(0.51, 0.54), (0.61, 0.64), (0.72, 0.76)]
        difference = compare(pairs)
        assert difference is not None
        self.assertEqual(difference.verdict, 'improvement')
        self.assertIsNone(compare(pairs[:1]))
