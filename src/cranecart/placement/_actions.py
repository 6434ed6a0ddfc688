"""The actions and orders that a plan consists of."""

import attrs

from cranecart.instances import Instance, ReplicaRow


@attrs.frozen
class CreateReplica:
    """Form a new replica from free instances."""

    row: ReplicaRow
    reason: str


@attrs.frozen
class ReplaceMembers:
    """Start a new generation of a replica with other members."""

    before: ReplicaRow
    row: ReplicaRow
    reason: str


@attrs.frozen
class DrainReplica:
    """Let a replica finish its requests without accepting new ones."""

    row: ReplicaRow
    reason: str


@attrs.frozen
class RetireReplica:
    """Dissolve a replica and release its instances."""

    row: ReplicaRow
    reason: str


Action = CreateReplica | ReplaceMembers | DrainReplica | RetireReplica


@attrs.frozen
class Order:
    """The replica row that an instance should follow; no row means idle."""

    instance: Instance
    row: ReplicaRow | None
