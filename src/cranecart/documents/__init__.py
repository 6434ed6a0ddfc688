"""Files of JSON with comments: reading with lines, checking by class."""

from cranecart.documents._source import (
    Document,
    Finding,
    FindingsError,
    KeyPath,
    read_document,
    suggest,
)
from cranecart.documents._structure import structure

__all__ = (
    'Document',
    'Finding',
    'FindingsError',
    'KeyPath',
    'read_document',
    'structure',
    'suggest',
)
