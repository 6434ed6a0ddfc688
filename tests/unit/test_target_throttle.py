"""What a node may send to targets that have said something of themselves."""

import operator
import time
import unittest
from collections import Counter
from collections.abc import Sequence

import attrs
import curio

from cranecart.forwarding import TargetConnectionPool
from cranecart.http import HttpConnection
from cranecart.ports import AnswerFacts, Incarnation, ListedInstance
from cranecart.routing import RoutingRequest
from cranecart.throttling import TargetThrottle
from tests.lib.fake_targets import CONFIG, MODEL, Exchange, GatewayWorld

_LIFE = Incarnation('i1', 7)
_REFUSAL = AnswerFacts('r1', False, True, rest_seconds=3)
_SUCCESS = AnswerFacts('r1', True, False)


class RestTest(unittest.TestCase):
    """Rests, on a clock that the test turns."""

    def setUp(self) -> None:
        """Hear a target ask for three seconds at second ten."""
        self.now = float(10)
        self.gate = TargetThrottle(clock=self.clock)
        self.gate.record_response(_LIFE, _REFUSAL, 9)

    def clock(self) -> float:
        """Return what the test has turned the clock to."""
        return self.now

    def test_it_ends(self) -> None:
        """Until then nothing goes there, and it is known when it does."""
        self.assertFalse(self.gate.accepts(_LIFE))
        self.now = 12
        self.assertEqual(self.gate.seconds_until_accepted(_LIFE), 1)
        self.now = 13
        self.assertTrue(self.gate.accepts(_LIFE))
        self.gate.refresh({_LIFE})
        self.assertTrue(self.gate.is_unrestricted)

    def test_a_success_does_not_end_it(self) -> None:
        """Its request was sent before the target asked."""
        self.gate.record_response(_LIFE, _SUCCESS, 9.5)
        self.assertFalse(self.gate.accepts(_LIFE))

    def test_a_later_one_makes_it_longer_only(self) -> None:
        """Answers pass each other."""
        self.now = 12
        brief = attrs.evolve(_REFUSAL, rest_seconds=0.1)
        self.gate.record_response(_LIFE, brief, 11)
        self.assertEqual(self.gate.seconds_until_accepted(_LIFE), 1)
        self.gate.record_response(_LIFE, _REFUSAL, 11)
        self.assertEqual(self.gate.seconds_until_accepted(_LIFE), 3)

    def test_another_life_rests_not(self) -> None:
        """What comes back under the same id has asked for nothing."""
        self.assertTrue(self.gate.accepts(Incarnation('i1', 8)))

    def test_the_share_of_a_limit_is_told(self) -> None:
        """What this node may send could not be seen in any line."""
        limited = AnswerFacts('r1', True, False, limit=2)
        with self.assertLogs('cranecart.decisions', 'INFO') as told:
            self.gate.record_response(_LIFE, limited, 9)
        fields = map(operator.attrgetter('fields'), told.records)
        shares = [one for one in fields if one['event'] == 'target_share']
        self.assertEqual(len(shares), 1)
        self.assertEqual(shares[0]['per_second'], 2)
        self.assertEqual(shares[0]['nodes'], 1)

    def test_a_rest_and_a_limit(self) -> None:
        """Both hold, and a limit goes on behind a rest."""
        limited = AnswerFacts('r1', True, False, limit=2)
        self.gate.record_response(_LIFE, limited, 9)
        self.now = 11
        self.assertFalse(self.gate.accepts(_LIFE))
        self.now = 14
        self.assertTrue(self.gate.accepts(_LIFE))
        self.gate.record_sent(_LIFE)
        self.gate.record_sent(_LIFE)
        self.assertFalse(self.gate.accepts(_LIFE))


