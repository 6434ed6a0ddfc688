"""Bring accepted configuration into force on every node."""

from cranecart.rollout._current import CurrentConfig, Release
from cranecart.rollout._follower import Follower
from cranecart.rollout._history import Change, History

__all__ = ('Change', 'CurrentConfig', 'Follower', 'History', 'Release')
