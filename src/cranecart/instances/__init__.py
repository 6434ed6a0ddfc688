"""Instances and replicas as the native protocol tells of them."""

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
