"""The instance list of a restored store, which is some seconds old."""

import unittest

import attrs

from cranecart.fleet._incarnations import IncarnationTracker
from cranecart.fleet._instance_list import InstanceList
from cranecart.http import Address
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import SERVICE, listed_instance

_ENTRY_TTL_SECONDS = 3.6


def _entry(name: str, *, leaving: bool = False) -> ListedInstance:
    return attrs.evolve(
        listed_instance(name, Address('127.0.0.1', 1)),
        born=7,
        leaving=leaving,
    )


class RestoredListTest(unittest.TestCase):
    """The state from before the restore stays in effect."""

    def setUp(self) -> None:
        """List three instances."""
        self.instance_list = InstanceList(IncarnationTracker(float))
        self.restored = {name: _entry(name) for name in ('a', 'b', 'c')}
        self.instance_list.apply(self.restored, True)

    def test_leaving_instance_is_ready_in_the_restored_list(self) -> None:
        """It stays marked as leaving, because leaving cannot be undone."""
        self.instance_list.apply({'a': _entry('a', leaving=True)}, False)
        self.instance_list.apply_restored(self.restored, 0)
        self.assertEqual(self._available(), {'b', 'c'})
        self.instance_list.apply(self.restored, True)
        self.assertEqual(self._available(), {'b', 'c'})

    def test_lapsed_instance_is_in_the_restored_list(self) -> None:
        """It may still be running, but gets no new requests."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.restored, 0)
        self.assertEqual(self._available(), {'b', 'c'})
        self.instance_list.apply(self.restored, True)
        self.assertEqual(self._available(), {'b', 'c'})
        self.instance_list.accept_unconfirmed(_ENTRY_TTL_SECONDS)
        self.assertEqual(self._available(), {'b', 'c'})

    def test_lapsed_instance_is_written_again(self) -> None:
        """Its entry had lapsed, but the instance is running."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.restored, 0)
        self.instance_list.apply({'a': self.restored['a']}, False)
        self.assertEqual(self._available(), {'a', 'b', 'c'})

    def test_entry_that_is_not_dropped_is_accepted(self) -> None:
        """The store drops entries after three missed heartbeats."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.restored, 0)
        self.assertEqual(self.instance_list.accept_unconfirmed(4.1), ['a'])
        self.assertEqual(self._available(), {'a', 'b', 'c'})

    def test_unconfirmed_entry_is_removed(self) -> None:
        """The store has dropped the entry, so it is no longer unconfirmed."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.restored, 0)
        self.instance_list.apply({'a': None}, False)
        self.assertEqual(self.instance_list.accept_unconfirmed(9), [])
        self.assertEqual(self._available(), {'b', 'c'})

    def test_unconfirmed_entry_is_missing_in_a_complete_list(self) -> None:
        """The store has dropped the entry meanwhile."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.restored, 0)
        complete_list = {name: self.restored[name] for name in ('b', 'c')}
        self.instance_list.apply(complete_list, True)
        self.assertEqual(self.instance_list.accept_unconfirmed(9), [])

    def test_instance_missing_in_the_restored_list(self) -> None:
        """It is kept until a complete list after the restore lacks it."""
        self.instance_list.apply_restored({'b': self.restored['b']}, 0)
        self.assertEqual(self._available(), {'a', 'b', 'c'})
        self.instance_list.apply({'b': self.restored['b']}, True)
        self.assertEqual(self._available(), {'b'})

    def _available(self) -> set[str]:
        return {
            instance.id for instance in self.instance_list.available(SERVICE)
        }
