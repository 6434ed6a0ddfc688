"""No answer on a connection reaches a caller who did not ask for it.

Callers got answers that were another request's. Their service sent a second
answer behind one in two: 88 bytes that named no request came in one read with
the first, stayed in the parser of the connection that was kept, and were the
first thing found there when the next request was sent, 1 to 4 ms later. The
node compared an answer's name only if it had one, gave up comparing after two
foreign answers, and looked at the socket, not at the parser, before it used a
connection again: 'left_over ... "bytes":88', then 'foreign_answer ...
"named":"","carried":1,"taken":true', 11 times for 11 callers. An answer that
came in parts was cut as well: what was read of it was dropped whenever the
node looked up from waiting, every 25 ms.
"""

import itertools
import time
import unittest
from collections.abc import Iterable, Sequence

import attrs
import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from cranecart.exceptions import TargetBrokenError
from cranecart.forwarding import EventSplitter
from cranecart.http import Address
from cranecart.instances import Instance, InstanceKind
from cranecart.standins import (
    AnswerStyle,
    ExtraAnswer,
    Moment,
    Naming,
    StutteringService,
    Turn,
    own_body,
)
from cranecart.targets import ServiceCall, ServiceClient
from tests.lib.fake_targets import PLAIN, ClientAnswer, GatewayTestbed
from tests.lib.waiting import until

_STYLE = AnswerStyle('request-id', more=(('replica-signature', 'sig'),))
_HERE = Address('127.0.0.1', 0)
_GONE = (502, 504)
# So many calls in a row may fail at a target after it has stopped stuttering.
_SOON = 1

_EXTRAS = st.builds(
    ExtraAnswer,
    st.sampled_from(Naming),
    st.sampled_from(Moment),
    st.sampled_from((200, 204, 429, 500, 503)),
    st.booleans(),
)
_TURNS = st.builds(
    Turn,
    st.lists(_EXTRAS, max_size=4).map(tuple),
    st.sampled_from((0, 0.03)),
)


@attrs.define
class _Play:
    """Calls made one after the other, and what came back."""

    paths: Sequence[str]
    targets: Sequence[StutteringService]
    # Before this call, answers too many are waited for: how late they come on
    # a busy machine is not what is tested.
    settled: int = 0
    answers: list[ClientAnswer] = attrs.field(factory=list)

    async def run(self, testbed: GatewayTestbed) -> None:
        """Make the calls."""
        for number, path in enumerate(self.paths):
            if number == self.settled:
                await until(self._is_settled)
            answer = await testbed.ask(
                path,
                request_id=f'r{number}',
                deadline_ms=4000,
            )
            self.answers.append(answer)

    def _is_settled(self) -> bool:
        return not any(target.answering for target in self.targets)


def _calls(
    turns: Iterable[Turn],
    paths: Sequence[str],
    *,
    has_sound: bool = False,
) -> tuple[list[ClientAnswer], StutteringService]:
    """Make one call after the other; return the answers and the target.

    Another target of the same service is sound, if there is one.
    """
    script = tuple(turns)
    target = StutteringService(_HERE, _STYLE, script)
    targets = [target]
    if has_sound:
        targets.append(StutteringService(_HERE, _STYLE))
    others = {f's{number}': one for number, one in enumerate(targets)}
    play = _Play(paths, targets, len(script) + _SOON)
    curio.run(GatewayTestbed(service=PLAIN, other_targets=others).run, play.run)
    return play.answers, target


def _paths(path: str, count: int) -> Sequence[str]:
    return tuple(itertools.repeat(path, count))


