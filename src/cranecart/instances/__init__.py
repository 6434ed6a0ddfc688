"""Instances and replicas in the native protocol."""

from cranecart.instances._instances import (
    Instance,
    InstanceKind,
    MemberReport,
    MemberState,
    ReplicaRow,
)

__all__ = (
    'Instance',
    'InstanceKind',
    'MemberReport',
    'MemberState',
    'ReplicaRow',
)
