"""What is remembered of requests under which targets end, and of whom not."""

import contextlib
import unittest
from collections.abc import Sequence

import attrs
import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import (
    ConnectFailedError,
    ConnectRefusedError,
    HeldError,
    TargetDisconnectedError,
)
from cranecart.http import Address
from cranecart.ports import Incarnation, ListedInstance, Row
from cranecart.quarantine import (
    CaseRegistry,
    CaseUpdate,
    HeldRows,
    RequestGuard,
    Termination,
    TerminationProbe,
    Verdict,
    held_from_rows,
    held_key,
    request_identity,
)
from cranecart.quarantine._pending import PendingTerminations
from tests.lib.fake_platform import (
    LOST_ANSWER,
    REFUSED,
    FakePlatform,
)

_LIVES = tuple(Incarnation(f'i{number}', number) for number in range(12))
_ENDS = st.builds(Termination, st.sampled_from(_LIVES), st.booleans())
_NEWS = st.builds(
    CaseUpdate,
    st.sampled_from(('a', 'b')),
    st.lists(_ENDS, max_size=3).map(tuple),
    st.lists(st.sampled_from(_LIVES[:4]), max_size=2).map(tuple),
)


@attrs.define
class _Clock:
    now: float = 100

    def __call__(self) -> float:
        return self.now


def _begun(*numbers: int) -> CaseUpdate:
    return CaseUpdate(
        'a', tuple(Termination(_LIVES[one], True) for one in numbers)
    )


def _unsure(*numbers: int) -> CaseUpdate:
    return CaseUpdate(
        'a', tuple(Termination(_LIVES[one], False) for one in numbers)
    )


class IdentityTest(unittest.TestCase):
    """What all tries at one request share."""

    def test_parts_do_not_run_into_each_other(self) -> None:
        """No two different requests have the same text of parts."""
        self.assertNotEqual(
            request_identity('ab', 'c', 'POST', '/', b'x'),
            request_identity('a', 'bc', 'POST', '/', b'x'),
        )

    @given(st.binary(), st.binary())
    def test_bodies(self, one: bytes, other: bytes) -> None:
        """Only the same bytes are the same request."""
        self.assertEqual(
            request_identity('o', 'h', 'POST', '/p', one)
            == request_identity('o', 'H', 'POST', '/p', other),
            one == other,
        )


class BookTest(unittest.TestCase):
    """Sets of lives, whoever tells them."""

    def test_three_begun_ends(self) -> None:
        """Told by three nodes, and once again by each."""
        book = CaseRegistry()
        for number in (0, 1, 2, 0, 1, 2):
            book.merge(_begun(number), is_own=False)
        self.assertIs(book.verdict('a'), Verdict.HELD)

    def test_one_life_counts_once(self) -> None:
        """However many tries had begun there, and whoever tells it."""
        book = CaseRegistry()
        for _number in range(9):
            book.merge(_begun(0), is_own=True)
        self.assertIs(book.verdict('a'), Verdict.SUSPECT)

    def test_who_may_have_waited(self) -> None:
        """One end more is asked for, and none makes a suspect."""
        book = CaseRegistry()
        standings = []
        for number in range(4):
            book.merge(_unsure(number), is_own=True)
            standings.append(book.verdict('a'))
        self.assertEqual(
            standings,
            [Verdict.FREE, Verdict.ISOLATED, Verdict.ISOLATED, Verdict.HELD],
        )

    def test_a_whole_answer_clears(self) -> None:
        """Also against news of the same ends that come late."""
        book = CaseRegistry()
        book.merge(_begun(0, 1), is_own=True)
        news = book.clearing_update('a')
        assert news is not None
        book.merge(news, is_own=True)
        book.merge(_begun(0, 1), is_own=False)
        book.merge(_begun(2), is_own=False)
        self.assertIs(book.verdict('a'), Verdict.SUSPECT)

    @given(st.lists(_NEWS, max_size=12), st.randoms())
    def test_order_does_not_matter(
        self,
        told: list[CaseUpdate],
        source: 'st.Random',  # type: ignore[name-defined]
    ) -> None:
        """Late, again, and in any order: nodes come to the same."""
        shuffled = [*told, *told]
        source.shuffle(shuffled)
        books = (CaseRegistry(), CaseRegistry())
        for book, news in zip(books, (told, shuffled), strict=True):
            for one in news:
                book.merge(one, is_own=False)
        for identity in ('a', 'b'):
            self.assertIs(
                books[0].verdict(identity),
                books[1].verdict(identity),
            )

    def test_who_is_explained(self) -> None:
        """Who was at some ends of one that has more of them is let go."""
        for news in (_begun(0, 1, 2), _unsure(0, 1, 2, 3)):
            with self.subTest(news=news):
                book = CaseRegistry()
                beside = attrs.evolve(news, identity='beside')
                book.merge(beside, is_own=True)
                self.assertIs(book.verdict('beside'), Verdict.HELD)
                book.merge(_begun(0, 1, 2, 3), is_own=True)
                self.assertIs(book.verdict('beside'), Verdict.FREE)
                self.assertIs(book.verdict('a'), Verdict.HELD)

    def test_nobody_explains_the_cause(self) -> None:
        """One that is held for as many ends, or of whom nobody can tell."""
        book = CaseRegistry()
        for beside in (_begun(0, 1, 2), _unsure(0, 1, 2, 3, 4)):
            news = attrs.evolve(beside, identity=f'beside {beside}')
            book.merge(news, is_own=True)
        book.merge(_begun(0, 1, 2), is_own=True)
        self.assertIs(book.verdict('a'), Verdict.HELD)

    def test_bounded(self) -> None:
        """Bodies that vary fill no memory; the newest held ones stay."""
        book = CaseRegistry()
        for number in range(3000):
            news = attrs.evolve(_begun(0, 1, 2), identity=f'held {number}')
            book.merge(news, is_own=True)
            news = attrs.evolve(_begun(0), identity=f'suspect {number}')
            book.merge(news, is_own=True)
        counts = book.counts()
        self.assertLessEqual(counts['requests_held'], 256)
        self.assertLessEqual(counts['requests_suspected'], 2048)
        self.assertIs(book.verdict('held 2999'), Verdict.HELD)

    def test_suspects_are_forgotten(self) -> None:
        """After an hour; what is held stays."""
        clock = _Clock()
        book = CaseRegistry(clock)
        book.merge(_begun(0, 1, 2), is_own=True)
        book.merge(attrs.evolve(_begun(0), identity='old'), is_own=True)
        clock.now += 3700
        book.merge(attrs.evolve(_begun(0), identity='new'), is_own=True)
        self.assertIs(book.verdict('old'), Verdict.FREE)
        self.assertIs(book.verdict('a'), Verdict.HELD)