class StutterTest(unittest.TestCase):
    """Targets that answer more often than they are asked."""

    def test_answers_too_many_are_nobodys(self) -> None:
        """Whatever they name, whenever they come, and however many."""
        for extras in (
            (ExtraAnswer(Naming.NOTHING),),
            (ExtraAnswer(Naming.NOTHING, Moment.NEXT),),
            (ExtraAnswer(Naming.NOTHING, Moment.NEXT, 503),),
            tuple(itertools.repeat(ExtraAnswer(moment=Moment.NEXT), 5)),
        ):
            with self.subTest(extras=extras):
                self._all_own(Turn(extras))

    def test_broken_off_behind_answers(self) -> None:
        """A call that runs once is lost to that once at the most.

        Nothing tells of the first such answer before the call that it breaks.
        """
        cut = ExtraAnswer(moment=Moment.LATER, is_cut=True)
        answers, _ = _calls(
            itertools.repeat(Turn((cut,)), 6),
            _paths('/unsafe/x', 6),
        )
        lost = [one.status for one in answers if one.status != 200]
        self.assertLessEqual(len(lost), 1)

    def test_an_uneven_connection_is_given_up(self) -> None:
        """What it still owes can then reach nobody."""
        turns = itertools.repeat(Turn((ExtraAnswer(),)), 3)
        _answers, target = _calls(turns, _paths('/safe/x', 4))
        self.assertEqual(target.connections, 4)

    def test_an_answer_in_parts(self) -> None:
        """Looking up from the wait loses nothing of it."""
        self._all_own(Turn(pause_seconds=0.07))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(_TURNS, max_size=8))
    def test_drawn_sequences(self, turns: list[Turn]) -> None:
        """Answers are one's own or none, and sound targets are used again.

        What must not run twice does not, and what may finds the answer of a
        sound target beside the one that stutters.
        """
        count = len(turns) + _SOON + 3
        once, target = _calls(turns, _paths('/unsafe/x', count))
        self._own_or_failed(once)
        self.assertLessEqual(max(target.ran.values()), 1)
        after = once[len(turns) + _SOON :]
        self.assertEqual({one.status for one in after}, {200})
        repeatable, _ = _calls(turns, _paths('/safe/x', count), has_sound=True)
        self._own_or_failed(repeatable)
        self.assertEqual({one.status for one in repeatable}, {200})

    def _all_own(self, turn: Turn) -> None:
        for path in ('/safe/x', '/unsafe/x'):
            answers, _ = _calls(itertools.repeat(turn, 3), _paths(path, 4))
            self.assertEqual({one.status for one in answers}, {200})
            self._own_or_failed(answers)

    def _own_or_failed(self, answers: Sequence[ClientAnswer]) -> None:
        for number, answer in enumerate(answers):
            if answer.status == 200:
                self.assertEqual(answer.body, own_body(f'r{number}'))
            else:
                self.assertIn(answer.status, _GONE)


class ServiceCallTest(unittest.TestCase):
    """The native protocol's calls of plain services."""

    def test_an_answer_that_names_nothing(self) -> None:
        """It is nobody's there either."""
        silent = AnswerStyle('x-request-id', names=False)
        with self.assertRaises(TargetBrokenError):
            curio.run(_call_natively, StutteringService(_HERE, silent))


class ResumedStreamTest(unittest.TestCase):
    """A stream that goes on at another target."""

    def test_one_that_starts_over(self) -> None:
        """Events that were passed on already are not passed on again."""
        splitter = EventSplitter()
        splitter.feed(b'id: 4\ndata: d\n\nid: 5')
        splitter.restart()
        with self.assertRaises(TargetBrokenError):
            splitter.feed(b'id: 1\ndata: a\n\n')

    def test_one_that_goes_on(self) -> None:
        """The event behind the last whole one is the next."""
        splitter = EventSplitter()
        splitter.feed(b'id: 4\ndata: d\n\nid: 5')
        splitter.restart()
        event = b'id: 5\ndata: e\n\n'
        self.assertEqual(splitter.feed(event), event)


async def _call_natively(service: StutteringService) -> None:
    serving = await curio.spawn(service.run)
    call = ServiceCall(
        request_id='r1',
        organisation='org',
        body=b'',
        deadline=time.monotonic() + 1,
        service=PLAIN,
        path='/',
        method='GET',
    )
    address = service.address
    instance = Instance(
        'i',
        InstanceKind.SERVICE,
        address.host,
        address.port,
        'east',
        '',
    )
    try:
        await ServiceClient().call(instance, call)
    finally:
        await serving.cancel()
