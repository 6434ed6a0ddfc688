"""Each arrival of a request at a target after the first is a charged retry."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cranecart.exceptions import (
    AllTargetsRefusedError,
    PeerAnsweredError,
    PeerBrokenError,
    PeerRefusedError,
    PeerUnableError,
    PeerUnreachableError,
    RequestError,
    TargetError,
    TargetFailedError,
    TargetRefusedError,
    TargetsOutOfReachError,
    TargetUnreachableError,
    TargetWithdrawnError,
)
from cranecart.forwarding._failures import AttemptFailures
from cranecart.forwarding._peer_requests import check_outcome, outcome_for_peer
from cranecart.http import Address
from cranecart.peer_calls import (
    Peer,
    PeerCall,
    PeerChoice,
    PeerClient,
    PeerRequest,
)

_AT_TARGETS = (
    TargetRefusedError,
    TargetFailedError,
    TargetUnreachableError,
    TargetWithdrawnError,
)
_ARRIVED = (TargetRefusedError, TargetFailedError, PeerBrokenError)
_Outcomes = st.lists(st.sampled_from(_AT_TARGETS), max_size=4)


class _Sends:
    """Counts arrivals at targets and charged retries over several nodes."""

    def __init__(self) -> None:
        """Start with none."""
        self.arrivals = 0
        self.charges = 0

    def record(self, failures: AttemptFailures, error: TargetError) -> None:
        """Record a failed attempt, before which a retry was charged or not."""
        self.charges += failures.was_sent
        self.arrivals += isinstance(error, _ARRIVED)
        failures.record(error)


class ChargedRetriesTest(unittest.TestCase):
    """Attempts of a node and of the peers that it passes a request on to."""

    @given(
        st.lists(
            st.one_of(
                st.sampled_from(
                    (*_AT_TARGETS, PeerUnreachableError, PeerBrokenError)
                ),
                _Outcomes,
            ),
            max_size=6,
        ),
        st.booleans(),
    )
    def test_arrivals_at_targets_of_peers_are_free(
        self,
        steps: list[type[TargetError] | list[type[TargetError]]],
        is_out_of_reach: bool,
    ) -> None:
        """Whatever becomes of the attempts, none but the first is free."""
        sends = _Sends()
        failures = AttemptFailures()
        for step in steps:
            if isinstance(step, list):
                error = _attempts_of_peer(
                    failures, step, sends, is_out_of_reach=is_out_of_reach
                )
                sends.charges += failures.was_sent
                if error is None:
                    break
                failures.record(error)
            else:
                sends.record(failures, step('failed'))
        self.assertGreaterEqual(sends.charges, sends.arrivals - 1)


def _attempts_of_peer(
    sender: AttemptFailures,
    outcomes: list[type[TargetError]],
    sends: _Sends,
    *,
    is_out_of_reach: bool,
) -> TargetError | None:
    """Return the error for the sender, None if it asks nobody else."""
    failures = AttemptFailures(sender.sent_count)
    refused_by = []
    for number, outcome in enumerate(outcomes):
        sends.record(failures, outcome('failed'))
        if outcome is TargetRefusedError:
            refused_by.append(f'i{number}')
    request = PeerRequest('n0', 'GET', '/', (), b'', 's', 1, 0, 0, 1)
    peer = Peer('n1', Address('127.0.0.1', 1), 'd')
    client = PeerClient(PeerChoice('d', tuple, Random(1)))
    call = PeerCall(peer, request, True, lambda: 1)
    given_up: RequestError = AllTargetsRefusedError('refused', retry_after=1)
    if is_out_of_reach:
        given_up = TargetsOutOfReachError('cut', retry_after=1)
    try:
        check_outcome(
            client, call, outcome_for_peer(given_up, failures, {}, refused_by)
        )
    except (PeerRefusedError, PeerUnableError) as error:
        return error
    except PeerAnsweredError:
        return None
    return None
