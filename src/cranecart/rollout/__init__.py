"""Distribute accepted configuration to every node."""

from cranecart.rollout._active_config import ActiveConfig, Release
from cranecart.rollout._evacuation_table import EvacuationTable
from cranecart.rollout._history import Change, ConfigHistory
from cranecart.rollout._poller import ConfigPoller

__all__ = (
    'Change',
    'ActiveConfig',
    'ConfigPoller',
    'ConfigHistory',
    'EvacuationTable',
    'Release',
)
