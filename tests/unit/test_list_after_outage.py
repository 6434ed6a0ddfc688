"""An instance list that lacks running instances right after a store outage.

During an outage of 3.7 s no instance could renew its entry, so 49 of 171
lapsed, and 49 requests failed in the next second because no replica was
available. 'instance_lapsed' was logged 3,850 times at all nodes, and all of
these instances were listed again within two seconds.
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
    """Handling of instances whose entries are missing."""

    def setUp(self) -> None:
        """List all instances."""
        self.instance_list = InstanceList(IncarnationTracker(float))
        self.instance_list.apply({name: _entry(name) for name in _NAMES}, True)

    def test_many_missing_instances_are_kept_after_an_outage(self) -> None:
        """They stay available until they had time to be listed again."""
        self.instance_list.apply(dict.fromkeys(_NAMES[:12]), False, _UNTIL)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES))
        self.instance_list.apply({_NAMES[0]: _entry(_NAMES[0])}, False, _UNTIL)
        self.assertEqual(self.instance_list.expire_missing(_UNTIL - 0.1), [])
        expired = self.instance_list.expire_missing(_UNTIL)
        self.assertEqual(set(expired), set(_NAMES[1:12]))
        self.assertIn(_NAMES[0], self.instance_list.instances)
        self.assertEqual(self.instance_list.lapsed.keys(), set(expired))

    def test_complete_list_does_not_extend_the_grace_period(self) -> None:
        """Complete lists that lack them do not extend the grace period."""
        kept = {name: _entry(name) for name in _NAMES[12:]}
        self.instance_list.apply(kept, True, _UNTIL)
        self.instance_list.apply(kept, True, _UNTIL + 1)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES))
        self.assertEqual(len(self.instance_list.expire_missing(_UNTIL)), 12)

    def test_ordinary_failures_count_at_once(self) -> None:
        """They lapse at once, also the few that failed during the outage."""
        self.instance_list.apply(dict.fromkeys(_NAMES[:12]), False)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES) - 12)
        self.instance_list.apply(dict.fromkeys(_NAMES[12:14]), False, _UNTIL)
        self.assertEqual(len(self.instance_list.instances), len(_NAMES) - 14)

    def test_leaving_instances_are_not_kept(self) -> None:
        """They had announced it before the outage."""
        leaving = attrs.evolve(_entry(_NAMES[0]), leaving=True)
        self.instance_list.apply({_NAMES[0]: leaving}, False)
        self.instance_list.apply(dict.fromkeys(_NAMES[:12]), False, _UNTIL)
        self.assertNotIn(_NAMES[0], self.instance_list.instances)
        self.assertIn(_NAMES[1], self.instance_list.instances)

    def test_restart_is_detected(self) -> None:
        """An instance that was restarted meanwhile counts as restarted."""
        old = attrs.evolve(_entry('x'), born=1)
        self.instance_list.apply({'x': old}, False)
        self.instance_list.apply(dict.fromkeys(['x', *_NAMES]), False, _UNTIL)
        new = attrs.evolve(_entry('x'), born=2)
        self.assertEqual(
            self.instance_list.apply({'x': new}, False, _UNTIL), ['x']
        )
        self.instance_list.expire_missing(_UNTIL)
        self.assertEqual(self.instance_list.instances['x'].born, 2)


class RepopulationTest(unittest.TestCase):
    """When a follower reports that its source may lack running instances."""

    def setUp(self) -> None:
        """Follow a source with a simulated clock."""
        self.now = 100.0
        self.source = FakeSource(items={'a': '1'})
        self.follower = SourceFollower(
            'a source',
            self.source,
            ItemRecorder().take,  # type: ignore[arg-type]
            random.Random(1),
            clock=lambda: self.now,
        )

    def test_first_read_is_complete(self) -> None:
        """The first snapshot counts as complete."""
        curio.run(self.follower._read)
        self.assertFalse(self.follower.repopulated_at)

    def test_read_after_an_outage_may_be_incomplete(self) -> None:
        """After seconds without an answer the source is being repopulated."""
        curio.run(self.follower._read)
        self.now += 0.7
        curio.run(self.follower._read)
        self.assertFalse(self.follower.repopulated_at)
        self.now += 3.7
        self.follower.apply_update(SourceUpdate(1, 2, {'b': '2'}))
        self.assertEqual(self.follower.repopulated_at, self.now + 2)
        self.now += 2
        self.assertFalse(self.follower.repopulated_at)


class FleetAfterOutageTest(unittest.TestCase):
    """Requests are still sent to instances whose entries are missing."""

    def test_missing_instances_stay_available(self) -> None:
        """Processing timeouts before the end of the grace period has no effect."""
        fleet = Fleet()
        fleet.apply_instances({name: _entry(name) for name in _NAMES}, True)
        missing = dict.fromkeys(_NAMES)
        fleet.apply_instances(missing, False, float('inf'))
        fleet.process_timeouts()
        self.assertEqual(len(fleet.available(SERVICE)), len(_NAMES))
        self.assertFalse(fleet.lapsed)
