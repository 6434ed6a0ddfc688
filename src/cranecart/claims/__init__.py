"""Claims of non-repeatable calls: at most one node may ever send one."""

from cranecart.claims._claims import Claims, Held, Replay

__all__ = ('Claims', 'Held', 'Replay')
