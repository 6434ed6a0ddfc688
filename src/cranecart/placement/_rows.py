"""Rows of replicas and instance owners, and their transactions."""

from collections.abc import Collection, Mapping
from typing import Self

import attrs
import msgspec

from cranecart.instances import ReplicaRow
from cranecart.placement._actions import (
    Action,
    CreateReplica,
    DrainReplica,
    ReplaceMembers,
    RetireReplica,
)
from cranecart.ports import Check, Put, Row, Transaction


@attrs.frozen
class PlacementRows:
    """The rows of one failure domain, as of one read."""

    failure_domain: str
    replicas: Mapping[str, Row]
    owners: Mapping[str, Row]

    @classmethod
    def from_rows(cls, failure_domain: str, rows: Mapping[str, Row]) -> Self:
        """Split the rows under a failure domain's prefix by kind."""
        prefix = rows_prefix(failure_domain)
        return cls(
            failure_domain,
            _strip_prefix(rows, f'{prefix}replica/'),
            _strip_prefix(rows, f'{prefix}owner/'),
        )

    def decoded(self) -> dict[str, ReplicaRow]:
        """Return the replicas by id."""
        return {
            name: msgspec.json.decode(row.value, type=ReplicaRow)
            for name, row in self.replicas.items()
        }

    def transaction(self, action: Action, lease: Check) -> Transaction:
        """Return the transaction of an action.

        It commits only if the lease, the replica's row and the ownership of
        every joining instance are unchanged since they were read.
        """
        match action:
            case CreateReplica():
                return self._write(action.row, lease, action.row.members)
            case DrainReplica():
                return self._write(action.row, lease)
            case ReplaceMembers():
                before = set(action.before.members)
                after = set(action.row.members)
                return self._write(
                    action.row,
                    lease,
                    after - before,
                    before - after,
                )
            case RetireReplica():
                return self._delete(action.row, lease)

    def _write(
        self,
        row: ReplicaRow,
        lease: Check,
        joining: Collection[str] = (),
        leaving: Collection[str] = (),
    ) -> Transaction:
        value = msgspec.json.encode(row).decode()
        owners = [self._owner_key(name) for name in sorted(joining)]
        return Transaction(
            (lease, self._unchanged_check(row), *map(Check, owners)),
            (
                Put(self._replica_key(row.id), value),
                *(Put(key, row.id) for key in owners),
            ),
            tuple(self._owner_key(name) for name in sorted(leaving)),
        )

    def _delete(self, row: ReplicaRow, lease: Check) -> Transaction:
        return Transaction(
            (lease, self._unchanged_check(row)),
            (),
            (
                self._replica_key(row.id),
                *map(self._owner_key, row.members),
            ),
        )

    def _unchanged_check(self, row: ReplicaRow) -> Check:
        stored = self.replicas.get(row.id)
        return Check(self._replica_key(row.id), stored.version if stored else 0)

    def _replica_key(self, name: str) -> str:
        return f'{rows_prefix(self.failure_domain)}replica/{name}'

    def _owner_key(self, name: str) -> str:
        return f'{rows_prefix(self.failure_domain)}owner/{name}'


def rows_prefix(failure_domain: str) -> str:
    """Return the prefix of all placement rows of a failure domain."""
    return f'place/{failure_domain}/'


def _strip_prefix(rows: Mapping[str, Row], prefix: str) -> dict[str, Row]:
    return {
        key.removeprefix(prefix): row
        for key, row in rows.items()
        if key.startswith(prefix)
    }