class ProbeTest(unittest.TestCase):
    """What a port says of a life."""

    def test_only_a_refusal_tells(self) -> None:
        """A connection that is taken, or a cut path, is no evidence."""
        for error, ended in (
            (None, False),
            (ConnectFailedError('no answer'), False),
            (ConnectRefusedError('nothing listens'), True),
        ):
            with self.subTest(error=error):
                probe = TerminationProbe(_Port(error))
                found = curio.run(probe.has_terminated, _listed(0))
                self.assertIs(found, ended)

    def test_asked_once_for_all(self) -> None:
        """Thirty requests that break off together ask once."""
        port = _Port(ConnectRefusedError('nothing listens'))
        curio.run(_ask_together, TerminationProbe(port), 30)
        self.assertEqual(port.asked, 1)

    def test_forgotten(self) -> None:
        """Lives that are gone take no memory for ever."""
        clock = _Clock()
        port = _Port(ConnectRefusedError('nothing listens'))
        probe = TerminationProbe(port, clock)
        curio.run(probe.has_terminated, _listed(0))
        clock.now += 120
        probe.prune(())
        self.assertFalse(probe._probed or probe._locks)


class GuardTest(unittest.TestCase):
    """Which ends count, and what follows from them."""

    def test_what_does_not_count(self) -> None:
        """Who had run for long, who left as planned, who lives on."""
        for seconds, leaves, error in (
            (0.6, False, ConnectRefusedError('nothing listens')),
            (0.1, True, ConnectRefusedError('nothing listens')),
            (0.1, False, None),
        ):
            with self.subTest(seconds=seconds, leaves=leaves, error=error):
                clock = _Clock()
                guard = _guard(_Port(error), clock, leaves=leaves)
                for number in range(5):
                    curio.run(_end_under, guard, number, clock, seconds)
                self.assertTrue(guard.cases.is_empty)

    def test_nothing_is_computed_on_ordinary_days(self) -> None:
        """No digest where there is nothing to compare it with."""
        guard = _guard(_Port(None))
        with guard.track_running(_fail, _listed(0)):
            self.assertFalse(guard.instances_to_avoid(_fail))
        guard.record_served(_fail)

    def test_held(self) -> None:
        """The third end holds it; it is told with what it ended."""
        guard = _guard(_Port(ConnectRefusedError('nothing listens')))
        for number in range(3):
            curio.run(_end_under, guard, number)
        with self.assertRaises(HeldError) as caught:
            guard.instances_to_avoid(lambda: 'a')
        self.assertIn('i0, i1, i2', str(caught.exception))
        self.assertFalse(guard.instances_to_avoid(lambda: 'b'))

    def test_suspects_keep_apart(self) -> None:
        """Those of one end go to different targets, others where none is."""
        guard = _guard(_Port(None))
        for identity, numbers in (('a', (0, 1)), ('b', (0,)), ('c', (0,))):
            news = attrs.evolve(_begun(*numbers), identity=identity)
            guard.cases.merge(news, is_own=True)
        with (
            guard.track_running(lambda: 'a', _listed(4)),
            guard.track_running(lambda: 'b', _listed(5)),
        ):
            self.assertEqual(
                set(guard.instances_to_avoid(lambda: 'c')), {'i4', 'i5'}
            )
            # Others are kept away only from what was there at two ends.
            self.assertEqual(set(guard.instances_to_avoid(lambda: 'x')), {'i4'})
        self.assertFalse(guard.instances_to_avoid(lambda: 'c'))

    def test_told_again(self) -> None:
        """News may be lost: it is repeated for two seconds, then no more."""
        clock = _Clock()
        told: list[Sequence[CaseUpdate]] = []
        guard = RequestGuard(
            lambda _one: False,
            told.append,
            CaseRegistry(clock),
            clock,
            TerminationProbe(_Port(ConnectRefusedError('nothing listens'))),
        )
        curio.run(_end_under, guard, 0)
        for _turn in range(9):
            clock.now += 0.5
            guard.refresh(())
        self.assertEqual(len(told), 4)


