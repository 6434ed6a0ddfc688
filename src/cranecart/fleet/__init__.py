"""A node's view of instances and replicas, kept up to date from the store."""

from cranecart.fleet._evacuations import Evacuations
from cranecart.fleet._fleet import Fleet, ServingHead
from cranecart.fleet._leaving import mark_leaving
from cranecart.fleet._record_rows import (
    RECORDS_PART,
    RECORDS_TABLE,
    RecordState,
    ReplicaRecord,
    node_key,
    placement_duty,
    record_from_row,
    record_key,
    records_prefix,
)
from cranecart.fleet._source_follower import LONG_POLL_SECONDS, SourceFollower
from cranecart.fleet._store_reachability import StoreReachability
from cranecart.fleet._updates import Extent, SourceUpdate, UpdateSharing

__all__ = (
    'Evacuations',
    'Extent',
    'UpdateSharing',
    'Fleet',
    'SourceUpdate',
    'RecordState',
    'ReplicaRecord',
    'ServingHead',
    'LONG_POLL_SECONDS',
    'RECORDS_PART',
    'RECORDS_TABLE',
    'SourceFollower',
    'StoreReachability',
    'placement_duty',
    'node_key',
    'mark_leaving',
    'record_from_row',
    'record_key',
    'records_prefix',
)
