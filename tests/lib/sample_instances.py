"""Sample instances, model specs and reports of one failure domain."""

from collections.abc import Iterable

from cranecart.declarations import ModelSpec
from cranecart.instances import (
    Instance,
    InstanceKind,
    MemberReport,
    MemberState,
    ReplicaRow,
)

DOMAIN = 'buda-terem'


def make_instances(
    count: int, fabric_domain_count: int = 1
) -> dict[str, Instance]:
    """Make engines, assigned to fabric domains in turn."""
    return {
        f'e{number:02}': Instance(
            f'e{number:02}',
            InstanceKind.ENGINE,
            '127.0.0.1',
            1000 + number,
            DOMAIN,
            f'f{number % fabric_domain_count}',
        )
        for number in range(count)
    }


def make_spec(replicas: int, size: int = 4, version: str = 'v1') -> ModelSpec:
    """Make a model spec for the one failure domain."""
    return ModelSpec('nyelvi-szerver', version, replicas, size, (DOMAIN,))


def idle_reports(names: Iterable[str]) -> dict[str, MemberReport]:
    """Make the reports of idle instances."""
    return {name: MemberReport(name) for name in names}


def ready_reports(row: ReplicaRow) -> dict[str, MemberReport]:
    """Make the reports of a replica's members, all ready."""
    return {
        name: MemberReport(
            name,
            MemberState.READY,
            row.id,
            row.generation,
            1,
            row.members,
            row.model,
            row.version,
        )
        for name in row.members
    }