class PendingTest(unittest.TestCase):
    """Ends that show only after a connection broke."""

    def setUp(self) -> None:
        """Know of no break."""
        self.clock = _Clock()
        self.pending = PendingTerminations(self.clock)
        self.ended: set[Incarnation] = set()

    def found(self) -> dict[str, bool]:
        """Return who was there at ends that show now, and whether begun."""
        news = self.pending.pop_terminated(self.ended.__contains__)
        return {one.identity: one.ends[0].begun for one in news}

    def test_known_later(self) -> None:
        """It counts from when it broke, once."""
        self.pending.record_break(_LIVES[0], 'a', begun=True)
        self.assertEqual(self.found(), {})
        self.ended.add(_LIVES[0])
        self.assertEqual(self.found(), {'a': True})
        self.assertEqual(self.found(), {})

    def test_who_came_after_the_end(self) -> None:
        """What is sent to a port without a target has ended nothing."""
        self.pending.record_break(_LIVES[0], 'a', begun=True)
        self.pending.record_break(_LIVES[0], 'waited', begun=False)
        self.clock.now += 0.5
        self.pending.record_break(_LIVES[0], 'later', begun=False)
        self.ended.add(_LIVES[0])
        self.assertEqual(self.found(), {'a': True, 'waited': False})

    def test_an_earlier_break(self) -> None:
        """A connection was reset, and the target went on; then it ended."""
        self.pending.record_break(_LIVES[0], 'reset', begun=False)
        self.clock.now += 1
        self.pending.record_break(_LIVES[0], 'waited', begun=False)
        self.pending.record_alive(_LIVES[0])
        self.ended.add(_LIVES[0])
        self.assertEqual(self.found(), {'waited': False})

    def test_it_does_not_wait_for_ever(self) -> None:
        """An end that comes much later is another's doing."""
        self.pending.record_break(_LIVES[0], 'a', begun=True)
        self.clock.now += 10
        self.assertEqual(self.found(), {})
        self.ended.add(_LIVES[0])
        self.assertEqual(self.found(), {})


