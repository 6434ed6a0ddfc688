"""Terminations count for requests whose attempts were given up before."""

import contextlib
import socket
import unittest
from collections.abc import Callable

import attrs
import curio

from cranecart.exceptions import (
    ConnectRefusedError,
    TargetAbandonedError,
    TargetError,
    TargetFailedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from cranecart.http import Address
from cranecart.ports import Incarnation
from cranecart.quarantine import (
    NamedRunner,
    RequestGuard,
    TerminationProbe,
    Verdict,
)
from cranecart.quarantine._probe import wait_for_break
from tests.lib.fake_clock import FakeClock

_ADDRESS = Address('127.0.0.1', 1)
_RUNNERS = tuple(
    NamedRunner(f'i{number}', Incarnation(f'i{number}', 1), _ADDRESS)
    for number in range(100)
)
_RETENTION_SECONDS = 2.0


@attrs.define
class _Rig:
    """A guard whose targets terminate when the test says so."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    is_leaving: bool = False
    has_open_port: bool = False
    # Incarnations that the instance list shows as terminated.
    listed_terminated: set[Incarnation] = attrs.field(factory=set)
    watched: list[Address] = attrs.field(factory=list)
    guard: RequestGuard = attrs.field(init=False)
    _broken: curio.Event = attrs.field(factory=curio.Event)

    async def abandon(
        self,
        number: int = 0,
        error: TargetError | None = None,
        *,
        identity: str = 'a',
        was_sent: bool = True,
        seconds: float = 0,
    ) -> None:
        """Give an attempt up ``seconds`` after its answer began to arrive."""
        with contextlib.suppress(TargetError):
            async with self.guard.watch(
                lambda: identity, _RUNNERS[number]
            ) as progress:
                if was_sent:
                    progress.record_sent()
                if seconds:
                    progress.record_progress()
                    self.clock.now += seconds
                raise error or TargetAbandonedError('silent')

    async def terminate(self, after_seconds: float = 0.5) -> None:
        """End all targets, which breaks the connections to them."""
        self.clock.now += after_seconds
        await self._broken.set()
        await curio.sleep(0)
        await curio.sleep(0)
        self._broken.clear()

    @guard.default
    def _make_guard(self) -> RequestGuard:
        return RequestGuard(
            lambda _runner: self.is_leaving,
            lambda _updates: None,
            clock=self.clock,
            probe=TerminationProbe(self._connect),
            has_terminated=self.listed_terminated.__contains__,
            wait_for_break=self._wait_for_break,
        )

    async def _wait_for_break(
        self, address: Address, seconds_left: Callable[[], float]
    ) -> bool:
        self.watched.append(address)
        await self._broken.wait()
        return seconds_left() > 0

    async def _connect(self, _address: Address) -> None:
        if not self.has_open_port:
            raise ConnectRefusedError('nothing listens')


class AbandonedAttemptTest(unittest.TestCase):
    """Which abandoned attempts count, and for how long."""

    def test_termination_shortly_after(self) -> None:
        """It counts, whatever the reason for which the attempt ended."""
        for error in (
            TargetAbandonedError('silent'),
            TargetTimeoutError('the deadline has passed'),
        ):
            with self.subTest(error=error):
                self.assertEqual(_count_terminations(_Rig(), error), 1)

    def test_cancelled_attempt(self) -> None:
        """A client that leaves cancels the attempt."""
        rig = _Rig()
        curio.run(_cancel_and_terminate, rig)
        self.assertEqual(rig.guard.terminations, 1)

    def test_other_ends_of_attempts(self) -> None:
        """Answered, unreachable and unsent attempts run nowhere any more."""
        for error in (
            TargetFailedError('answered with status 500'),
            TargetUnreachableError('refused'),
        ):
            with self.subTest(error=error):
                self.assertEqual(_count_terminations(_Rig(), error), 0)
        self.assertEqual(_count_terminations(_Rig(), was_sent=False), 0)

    def test_attempts_there_by_chance(self) -> None:
        """One that was answered for a while did not crash its target."""
        self.assertEqual(_count_terminations(_Rig(), seconds=0.5), 0)

    def test_expected_terminations(self) -> None:
        """A target that was asked to leave says nothing about requests."""
        self.assertEqual(_count_terminations(_Rig(is_leaving=True)), 0)

    def test_termination_long_after(self) -> None:
        """It had another cause, and the attempt uses no memory any more."""
        rig = _Rig()
        curio.run(_abandon_and_terminate, rig, _RETENTION_SECONDS + 0.1)
        self.assertEqual(rig.guard.terminations, 0)
        rig.guard.refresh(())
        self.assertEqual(rig.guard.counts()['attempts_abandoned'], 0)

    def test_request_served_elsewhere(self) -> None:
        """It does not crash targets, so that its attempts are forgotten."""
        rig = _Rig()
        curio.run(_abandon_serve_and_terminate, rig)
        self.assertTrue(rig.guard.cases.is_empty)

    def test_port_that_stays_open(self) -> None:
        """The instance list shows the termination later."""
        rig = _Rig(has_open_port=True)
        curio.run(_abandon_and_terminate, rig)
        self.assertEqual(rig.guard.terminations, 0)
        rig.listed_terminated.add(_RUNNERS[0].incarnation)
        rig.clock.now += _RETENTION_SECONDS
        rig.guard.refresh(())
        self.assertEqual(rig.guard.terminations, 1)

    def test_termination_that_only_the_list_shows(self) -> None:
        """A target without power breaks no connection."""
        rig = _Rig()
        curio.run(rig.abandon)
        rig.listed_terminated.add(_RUNNERS[0].incarnation)
        rig.guard.refresh(())
        self.assertEqual(rig.guard.terminations, 1)

    def test_suspects_avoid_abandoned_attempts(self) -> None:
        """Their targets may crash at any moment."""
        rig = _Rig()
        curio.run(_abandon_after_two_terminations, rig)
        self.assertIs(rig.guard.cases.verdict('a'), Verdict.ISOLATED)
        self.assertEqual(
            set(rig.guard.instances_to_avoid(lambda: 'other')), {'i2'}
        )
        rig.clock.now += _RETENTION_SECONDS
        self.assertFalse(rig.guard.instances_to_avoid(lambda: 'other'))

    def test_bounded_number_of_connections(self) -> None:
        """An outage of many targets opens no connection to each of them."""
        rig = _Rig()
        curio.run(_abandon_everywhere, rig)
        self.assertEqual(len(rig.watched), 64)


class WaitForBreakTest(unittest.TestCase):
    """The connection that shows the termination of a target."""

    def test_target_that_closes(self) -> None:
        """Its end is noticed at once."""
        self.assertTrue(curio.run(_wait_while_closing, 0.05, 5))

    def test_target_that_stays(self) -> None:
        """The wait ends with the time."""
        self.assertFalse(curio.run(_wait_while_closing, 5, 0.05))

    def test_target_that_has_terminated(self) -> None:
        """A connection that cannot be opened counts as broken."""
        self.assertTrue(curio.run(wait_for_break, _ADDRESS, lambda: 1))


def _count_terminations(
    rig: _Rig,
    error: TargetError | None = None,
    *,
    was_sent: bool = True,
    seconds: float = 0,
) -> int:
    async def run() -> None:  # noqa: WPS430
        await rig.abandon(0, error, was_sent=was_sent, seconds=seconds)
        await curio.sleep(0)
        await rig.terminate()

    curio.run(run)
    return rig.guard.terminations


async def _abandon_and_terminate(rig: _Rig, after_seconds: float = 0.5) -> None:
    await rig.abandon()
    await curio.sleep(0)
    await rig.terminate(after_seconds)


async def _abandon_serve_and_terminate(rig: _Rig) -> None:
    await rig.abandon()
    async with rig.guard.watch(lambda: 'a', _RUNNERS[1]) as progress:
        progress.record_sent()
    await rig.terminate()


async def _abandon_after_two_terminations(rig: _Rig) -> None:
    await rig.abandon(0)
    await rig.abandon(1)
    await curio.sleep(0)
    await rig.terminate()
    await rig.abandon(2)


async def _abandon_everywhere(rig: _Rig) -> None:
    for number, _runner in enumerate(_RUNNERS):
        await rig.abandon(number)
    await curio.sleep(0)


async def _cancel_and_terminate(rig: _Rig) -> None:
    task = await curio.spawn(_run_attempt, rig.guard)
    await curio.sleep(0)
    await task.cancel()
    await curio.sleep(0)
    await rig.terminate()


async def _run_attempt(guard: RequestGuard) -> None:
    async with guard.watch(lambda: 'a', _RUNNERS[0]) as progress:
        progress.record_sent()
        await curio.sleep(60)


async def _wait_while_closing(
    close_after_seconds: float, wait_seconds: float
) -> bool:
    ends_at = await curio.clock() + wait_seconds
    listener = curio.io.Socket(socket.create_server(('127.0.0.1', 0)))
    host, port = listener.getsockname()[:2]
    accepting = await curio.spawn(_accept, listener, close_after_seconds)
    now = [await curio.clock()]

    def seconds_left() -> float:  # noqa: WPS430
        # The second call follows the wait.
        return ends_at - now.pop() if now else 0

    is_broken = await wait_for_break(Address(host, port), seconds_left)
    await accepting.cancel()
    return is_broken


async def _accept(listener: curio.io.Socket, seconds: float) -> None:
    async with listener:
        sock, _address = await listener.accept()
        async with sock:
            await curio.sleep(seconds)


if __name__ == '__main__':
    unittest.main()
