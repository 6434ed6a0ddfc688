"""Nodes that are stopped while targets are silent for a second."""

import signal
import time
from collections import Counter

import curio

from tests.lib.node_processes import NodeProcess, NodeProcessTestCase
from tests.lib.node_streams import (
    NodeStreams,
    ReceivedStream,
    received,
    sleep_until,
)
from tests.lib.silent_targets import Silence, SilentTargets
from tests.lib.waiting import until

_STREAMS = 20
_BAD_GATEWAY = 502
# A third of these has to move, for which one node's share of the slack is too
# little; those of all are enough for further moves on a busy machine.
_MANY_STREAMS = 60
_NODES = 3
_SLACK = 36
# Less than the time until the node may use its own share again.
_LONG_GRACE_SECONDS = 11.0
_TARGETS = frozenset((0, 1))
# 2.4 s without silence.
_EVENTS = 60
_SILENCE_SECONDS = 1.2
_GRACE_SECONDS = 3.0
# 12 s.
_LONG_EVENTS = 300


class StopBesideSilenceTest(NodeProcessTestCase):
    """Streams under way from targets that fall silent and go on."""

    def test_sound_streams_cut_by_a_stop(self) -> None:
        """SIGTERM shortly before, in and after the silence cuts none."""
        for seconds in (0.4, 1.6, 2.4):
            with self.subTest(stopped_after=seconds):
                curio.run(self._stop_in_time, seconds)

    def test_cut_streams_leave_no_line(self) -> None:
        """Those that need longer say so, each by its id."""
        curio.run(self._stop_long_streams, 1.0)

    def test_stop_ends_as_a_crash(self) -> None:
        """The grace period ends while the targets are silent."""
        curio.run(self._stop_long_streams, 2.0)

    def test_calls_closed_without_a_response(self) -> None:
        """Those that have none at the end of the grace period get an error."""
        curio.run(self._stop_long_calls)

    def test_stopping_node_borrows_no_retries(self) -> None:
        """A target dies, and only other nodes have retries left."""
        curio.run(self._stop_beside_death)

    def test_moved_streams_of_a_killed_node_leave_no_line(self) -> None:
        """What is known of them so far is written before they end."""
        curio.run(self._kill_after_silence)

    async def _stop_long_calls(self) -> None:
        streams = self._streams(_LONG_EVENTS, 1.0)
        await streams.start(
            route_type='safe', stop_grace_seconds=_GRACE_SECONDS
        )
        clients = await streams.begin(_STREAMS)
        node = streams.nodes[0]
        node.process.send_signal(signal.SIGTERM)
        statuses = {outcome.status for outcome in await received(clients)}
        self.assertEqual(statuses, {_BAD_GATEWAY})
        self.assertEqual(await streams.exit_code(), 0)
        cut = [line['request'] for line in node.events('cut_by_stop')]
        self.assertEqual(len(set(cut)), _STREAMS)
        await streams.stop()

    async def _stop_beside_death(self) -> None:
        silence = Silence(3.0, _SILENCE_SECONDS, frozenset((0,)))
        targets = SilentTargets(silence, 2 * _EVENTS, die=True)
        streams = NodeStreams(targets, self.start_node)
        await streams.start(
            nodes=_NODES,
            targets=3,
            retry_slack=_SLACK,
            stop_grace_seconds=_LONG_GRACE_SECONDS,
        )
        node = streams.nodes[0]
        await until(lambda: len(node.events('peer_met')) == _NODES - 1)
        clients = await streams.begin(_MANY_STREAMS)
        node.process.send_signal(signal.SIGTERM)
        outcomes = await received(clients)
        cut = [outcome for outcome in outcomes if not outcome.is_complete]
        self.assertEqual(cut, [])
        self.assertGreater(len(targets.begun), _MANY_STREAMS + _SLACK / _NODES)
        self.assertEqual(await streams.exit_code(), 0)
        await streams.stop()

    async def _kill_after_silence(self) -> None:
        streams = self._streams(_LONG_EVENTS, 1.0)
        await streams.start(log_successes=0)
        started_at = time.monotonic()
        clients = await streams.begin(_STREAMS)
        # Half a second after the silence.
        await sleep_until(started_at + 1.5 + _SILENCE_SECONDS)
        node = streams.nodes[0]
        node.kill()
        await received(clients)
        asked = set(streams.targets.begun)
        moved = {
            name for name in asked if streams.targets.begun.count(name) > 1
        }
        self.assertTrue(moved)
        for event in ('admitted', 'routed', 'attempt_added'):
            logged = {line['request'] for line in node.events(event)}
            self.assertEqual(moved - logged, set(), event)
        await streams.stop()

    async def _stop_in_time(self, seconds: float) -> None:
        streams = self._streams(_EVENTS, 1.0)
        await streams.start()
        started_at = time.monotonic()
        clients = await streams.begin(_STREAMS)
        await sleep_until(started_at + seconds)
        streams.nodes[0].process.send_signal(signal.SIGTERM)
        outcomes = await received(clients)
        for outcome in outcomes:
            self.assertTrue(outcome.is_complete)
            self.assertEqual(outcome.events, list(range(1, _EVENTS + 1)))
        self.assertEqual(await streams.exit_code(), 0)
        await streams.stop()

    async def _stop_long_streams(self, silent_at: float) -> None:
        streams = self._streams(_LONG_EVENTS, silent_at)
        await streams.start(stop_grace_seconds=_GRACE_SECONDS)
        clients = await streams.begin(_STREAMS)
        node = streams.nodes[0]
        node.process.send_signal(signal.SIGTERM)
        outcomes = await received(clients)
        self.assertTrue(all(outcome.is_cut for outcome in outcomes))
        self.assertEqual(await streams.exit_code(), 0)
        self._check_lines(node, outcomes)
        await streams.stop()

    def _check_lines(
        self, node: NodeProcess, outcomes: list[ReceivedStream]
    ) -> None:
        lines = {line['request']: line for line in node.events('cut_by_stop')}
        admitted = Counter(line['request'] for line in node.events('admitted'))
        for outcome in outcomes:
            line = lines[outcome.request_id]
            self.assertEqual(line['events'], len(outcome.events))
            self.assertIn(line['tried'][0], {'t-0', 't-1'})
            self.assertGreater(line['left'], 0)
            self.assertEqual(admitted[outcome.request_id], 1)
        self.assertEqual(node.events('client_left'), [])
        self.assertEqual(node.events('log'), [])

    def _streams(self, events: int, silent_at: float) -> NodeStreams:
        silence = Silence(silent_at, _SILENCE_SECONDS, _TARGETS)
        return NodeStreams(SilentTargets(silence, events), self.start_node)
