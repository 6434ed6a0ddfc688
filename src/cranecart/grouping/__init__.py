"""Form whole replicas from instances, repair them, and end them."""

from cranecart.grouping._environment import PlacerEnvironment, PlacerScope
from cranecart.grouping._placer import GroupPlacer

__all__ = ('GroupPlacer', 'PlacerScope', 'PlacerEnvironment')
