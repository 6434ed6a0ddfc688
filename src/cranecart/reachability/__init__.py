"""Which targets a node reaches over its own network paths."""

from cranecart.reachability._dialer import TargetDialer
from cranecart.reachability._paths import TargetPaths

__all__ = ('TargetDialer', 'TargetPaths')
