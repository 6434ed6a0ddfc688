"""What a plan may ask for."""

import attrs

from cranecart.instances import Instance, ReplicaRow


@attrs.frozen
class CreateReplica:
    """Form a new replica from free instances."""

    row: ReplicaRow
    reason: str


@attrs.frozen
class ReplaceMembers:
    """Go on with a new generation of a replica, with other members."""

    before: ReplicaRow
    row: ReplicaRow
    reason: str


@attrs.frozen
class DrainReplica:
    """Let a replica finish its work and take no more."""

    row: ReplicaRow
    reason: str


@attrs.frozen
class RetireReplica:
    """Dissolve a replica and set its instances free."""

    row: ReplicaRow
    reason: str


Action = CreateReplica | ReplaceMembers | DrainReplica | RetireReplica


@attrs.frozen
class Order:
    """What an instance is told to become; no row means idle."""

    instance: Instance
    row: ReplicaRow | None
