"""Compiled declarations, which every node receives and applies."""

import enum
from collections.abc import Collection
from typing import Self

import attrs
import msgspec


class Preference(enum.Enum):
    """Whether to minimise a model's downtime or instances left unusable."""

    DOWNTIME = 'downtime'
    STRANDED = 'stranded'


class FencingSupport(enum.Enum):
    """Whether a model's engines refuse orders with an old fencing token."""

    CHECKED = 'checked'
    IGNORED = 'ignored'


class Priority(enum.Enum):
    """Priority of requests for serving and load shedding."""

    HIGH = 'high'
    NORMAL = 'normal'
    LOW = 'low'

    @property
    def rank(self) -> int:
        """Return the position of the priority, 0 for the highest."""
        return list(Priority).index(self)


@attrs.frozen
class ModelSpec:
    """One version of one model, and how many replicas of it should serve."""

    name: str
    version: str
    replicas: int
    instances_per_replica: int
    failure_domains: tuple[str, ...]
    prefer: Preference = Preference.DOWNTIME
    fencing: FencingSupport = FencingSupport.CHECKED
    adapters: tuple[str, ...] = ()

    @property
    def key(self) -> str:
        """Return the unique name of this version of the model."""
        return f'{self.name}@{self.version}'

    def outside(self, evacuated: Collection[str]) -> Self:
        """Return the spec with the replicas in other failure domains only.

        If all are evacuated, the spec stays as it is.
        """
        remaining = tuple(
            domain for domain in self.failure_domains if domain not in evacuated
        )
        return attrs.evolve(
            self, failure_domains=remaining or self.failure_domains
        )

    def replicas_in(self, failure_domain: str) -> int:
        """Return the number of replicas for this failure domain."""
        if failure_domain not in self.failure_domains:
            return 0
        share, remainder = divmod(self.replicas, len(self.failure_domains))
        position = self.failure_domains.index(failure_domain)
        return share + (position < remainder)


@attrs.frozen
class ServiceSpec:
    """A plain service that organisations can call through the nodes."""

    name: str
    non_repeatable_paths: tuple[str, ...] = ()


@attrs.frozen
class LimitsSpec:
    """Limits of one organisation over all nodes together."""

    concurrent_requests: int
    tokens_per_second: int


@attrs.frozen
class OrganisationSpec:
    """An organisation, the hashes of its keys, and what it may use."""

    name: str
    key_sha256: tuple[str, ...]
    limits: LimitsSpec
    priority: Priority = Priority.NORMAL
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@attrs.frozen
class DomainVersions:
    """Configuration versions on a failure domain's nodes.

    ``behind`` names at most eight nodes on an older version than others.
    """

    nodes: int
    oldest: int
    newest: int
    behind: tuple[str, ...] = ()


@attrs.frozen
class Declarations:
    """The contents of one accepted configuration."""

    deployment: str
    region: str
    failure_domains: tuple[str, ...]
    models: tuple[ModelSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    organisations: tuple[OrganisationSpec, ...] = ()


def compiled_to_json(declarations: Declarations) -> bytes:
    """Encode declarations; equal declarations give equal bytes."""
    return msgspec.json.encode(declarations, order='sorted')


def compiled_from_json(encoded: bytes) -> Declarations:
    """Decode declarations; raise ``ValueError`` if they are invalid."""
    return msgspec.json.decode(encoded, type=Declarations)
