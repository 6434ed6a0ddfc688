"""Claims of non-repeatable calls."""

import unittest

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.claims import AcquiredClaim, ClaimStore, RecordedResponse
from cranecart.exceptions import (
    ClaimUnreadableError,
    KeyReusedError,
    OutcomeUnknownError,
    RequestError,
)
from cranecart.http import Response
from tests.lib.calls import non_repeatable_call
from tests.lib.fake_platform import FAULTS, FakePlatform


class ClaimsTest(unittest.TestCase):
    """At most one copy of a call may ever be sent."""

    def setUp(self) -> None:
        """Make two nodes on one table."""
        self.platform = FakePlatform()
        self.one = ClaimStore('one', self.platform)  # type: ignore[arg-type]
        self.two = ClaimStore('two', self.platform)  # type: ignore[arg-type]

    @given(
        st.lists(st.booleans(), min_size=1, max_size=12),
        st.lists(st.sampled_from(FAULTS), max_size=40),
    )
    def test_at_most_one_copy_is_held(
        self,
        copies: list[bool],
        faults: list[str],
    ) -> None:
        """Copies at two nodes, with refused and lost writes, in any order."""
        platform = FakePlatform(faults=iter(faults))
        nodes = [ClaimStore('one', platform), ClaimStore('two', platform)]  # type: ignore[arg-type]
        held = 0
        for copy in copies:
            try:
                outcome = curio.run(nodes[copy].acquire, non_repeatable_call())
            except RequestError:
                continue
            held += isinstance(outcome, AcquiredClaim)
        self.assertLessEqual(held, 1)

    def test_a_repeat_hears_the_recorded_answer(self) -> None:
        """After it was settled, any node replays it."""
        held = curio.run(self.one.acquire, non_repeatable_call())
        assert isinstance(held, AcquiredClaim)
        curio.run(self.one.complete, held, Response(201, {}, b'done'))
        again = curio.run(self.two.acquire, non_repeatable_call())
        assert isinstance(again, RecordedResponse)
        self.assertEqual(again.response.status, 201)
        self.assertEqual(again.response.body, b'done')

    def test_while_it_runs_the_outcome_is_unknown(self) -> None:
        """A claim of a node that may have died is never taken over."""
        curio.run(self.one.acquire, non_repeatable_call())
        with self.assertRaises(OutcomeUnknownError):
            curio.run(self.two.acquire, non_repeatable_call())

    def test_a_call_that_did_not_run_may_be_repeated(self) -> None:
        """Its claim is released, and one copy may be sent again."""
        held = curio.run(self.one.acquire, non_repeatable_call())
        assert isinstance(held, AcquiredClaim)
        curio.run(self.one.release, held)
        self.assertIsInstance(
            curio.run(self.two.acquire, non_repeatable_call()), AcquiredClaim
        )

    def test_a_key_belongs_to_onenon_repeatable_call(self) -> None:
        """The same key with another body is refused."""
        curio.run(self.one.acquire, non_repeatable_call())
        with self.assertRaises(KeyReusedError):
            curio.run(self.two.acquire(non_repeatable_call(b'{"other": 1}')))

    def test_without_the_table_nothing_is_promised(self) -> None:
        """Whether an earlier copy ran cannot be told."""
        self.platform.down = True
        with self.assertRaises(ClaimUnreadableError):
            curio.run(self.one.acquire, non_repeatable_call())
