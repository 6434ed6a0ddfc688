"""A list that comes from a copy of the store, some seconds old."""

import unittest

import attrs

from cranecart.fleet._incarnations import IncarnationTracker
from cranecart.fleet._instance_list import InstanceList
from cranecart.http import Address
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import SERVICE, listed_instance

_SILENT_SECONDS = 3.6


def _entry(name: str, *, leaving: bool = False) -> ListedInstance:
    return attrs.evolve(
        listed_instance(name, Address('127.0.0.1', 1)),
        born=7,
        leaving=leaving,
    )


class RestoredListTest(unittest.TestCase):
    """What was known before the return counts on."""

    def setUp(self) -> None:
        """List three instances."""
        self.instance_list = InstanceList(IncarnationTracker(float))
        self.copy = {name: _entry(name) for name in ('a', 'b', 'c')}
        self.instance_list.apply(self.copy, True)

    def test_a_leaving_instance_is_ready_in_a_copy(self) -> None:
        """It leaves all the same, as lives do not turn back."""
        self.instance_list.apply({'a': _entry('a', leaving=True)}, False)
        self.instance_list.apply_restored(self.copy, 0)
        self.assertEqual(self._taking(), {'b', 'c'})
        self.instance_list.apply(self.copy, True)
        self.assertEqual(self._taking(), {'b', 'c'})

    def test_an_instance_that_had_gone_is_in_a_copy(self) -> None:
        """It may serve on without a word, but takes nothing new."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.copy, 0)
        self.assertEqual(self._taking(), {'b', 'c'})
        self.instance_list.apply(self.copy, True)
        self.assertEqual(self._taking(), {'b', 'c'})
        self.instance_list.accept_unconfirmed(_SILENT_SECONDS)
        self.assertEqual(self._taking(), {'b', 'c'})

    def test_an_instance_that_had_gone_is_written_again(self) -> None:
        """Its entry had lapsed, and it lives."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.copy, 0)
        self.instance_list.apply({'a': self.copy['a']}, False)
        self.assertEqual(self._taking(), {'a', 'b', 'c'})

    def test_an_entry_that_stands_is_of_a_living_instance(self) -> None:
        """The store drops what is silent for three heartbeats."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.copy, 0)
        self.assertEqual(self.instance_list.accept_unconfirmed(4.1), ['a'])
        self.assertEqual(self._taking(), {'a', 'b', 'c'})

    def test_an_awaited_entry_goes(self) -> None:
        """The store has dropped it, so that nothing is waited for."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.copy, 0)
        self.instance_list.apply({'a': None}, False)
        self.assertEqual(self.instance_list.accept_unconfirmed(9), [])
        self.assertEqual(self._taking(), {'b', 'c'})

    def test_an_awaited_entry_is_missing_in_a_whole_list(self) -> None:
        """The store has dropped it meanwhile."""
        self.instance_list.apply({'a': None}, False)
        self.instance_list.apply_restored(self.copy, 0)
        whole = {name: self.copy[name] for name in ('b', 'c')}
        self.instance_list.apply(whole, True)
        self.assertEqual(self.instance_list.accept_unconfirmed(9), [])

    def test_what_a_copy_lacks_is_there(self) -> None:
        """It is written again, and taken for gone only after that."""
        self.instance_list.apply_restored({'b': self.copy['b']}, 0)
        self.assertEqual(self._taking(), {'a', 'b', 'c'})
        self.instance_list.apply({'b': self.copy['b']}, True)
        self.assertEqual(self._taking(), {'b'})

    def _taking(self) -> set[str]:
        return {one.id for one in self.instance_list.available(SERVICE)}
