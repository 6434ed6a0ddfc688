"""Form whole replicas from instances, repair them, and end them."""

from cranecart.grouping._placer import GroupPlacer
from cranecart.grouping._view import PlacerPlace, PlacerView

__all__ = ('GroupPlacer', 'PlacerPlace', 'PlacerView')
