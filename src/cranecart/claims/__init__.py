"""Claims of non-repeatable calls: at most one node may ever send one."""

from cranecart.claims._claims import AcquiredClaim, ClaimStore, RecordedResponse
from cranecart.claims._sweeper import Sweeper

__all__ = ('ClaimStore', 'AcquiredClaim', 'RecordedResponse', 'Sweeper')
