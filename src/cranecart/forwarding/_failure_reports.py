"""Report what a failed attempt says about its target."""

from cranecart.clocks import since_boot
from cranecart.exceptions import (
    ResponseCutError,
    TargetAbandonedError,
    TargetDisconnectedError,
    TargetError,
    TargetUnreachableError,
    TargetWithdrawnError,
)
from cranecart.routing import Target, TargetRouter

_NOT_FAILURES = (
    # The dialer knows which targets are not reached.
    TargetUnreachableError,
    # Nothing was sent, as the target asked for a pause or was evacuated.
    TargetWithdrawnError,
    # This node had no room for the response.
    ResponseCutError,
)


async def report_failure(
    router: TargetRouter,
    target: Target,
    error: TargetError,
    *,
    is_client_paused: bool,
) -> None:
    """Count a failure against its target, unless something else explains it."""
    if isinstance(error, _NOT_FAILURES):
        return
    is_disconnected = isinstance(error, TargetDisconnectedError)
    if is_disconnected and is_client_paused:
        # Targets cut off responses that stay unread. Three such streams
        # would eject a healthy target.
        return
    if not await _is_path_sound(router, target, error):
        return
    incarnation = target.instance.incarnation
    if is_disconnected and not target.replica_epoch:
        router.broken.record(incarnation)
        return
    if isinstance(error, TargetAbandonedError):
        # It may go on a moment later, as all its other streams then show.
        router.ejection.record_silence(incarnation)
        return
    router.record_failure(incarnation)


async def _is_path_sound(
    router: TargetRouter, target: Target, error: TargetError
) -> bool:
    """Return whether a failure says anything about its target."""
    if isinstance(error, TargetDisconnectedError):
        return await router.dialer.is_own_path_sound(
            target.instance, since_boot()
        )
    return not router.paths.is_lost(target.instance)