class RowsTest(unittest.TestCase):
    """What outlasts every node."""

    def test_another_node_reads_it(self) -> None:
        """One that has started since, or that nobody reaches."""
        table, book = FakePlatform(), CaseRegistry()
        book.merge(_begun(0, 1, 2), is_own=True)
        curio.run(HeldRows('n0', table, book).write)
        other = CaseRegistry()
        HeldRows('n1', FakePlatform(), other).apply(table.rows, True)
        self.assertIs(other.verdict('a'), Verdict.HELD)

    def test_written_once(self) -> None:
        """Also where an answer was lost, or the store was away."""
        for faults in ((), (LOST_ANSWER,), (REFUSED, REFUSED)):
            with self.subTest(faults=faults):
                table = FakePlatform(faults=iter(faults))
                book = CaseRegistry()
                rows = HeldRows('n0', table, book)
                book.merge(_begun(0, 1, 2), is_own=True)
                for _turn in range(5):
                    curio.run(rows.write)
                    rows.apply(table.rows, False)
                self.assertEqual(len(table.rows), 1)
                self.assertLessEqual(table.version, 2)

    def test_its_finder_dies(self) -> None:
        """Another node writes what it was told, after some time."""
        clock = _Clock()
        table, book = FakePlatform(), CaseRegistry(clock)
        rows = HeldRows('n1', table, book, clock)
        book.merge(_begun(0, 1, 2), is_own=False)
        curio.run(rows.write)
        self.assertFalse(table.rows)
        clock.now += 2.5
        curio.run(rows.write)
        self.assertTrue(table.rows)

    def test_an_operator_releases(self) -> None:
        """The row goes, nobody writes it again, and it starts at nothing."""
        for is_whole in (False, True):
            with self.subTest(is_whole=is_whole):
                table, book = FakePlatform(), CaseRegistry()
                rows = HeldRows('n0', table, book)
                book.merge(_begun(0, 1, 2), is_own=True)
                curio.run(rows.write)
                rows.apply(table.rows, False)
                gone = {} if is_whole else dict.fromkeys(table.rows)
                rows.apply(gone, is_whole)
                table.rows.clear()
                book.merge(_begun(0, 1, 2), is_own=False)
                curio.run(rows.write)
                self.assertFalse(table.rows)
                self.assertIs(book.verdict('a'), Verdict.FREE)

    def test_a_read_from_before_the_write(self) -> None:
        """It does not show that the row was dropped."""
        table, book = FakePlatform(), CaseRegistry()
        rows = HeldRows('n0', table, book)
        book.merge(_begun(0, 1, 2), is_own=True)
        before = dict(table.rows)
        curio.run(rows.write)
        rows.apply(before, True)
        self.assertIs(book.verdict('a'), Verdict.HELD)

    def test_cleared_drops_the_row(self) -> None:
        """A copy that was under way is answered whole."""
        table, book = FakePlatform(), CaseRegistry()
        rows = HeldRows('n0', table, book)
        book.merge(_begun(0, 1, 2), is_own=True)
        curio.run(rows.write)
        news = book.clearing_update('a')
        assert news is not None
        book.merge(news, is_own=True)
        curio.run(rows.write)
        self.assertFalse(table.rows)

    @given(st.one_of(st.text(), st.from_regex(r'\{"news":.*\}')))
    def test_rows_of_other_writers(self, text: str) -> None:
        """They hold nobody, and change nothing that is known."""
        key = held_key('a')
        book = CaseRegistry()
        book.merge(_begun(0, 1, 2), is_own=True)
        rows = HeldRows('n0', FakePlatform(), book)
        rows.apply({key: Row(key, 1, text)}, False)
        self.assertIs(book.verdict('a'), Verdict.HELD)
        self.assertFalse(held_from_rows({key: Row(key, 1, text)}))


@attrs.define
class _Port:
    """A port that takes connections, or what it answers with."""

    error: Exception | None
    asked: int = 0

    async def __call__(self, _address: Address) -> None:
        self.asked += 1
        await curio.sleep(0.001)
        if self.error is not None:
            raise self.error


def _guard(
    port: _Port,
    clock: _Clock | None = None,
    *,
    leaves: bool = False,
) -> RequestGuard:
    return RequestGuard(
        lambda _one: leaves,
        lambda _cases: None,
        clock=clock or _Clock(),
        probe=TerminationProbe(port),
    )


async def _end_under(
    guard: RequestGuard,
    number: int,
    clock: _Clock | None = None,
    progress_seconds: float = 0,
) -> None:
    """Break an attempt off after its answer has been coming for so long."""
    with contextlib.suppress(TargetDisconnectedError):
        async with guard.watch(lambda: 'a', _listed(number)) as watch:
            watch.record_begun()
            watch.record_progress()
            if clock is not None:
                clock.now += progress_seconds
            raise TargetDisconnectedError('it broke off')


def _listed(number: int) -> ListedInstance:
    incarnation = _LIVES[number]
    address = Address('127.0.0.1', 1)
    return ListedInstance(
        incarnation.id, 's', address, 'east', 1, born=incarnation.born
    )


async def _ask_together(probe: TerminationProbe, count: int) -> None:
    asking = [
        await curio.spawn(probe.has_terminated, _listed(0))
        for _number in range(count)
    ]
    for task in asking:
        await task.join()


def _fail() -> str:
    raise AssertionError('there is nothing to compare it with')


if __name__ == '__main__':
    unittest.main()