class RankTest(unittest.TestCase):
    """Ten requests a second of each of two ranks, at a target with a limit."""

    def setUp(self) -> None:
        """Hear of a limit of two a second."""
        self.now = float(10)
        self.gate = TargetThrottle(clock=self.clock)
        limited = AnswerFacts('r1', True, False, limit=2)
        self.gate.record_response(_LIFE, limited, 9)
        self.taken: Counter[int] = Counter()

    def clock(self) -> float:
        """Return what the test has turned the clock to."""
        return self.now

    def test_urgent_ones_go_first(self) -> None:
        """They get nearly all of it, whoever asks first."""
        self._ask((3, 1))
        self.assertGreater(self.taken[1], 9 * self.taken[3])
        self.assertGreaterEqual(self.taken.total(), 0.9 * 2 * 20)

    def test_others_get_what_is_left(self) -> None:
        """Where nothing urgent is turned away, nothing is kept for it."""
        self._ask((3,))
        self.assertGreaterEqual(self.taken[3], 0.9 * 2 * 20)

    def _ask(self, ranks: Sequence[int]) -> None:
        for _turn in range(200):
            self.now += 0.1
            for rank in ranks:
                if self.gate.accepts(_LIFE, rank):
                    self.gate.record_sent(_LIFE)
                    self.taken[rank] += 1
                else:
                    self.gate.record_rejection((_LIFE,), rank)


class ChangedLimitTest(unittest.TestCase):
    """A limit that falls, where many nodes have shared it."""

    def test_who_shares_it_is_found_at_once(self) -> None:
        """Not only at the next look: each of them could send once more."""
        asked: list[int] = []
        gate = TargetThrottle(lambda _domain, _name, most: _note(asked, most))
        for limit in (50, 2):
            facts = AnswerFacts('r1', True, False, limit=limit)
            gate.record_response(_LIFE, facts, time.monotonic() + 60)
        self.assertEqual(asked, [12, 1])


def _note(asked: list[int], most: int) -> int:
    asked.append(most)
    return most


class WaySendTest(unittest.TestCase):
    """A word that comes while a request is on its way to the target."""

    def test_looked_at_before_sending(self) -> None:
        """It goes elsewhere, which is no failure and costs no retry."""
        world = GatewayWorld(_serve, _serve, retries=0)
        curio.run(world.run, self._ask)
        self.assertEqual(len(world.targets[0].seen), 0)

    def test_no_other_is_left(self) -> None:
        """A stream has no target to move to where the other rests."""
        world = GatewayWorld(_serve, _serve)
        route = next(one for one in CONFIG.routes if one.name == 'stream')
        wanted = RoutingRequest(CONFIG, route, 'drafts', MODEL, 100, 2)
        ask = (CONFIG, 'drafts', MODEL, ['i0'])
        self.assertTrue(world.router.has_untried_target(*ask))
        world.router.throttle.record_response(Incarnation('i1'), _REFUSAL, 0)
        self.assertFalse(world.router.has_untried_target(*ask))
        chosen = {world.router.choose(wanted).instance.id for _ in range(20)}
        self.assertEqual(chosen, {'i0'})

    async def _ask(self, world: GatewayWorld) -> None:
        sender = world.gateway._sender
        sender.connections = SlowConnections(gate=world.router.throttle)
        for _number in range(6):
            answer = await world.ask('/stream/x')
            self.assertEqual(answer.status, 200)


@attrs.define(kw_only=True)
class SlowConnections(TargetConnectionPool):
    """While the first target is connected to, another answer asks for rest."""

    gate: TargetThrottle

    async def acquire(
        self,
        instance: ListedInstance,
        *,
        require_recent: bool,
        require_new: bool = False,
    ) -> HttpConnection:
        """Hear of the rest, then return a connection."""
        self.gate.record_response(Incarnation('i0'), _REFUSAL, 0)
        return await super().acquire(
            instance, require_recent=require_recent, require_new=require_new
        )


async def _serve(exchange: Exchange) -> None:
    await exchange.start_stream()
    await exchange.events(1, 2)
    await exchange.end_stream()
