"""Parse JSON files with comments and validate them by attrs classes."""

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
