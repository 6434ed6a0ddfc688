"""Claims of non-repeatable calls: at most one node may ever send one."""

from cranecart.claims._claims import Claims, Held, Replay
from cranecart.claims._sweeper import Sweeper

__all__ = ('Claims', 'Held', 'Replay', 'Sweeper')
