"""A list that lacks living instances, as the store is back only now.

The store was away for 3.7 s, so that no instance could renew its entry: 49 of
171 lapsed, and in the second after its return 49 requests were told that no
whole replica serves. 'instance_lapsed' 3,850 times at all nodes, all of them
back within two seconds.
"""

import random
import unittest

import attrs
import curio

from cranecart.fleet import Fleet, SourceFollower, SourceUpdate
from cranecart.fleet._incarnations import IncarnationTracker
from cranecart.fleet._instance_list import InstanceList
from cranecart.http import Address
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import SERVICE, listed_instance
from tests.unit.test_source_follower import FakeSource, ItemRecorder

_NAMES = tuple(f'i{number:02}' for number in range(40))
_UNTIL = 2.0


def _entry(name: str) -> ListedInstance:
    return listed_instance(name, Address('127.0.0.1', 1))


class MissingEntriesTest(unittest.TestCase):
    """What becomes of instances whose entries are not there."""

    def setUp(self) -> None:
        """List them all."""
        self.instance_list = InstanceList(IncarnationTracker(float))
        self.instance_list.apply({name: _entry(name) for name in _NAMES}, True)

    def test_many_are_kept_after_the_stores_return(self) -> None:
        """They count as there until they had time to come back."""
        self.instance_list.apply(dict.fromkeys(_NAMES[:12]), False, _UNTIL)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES))
        self.instance_list.apply({_NAMES[0]: _entry(_NAMES[0])}, False, _UNTIL)
        self.assertEqual(self.instance_list.expire_missing(_UNTIL - 0.1), [])
        gone = self.instance_list.expire_missing(_UNTIL)
        self.assertEqual(set(gone), set(_NAMES[1:12]))
        self.assertIn(_NAMES[0], self.instance_list.instances)
        self.assertEqual(self.instance_list.lapsed.keys(), set(gone))

    def test_a_whole_list_lacks_them_too(self) -> None:
        """Nor does reading them again make it longer."""
        kept = {name: _entry(name) for name in _NAMES[12:]}
        self.instance_list.apply(kept, True, _UNTIL)
        self.instance_list.apply(kept, True, _UNTIL + 1)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES))
        self.assertEqual(len(self.instance_list.expire_missing(_UNTIL)), 12)

    def test_ordinary_deaths_count_at_once(self) -> None:
        """Also the few that died while the store was away."""
        self.instance_list.apply(dict.fromkeys(_NAMES[:12]), False)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES) - 12)
        self.instance_list.apply(dict.fromkeys(_NAMES[12:14]), False, _UNTIL)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES) - 14)

    def test_those_that_leave_are_let_go(self) -> None:
        """They had said so before the store was away."""
        leaving = attrs.evolve(_entry(_NAMES[0]), leaving=True)
        self.instance_list.apply({_NAMES[0]: leaving}, False)
        self.instance_list.apply(dict.fromkeys(_NAMES[:12]), False, _UNTIL)
        self.assertNotIn(_NAMES[0], self.instance_list.instances)
        self.assertIn(_NAMES[1], self.instance_list.instances)

    def test_lives_are_told_as_ever(self) -> None:
        """One that came back as another life is that life."""
        old = attrs.evolve(_entry('x'), born=1)
        self.instance_list.apply({'x': old}, False)
        self.instance_list.apply(dict.fromkeys(['x', *_NAMES]), False, _UNTIL)
        new = attrs.evolve(_entry('x'), born=2)
        self.assertEqual(
            self.instance_list.apply({'x': new}, False, _UNTIL), ['x']
        )
        self.instance_list.expire_missing(_UNTIL)
        self.assertEqual(self.instance_list.instances['x'].born, 2)


class FilledTest(unittest.TestCase):
    """When a follower says that its source may lack what lives."""

    def setUp(self) -> None:
        """Follow a source by a clock that the test moves."""
        self.now = 100.0
        self.source = FakeSource(items={'a': '1'})
        self.follower = SourceFollower(
            'a source',
            self.source,
            ItemRecorder().take,  # type: ignore[arg-type]
            random.Random(1),
            clock=lambda: self.now,
        )

    def test_a_start_is_no_return(self) -> None:
        """What is read first is taken as it is."""
        curio.run(self.follower._read)
        self.assertFalse(self.follower.repopulated_at)

    def test_a_return(self) -> None:
        """After seconds without any news it is filling again."""
        curio.run(self.follower._read)
        self.now += 0.7
        curio.run(self.follower._read)
        self.assertFalse(self.follower.repopulated_at)
        self.now += 3.7
        self.follower.apply_update(SourceUpdate(1, 2, {'b': '2'}))
        self.assertEqual(self.follower.repopulated_at, self.now + 2)
        self.now += 2
        self.assertFalse(self.follower.repopulated_at)


class FleetTest(unittest.TestCase):
    """What it is for: instances that are only missing are sent to."""

    def test_the_fleet_tells_them(self) -> None:
        """Its turns of housekeeping end nothing before the time is over."""
        fleet = Fleet()
        fleet.apply_instances({name: _entry(name) for name in _NAMES}, True)
        gone = dict.fromkeys(_NAMES)
        fleet.apply_instances(gone, False, float('inf'))
        fleet.process_timeouts()
        self.assertEqual(len(fleet.available(SERVICE)), len(_NAMES))
        self.assertFalse(fleet.lapsed)
