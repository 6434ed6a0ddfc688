"""Route configuration: routes, services and API keys."""

import contextlib
import functools
import hashlib
from collections import defaultdict
from collections.abc import Mapping

import attrs

from cranecart.models._timing import EngineTiming


@attrs.frozen
class Share:
    """A service's weight among those of a route; weights need not sum to 100."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of one host and path prefix are served.

    ``objective_seconds`` is the latency objective for the response, or for
    the first event of a stream. ``pause_seconds`` is that for the gap between
    events. ``rank`` is the priority, 0 being the highest. ``attempts``
    bounds the targets that one request is sent to.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    streaming: bool
    resumable: bool
    timeout_seconds: float
    objective_seconds: float
    pause_seconds: float
    rank: int
    attempts: int
    public: bool
    shares: tuple[Share, ...]

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.resumable if self.streaming else self.repeatable


@attrs.frozen
class EngineModel:
    """A model whose replicas span ``size`` instances of a fabric domain.

    ``pace`` multiplies all its times; ``share`` is its share of the work.
    """

    name: str
    size: int
    pace: float
    share: float
    load_seconds: float
    staged_seconds: float


@attrs.frozen
class EngineProfile:
    """Declared properties of a service's engines.

    ``slots`` is how many requests a replica runs at once,
    ``staged_models`` how many models an instance caches in host memory. More
    than ``loads_at_once`` loads from the weight store slow each other down.
    ``timing`` gives the cost of requests.
    """

    models: tuple[EngineModel, ...]
    slots: int
    open_seconds: float
    loads_per_second: float
    staged_models: int
    loads_at_once: int = 1
    timing: EngineTiming = attrs.field(factory=EngineTiming)

    def model(self, name: str) -> EngineModel | None:
        """Return a model by name, or ``None`` if it is not declared."""
        return next(
            (model for model in self.models if model.name == name), None
        )


@attrs.frozen
class ColdStart:
    """How a service's targets are loaded while they are cold.

    A target that has started is cold for ``seconds`` unless it says otherwise,
    and handles ``per_second`` requests of all nodes together.
    """

    seconds: float
    per_second: float


@attrs.frozen
class ServiceProfile:
    """A service that routes refer to; ``engine`` is set if replicas serve it.

    ``cold`` is ``None`` if targets take their full load from the start.
    """

    name: str
    engine: EngineProfile | None = None
    cold: ColdStart | None = None


@attrs.frozen
class ClientLimits:
    """Limits on the size and duration of client requests and idle time."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    receive_seconds: float = 10.0
    idle_seconds: float = 60.0


@attrs.frozen
class KeyHolder:
    """An organisation with its API keys; without a rank, the route's applies."""

    name: str
    key_sha256: tuple[str, ...]
    rank: int | None = None


def hash_key(key: str) -> str:
    """Return the hash under which a key is stored."""
    return _hash_bytes(key.encode())


def hash_key_forms(key: str) -> tuple[str, ...]:
    """Return the hashes of the bytes that clients may send for a key.

    Most send a key as UTF-8, some as Latin-1 where that is possible.
    """
    forms = [key.encode()]
    with contextlib.suppress(UnicodeEncodeError):
        forms.append(key.encode('latin-1'))
    return tuple(dict.fromkeys(map(_hash_bytes, forms)))


def _hash_bytes(key: bytes) -> str:
    return hashlib.sha256(key).hexdigest()


@attrs.frozen
class RouteConfig:
    """One version of the route configuration.

    If ``holders`` is ``None``, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceProfile]
    holders: tuple[KeyHolder, ...] | None = None
    limits: ClientLimits = attrs.field(factory=ClientLimits)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any."""
        name = host.partition(':')[0].lower()
        end = path.rfind('/')
        while end >= 0:
            route = self._routes_by_host_and_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def engine(self, service: str) -> EngineProfile | None:
        """Return the engine profile of a service, if it has one."""
        profile = self.services.get(service)
        return None if profile is None else profile.engine

    def cold_start(self, service: str) -> ColdStart | None:
        """Return how cold targets of a service are loaded, if it says so."""
        profile = self.services.get(service)
        return None if profile is None else profile.cold

    def holder(self, key: str) -> KeyHolder | None:
        """Return the organisation to which a key from a header belongs.

        Header values are decoded as Latin-1, which keeps each byte.
        """
        return self._holders_by_digest.get(_hash_bytes(key.encode('latin-1')))

    def divides_capacity(self, service: str) -> bool:
        """Return whether the routes of a service have different ranks.

        Only then does an operator ask that a shortage be divided. Organisations
        alone do not ask for it: nearly every configuration has them.
        """
        return len(self._ranks[service]) > 1

    @functools.cached_property
    def _ranks(self) -> Mapping[str, set[int]]:
        ranks: dict[str, set[int]] = defaultdict(set)
        for route in self.routes:
            for share in route.shares:
                ranks[share.service].add(route.rank)
        return ranks

    @functools.cached_property
    def _routes_by_host_and_prefix(self) -> Mapping[tuple[str, str], Route]:
        return {
            (route.host.lower(), route.prefix): route for route in self.routes
        }

    @functools.cached_property
    def _holders_by_digest(self) -> Mapping[str, KeyHolder]:
        return {
            digest: holder
            for holder in self.holders or ()
            for digest in holder.key_sha256
        }
