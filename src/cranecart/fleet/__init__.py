"""What a node knows of instances and replicas, and which of them serve."""

from cranecart.fleet._fleet import Fleet, ServingHead
from cranecart.fleet._follower import Feeding, News, SourceFollower
from cranecart.fleet._records import (
    RecordState,
    ReplicaRecord,
    node_key,
    record_from_row,
    record_key,
)

__all__ = (
    'Feeding',
    'Fleet',
    'News',
    'RecordState',
    'ReplicaRecord',
    'ServingHead',
    'SourceFollower',
    'node_key',
    'record_from_row',
    'record_key',
)
