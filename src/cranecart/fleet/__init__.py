"""What a node knows of instances and replicas, and which of them serve."""

from cranecart.fleet._fleet import Fleet, ServingHead
from cranecart.fleet._follower import LONG_WAIT_SECONDS, SourceFollower
from cranecart.fleet._leaving import note_leaving
from cranecart.fleet._news import Extent, Feeding, News
from cranecart.fleet._path import StorePath
from cranecart.fleet._records import (
    RECORDS_PART,
    RECORDS_TABLE,
    RecordState,
    ReplicaRecord,
    lease_duty,
    node_key,
    record_from_row,
    record_key,
    records_prefix,
)

__all__ = (
    'Extent',
    'Feeding',
    'Fleet',
    'News',
    'RecordState',
    'ReplicaRecord',
    'ServingHead',
    'LONG_WAIT_SECONDS',
    'RECORDS_PART',
    'RECORDS_TABLE',
    'SourceFollower',
    'StorePath',
    'lease_duty',
    'node_key',
    'note_leaving',
    'record_from_row',
    'record_key',
    'records_prefix',
)
