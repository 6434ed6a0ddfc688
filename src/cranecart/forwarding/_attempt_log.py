"""Log lines about the attempts at a request, in its trace."""

from collections.abc import Sequence

from cranecart.clocks import since_boot
from cranecart.exceptions import RequestError, TargetError
from cranecart.forwarding._call import RoutedCall
from cranecart.logs import RequestTrace
from cranecart.peer_calls import Peer
from cranecart.quarantine import AttemptProgress
from cranecart.routing import Target


def trace_routing(
    call: RoutedCall, target: Target, tried: Sequence[str]
) -> None:
    """Log which target was chosen, and why."""
    call.trace.add(
        'routed',
        instance=target.instance.id,
        replica=target.replica_epoch,
        load=target.load,
        why=target.reason,
        forecast=round(target.forecast_seconds, 3),
        learned=round(target.error_seconds, 3),
        pace=round(target.pace, 2),
        returned=round(call.retrying_for_seconds, 3),
        passed_over=target.throttled,
        tried=list(tried),
    )


def trace_passing_on(
    call: RoutedCall, peer: Peer, tried: Sequence[str], connects_failed: int
) -> None:
    """Log to which node a request is passed on."""
    call.trace.is_notable = True
    call.trace.add(
        'passed_on',
        peer=peer.name,
        failure_domain=peer.failure_domain,
        connects_failed=connects_failed,
        tried=list(tried),
    )


def trace_failure(
    call: RoutedCall, name: str, error: TargetError | RequestError
) -> None:
    """Log that an attempt at a target, or through a peer, has failed."""
    call.trace.is_notable = True
    call.trace.add(
        'attempt_failed',
        instance=name,
        execution=error.execution.value,
        why=str(error),
        left=round(call.seconds_left, 3),
    )


def trace_disconnect(
    call: RoutedCall,
    target: Target,
    progress: AttemptProgress | None,
    load: int,
) -> None:
    """Log data that may show whether the request crashed its target."""
    call.trace.add(
        'target_disconnected',
        instance=target.instance.id,
        born=target.instance.born,
        identity=call.identity,
        begun=progress is not None and progress.has_begun,
        progress_for=progress and round(progress.progress_seconds, 3),
        beside=load,
    )


def trace_stop(trace: RequestTrace, started: float) -> str:
    """Log that the process ends before a request; return the outcome."""
    trace.add(
        'cut_by_stop',
        after=round(since_boot() - started, 3),
        **trace.describe_progress(),
    )
    return 'cut_by_stop'
