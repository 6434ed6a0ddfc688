"""The configuration in force on a node."""

import hashlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cranecart.declarations import Declarations, compiled_to_json
from cranecart.exceptions import DamagedObjectError
from cranecart.rollout import ActiveConfig, Release

_ENCODED = compiled_to_json(Declarations('d', 'r', ('a',)))
_SHA256 = hashlib.sha256(_ENCODED).hexdigest()


class CurrentConfigTest(unittest.TestCase):
    """What is taken and what is refused."""

    @given(st.lists(st.integers(0, 9)))
    def test_versions_only_rise(self, versions: list[int]) -> None:
        """In whatever order releases arrive."""
        current = ActiveConfig()
        for version in versions:
            before = current.release.version
            current.activate(Release(version, _SHA256), _ENCODED)
            self.assertEqual(current.release.version, max(before, version))

    @given(st.binary())
    def test_damaged_bytes_are_refused(self, damage: bytes) -> None:
        """What was in force stays in force."""
        current = ActiveConfig()
        current.activate(Release(1, _SHA256), _ENCODED)
        with self.assertRaises(DamagedObjectError):
            damaged = b'%b%bx' % (_ENCODED, damage)
            current.activate(Release(2, _SHA256), damaged)
        self.assertEqual(current.release.version, 1)
        self.assertIsNotNone(current.declarations())

    def test_other_declarations_are_refused(self) -> None:
        """Bytes that make sense, but are not what was accepted."""
        other = compiled_to_json(Declarations('other', 'r', ('a',)))
        with self.assertRaises(DamagedObjectError):
            ActiveConfig().activate(Release(1, _SHA256), other)

    def test_what_cannot_be_read_is_refused(self) -> None:
        """A checksum that fits does not make sense of nonsense."""
        sha256 = hashlib.sha256(b'{}').hexdigest()
        with self.assertRaises(DamagedObjectError):
            ActiveConfig().activate(Release(1, sha256), b'{}')
