"""What targets say about the load that they take; no I/O."""

from cranecart.throttling._limits import LimitBook, LimitNews

__all__ = ('LimitBook', 'LimitNews')
