"""Small failure domains for the tests of decisions."""

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


def make_instances(count: int, fabrics: int = 1) -> dict[str, Instance]:
    """Make engines, spread over fabric domains in turn."""
    return {
        f'e{number:02}': Instance(
            f'e{number:02}',
            InstanceKind.ENGINE,
            '127.0.0.1',
            1000 + number,
            DOMAIN,
            f'f{number % fabrics}',
        )
        for number in range(count)
    }


def make_spec(replicas: int, size: int = 4, version: str = 'v1') -> ModelSpec:
    """Make a model that runs in the one domain."""
    return ModelSpec('nyelvi-szerver', version, replicas, size, (DOMAIN,))


def idle_reports(names: Iterable[str]) -> dict[str, MemberReport]:
    """Make the reports of instances that do nothing."""
    return {name: MemberReport(name) for name in names}


def ready_reports(row: ReplicaRow) -> dict[str, MemberReport]:
    """Make the reports of a replica's members that all serve."""
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
