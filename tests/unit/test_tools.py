"""The developers' tools."""

import unittest

from tools.processes import Addresses


class AddressesTest(unittest.TestCase):
    """Addresses for child processes."""

    def test_no_address_is_given_twice(self) -> None:
        """Not even among many, where chance alone would do so."""
        addresses = Addresses()
        self.addCleanup(addresses.release)
        given = [addresses.take() for _ in range(900)]
        self.assertEqual(len(set(given)), len(given))
