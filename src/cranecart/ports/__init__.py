"""What the product asks of its surroundings, in its own words.

Each port is a typed protocol; the native protocol and the adapter of a
deployment's platform both implement them.
"""

from cranecart.ports._table import Check, Put, Row, Table, Transaction

__all__ = (
    'Check',
    'Put',
    'Row',
    'Table',
    'Transaction',
)
