"""Claims of non-repeatable calls."""

import unittest

import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.claims import AcquiredClaim, ClaimStore, RecordedResponse
from cranecart.exceptions import (
    ClaimUnreadableError,
    IdempotencyKeyReusedError,
    OutcomeUnknownError,
    RequestError,
)
from cranecart.http import Response
from tests.lib.calls import non_repeatable_call
from tests.lib.fake_platform import FAULTS, FakePlatform


class ClaimsTest(unittest.TestCase):
    """At most one copy of a call may ever be sent."""

    def setUp(self) -> None:
        """Create two nodes that share one table."""
        self.platform = FakePlatform()
        self.first_node = ClaimStore('one', self.platform)  # type: ignore[arg-type]
        self.second_node = ClaimStore('two', self.platform)  # type: ignore[arg-type]

    @given(
        st.lists(st.booleans(), min_size=1, max_size=12),
        st.lists(st.sampled_from(FAULTS), max_size=40),
    )
    def test_at_most_one_copy_is_held(
        self,
        copies: list[bool],
        faults: list[str],
    ) -> None:
        """At most one copy is sent, despite refused and lost writes."""
        platform = FakePlatform(faults=iter(faults))
        nodes = [ClaimStore('one', platform), ClaimStore('two', platform)]  # type: ignore[arg-type]
        acquired_count = 0
        for copy in copies:
            try:
                outcome = curio.run(nodes[copy].acquire, non_repeatable_call())
            except RequestError:
                continue
            acquired_count += isinstance(outcome, AcquiredClaim)
        self.assertLessEqual(acquired_count, 1)

    def test_repeat_gets_the_recorded_response(self) -> None:
        """After the claim is completed, any node returns the response."""
        claim = curio.run(self.first_node.acquire, non_repeatable_call())
        assert isinstance(claim, AcquiredClaim)
        curio.run(self.first_node.complete, claim, Response(201, {}, b'done'))
        repeated = curio.run(self.second_node.acquire, non_repeatable_call())
        assert isinstance(repeated, RecordedResponse)
        self.assertEqual(repeated.response.status, 201)
        self.assertEqual(repeated.response.body, b'done')

    def test_repeat_gets_other_bytes_than_the_first_call(self) -> None:
        """A recorded response may be anything, also no text."""
        body = bytes(range(256))
        claim = curio.run(self.first_node.acquire, non_repeatable_call())
        assert isinstance(claim, AcquiredClaim)
        curio.run(self.first_node.complete, claim, Response(200, {}, body))
        repeated = curio.run(self.second_node.acquire, non_repeatable_call())
        assert isinstance(repeated, RecordedResponse)
        self.assertEqual(repeated.response.body, body)

    def test_outcome_is_unknown_while_the_call_runs(self) -> None:
        """A claim is never taken over, even if its node may have died."""
        curio.run(self.first_node.acquire, non_repeatable_call())
        with self.assertRaises(OutcomeUnknownError):
            curio.run(self.second_node.acquire, non_repeatable_call())

    def test_call_that_did_not_run_may_be_repeated(self) -> None:
        """After the claim is released, one copy may be sent again."""
        claim = curio.run(self.first_node.acquire, non_repeatable_call())
        assert isinstance(claim, AcquiredClaim)
        curio.run(self.first_node.release, claim)
        self.assertIsInstance(
            curio.run(self.second_node.acquire, non_repeatable_call()),
            AcquiredClaim,
        )

    def test_key_belongs_to_one_call(self) -> None:
        """The same key with another body is refused."""
        curio.run(self.first_node.acquire, non_repeatable_call())
        with self.assertRaises(IdempotencyKeyReusedError):
            curio.run(
                self.second_node.acquire(non_repeatable_call(b'{"other": 1}'))
            )

    def test_unreachable_table_is_reported(self) -> None:
        """It is unknown whether an earlier copy ran."""
        self.platform.down = True
        with self.assertRaises(ClaimUnreadableError):
            curio.run(self.first_node.acquire, non_repeatable_call())
