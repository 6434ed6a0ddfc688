"""Claims of idempotency keys, so that a non-repeatable call runs at most once."""

from cranecart.claims._claims import AcquiredClaim, ClaimStore, RecordedResponse
from cranecart.claims._sweeper import Sweeper

__all__ = ('ClaimStore', 'AcquiredClaim', 'RecordedResponse', 'Sweeper')
