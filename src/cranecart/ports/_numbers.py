"""The ranges of numbers that other programs write.

JSON numbers have no size, but those in messages between nodes do, and a number
that no field needs makes what is calculated with it useless. Types are checked
where a message or a row is decoded; the error names the field.
"""

from typing import Annotated

from msgspec import Meta

# Greater integers are not exact for programs that read them as floats.
_EXACT_BITS = 53
_MAX_COUNTER = 1 << _EXACT_BITS
# Far more requests than any target runs at once.
_MAX_SLOTS = 1_000_000
_MAX_PORT = 65535
# In whatever unit a field has: ms, bytes, tokens, requests per second.
_MAX_QUANTITY = 1e12

# Versions, epochs, fencing tokens, and start times in ms.
CounterInt = Annotated[int, Meta(ge=0, le=_MAX_COUNTER)]
# The same from writers that may send fractions.
CounterFloat = Annotated[float, Meta(le=_MAX_COUNTER)]
SlotsFloat = Annotated[float, Meta(le=_MAX_SLOTS)]
# Of an address to connect to.
Port = Annotated[int, Meta(ge=1, le=_MAX_PORT)]
# Requests at a target.
RequestCount = Annotated[int, Meta(ge=0, le=_MAX_SLOTS)]
# Of a link, in Mbit/s.
Bandwidth = Annotated[float, Meta(ge=0, le=_MAX_QUANTITY)]
# For which something has lasted.
Seconds = Annotated[float, Meta(ge=0, le=_MAX_QUANTITY)]


def bounded(number: float) -> float:
    """Return the nearest value that a field without a type of its own holds.

    A configuration in force must not be rejected for one of its numbers.
    """
    return min(max(0, number), _MAX_QUANTITY)
