"""Form replicas from groups of instances, repair them and tear them down."""

from cranecart.grouping._environment import PlacerEnvironment, PlacerScope
from cranecart.grouping._placer import GroupPlacer

__all__ = ('GroupPlacer', 'PlacerScope', 'PlacerEnvironment')
