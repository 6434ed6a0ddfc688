"""Settings of a node that serves on a deployment's platform."""

from pathlib import Path
from typing import Self

import attrs

from cranecart.documents import Finding, FindingsError, read_document, structure
from cranecart.http import Address

# Defaults: the retry window and the limits for stalls, stopping and leaving that
# the deployments' platforms specify today. A settings file may override them.
_RETRY_WINDOW_SECONDS = 10.0
_STALL_MS = 4000.0
_STOP_GRACE_SECONDS = 8.0
_LEAVING_MS = 2000.0
_MAX_DESCRIPTORS = 4096.0
# At most a tenth of the requests is retried unless the platform sets a ratio.
_RETRY_RATIO = 0.1
# Enough successful requests are logged to compare a failed one with them.
_LOGGED_SUCCESS_SHARE = 0.05
# What a cold target may receive in a second beyond its rate times the overshoot.
_COLD_SLACK = 5.0
# Events with an image or a sound in them have a few megabytes.
_MAX_EVENT_MB = 4.0
_MAX_BODY_MB = 8.0
_MAX_RESPONSES_MB = 16.0
_POSITIVE = attrs.validators.gt(float(0))
_NON_NEGATIVE = attrs.validators.ge(float(0))


def _check_address(
    _instance: object,
    attribute: 'attrs.Attribute[str]',
    text: str,
) -> None:
    try:
        Address.from_text(text)
    except ValueError as error:
        raise ValueError(f'{attribute.name}: {error}') from error


def _check_optional_address(
    instance: object,
    attribute: 'attrs.Attribute[str]',
    text: str,
) -> None:
    if text:
        _check_address(instance, attribute, text)


def _address_field() -> str:
    field: str = attrs.field(validator=_check_address)
    return field


def _non_negative_field(default: float) -> float:
    # Platforms send both integers and fractions, and zero is valid.
    field: float = attrs.field(default=default, validator=_NON_NEGATIVE)
    return field


@attrs.frozen(kw_only=True)
class ServingSettings:
    """Settings that a process needs before it can contact others.

    ``first_start`` is true only when the whole deployment starts for the first
    time; a file that is written once may keep it. The retry budget bounds
    retries over all nodes together: in each window, ``retry_slack`` plus
    ``retry_ratio`` times the requests.
    ``stall_ms`` is how long a replica that lost a member stalls before it
    breaks, ``leaving_ms`` how long a leaving instance may still be sent
    requests, ``stop_grace_seconds`` the time a process has to stop.
    ``max_descriptors`` is how many files and connections it may have open,
    ``memory_mb`` how much memory it may use; 0 means that it is not told.
    ``link_mbps`` is the bandwidth of the machine's link in Mbit/s; 0 means that
    it is not told.
    ``platform_features`` are the platform's own names of the optional features
    that it has.
    In any second a cold target is sent its rate times ``cold_overshoot`` and
    ``cold_slack`` requests at most; an overshoot of 0 is none stated.
    At ``peer_request_address`` a node takes over requests of nodes that reach
    no targets; without it, it takes none.
    ``log_successes`` is the share of successful requests that are logged.
    ``max_event_mb`` is how large one event of a target's stream may be,
    ``max_body_mb`` a response that is no stream, and ``max_responses_mb`` what
    is kept of all together; 0 means that it is not bounded.
    ``max_requests_mb`` is what is kept of requests, of all together; without
    it, a part of the machine's memory.
    With ``learns_pace`` nodes measure which replicas are slow and tell each
    other.
    Values are in the units that platforms use, so that the template of the
    settings file converts nothing.
    """

    node_id: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domain: str = attrs.field(validator=attrs.validators.min_len(1))
    failure_domains: tuple[str, ...] = ()
    client_address: str = _address_field()
    ready_address: str = _address_field()
    peer_address: str = _address_field()
    metrics_address: str = _address_field()
    peer_request_address: str = attrs.field(
        default='', validator=_check_optional_address
    )
    platform_address: str = _address_field()
    first_start: bool = False
    retry_ratio: float = _non_negative_field(_RETRY_RATIO)
    retry_slack: float = _non_negative_field(0)
    retry_window_seconds: float = _non_negative_field(_RETRY_WINDOW_SECONDS)
    stall_ms: float = _non_negative_field(_STALL_MS)
    leaving_ms: float = _non_negative_field(_LEAVING_MS)
    stop_grace_seconds: float = _non_negative_field(_STOP_GRACE_SECONDS)
    max_descriptors: float = _non_negative_field(_MAX_DESCRIPTORS)
    memory_mb: float = _non_negative_field(0)
    link_mbps: float = _non_negative_field(0)
    platform_features: tuple[str, ...] = ()
    log_successes: float = attrs.field(
        default=_LOGGED_SUCCESS_SHARE,
        validator=[_NON_NEGATIVE, attrs.validators.le(1)],
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(('debug', 'info', 'warning', 'error')),
    )
    learns_pace: bool = False
    cold_overshoot: float = _non_negative_field(0)
    cold_slack: float = _non_negative_field(_COLD_SLACK)
    max_event_mb: float = _non_negative_field(_MAX_EVENT_MB)
    max_body_mb: float = _non_negative_field(_MAX_BODY_MB)
    max_responses_mb: float = _non_negative_field(_MAX_RESPONSES_MB)
    max_requests_mb: float | None = attrs.field(
        default=None, validator=attrs.validators.optional(_POSITIVE)
    )

    @classmethod
    def from_file(cls, file: Path) -> Self:
        """Read settings; raise ``FindingsError`` with all errors.

        Unknown fields are ignored, as a platform may write more. A null counts
        as a missing field, as a platform may not have the value.
        """
        document = read_document(file)
        if not isinstance(document.root, dict):
            raise FindingsError(
                [Finding(str(file), 1, 'must be a JSON object')]
            )
        given_fields = {
            name: field
            for name, field in document.root.items()
            if field is not None
        }
        return structure(
            document, cls, found=given_fields, ignores_unknown=True
        )

    @property
    def all_failure_domains(self) -> tuple[str, ...]:
        """Return the distinct domains of the deployment, including this one."""
        return tuple(
            dict.fromkeys((*self.failure_domains, self.failure_domain)),
        )
