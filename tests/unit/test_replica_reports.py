"""Which replicas are whole."""

import unittest
from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.instances import MemberReport, MemberState, ReplicaRow
from cranecart.targets import ReportRegistry, complete_replicas
from cranecart.targets._replica_index import ReplicaIndex
from tests.lib.worlds import DOMAIN, make_instances, ready_reports

_INSTANCES = make_instances(6)
_NAMES = sorted(_INSTANCES)


def _reports() -> st.SearchStrategy[dict[str, MemberReport]]:
    members = st.lists(
        st.sampled_from(_NAMES),
        min_size=2,
        max_size=3,
        unique=True,
    )
    fields = st.builds(
        MemberReport,
        instance=st.just(''),
        state=st.sampled_from(list(MemberState)),
        replica=st.sampled_from(['r1', 'r2']),
        generation=st.integers(1, 2),
        members=members.map(tuple),
        draining=st.booleans(),
    )
    return st.dictionaries(st.sampled_from(_NAMES), fields).map(
        lambda found: {
            name: attrs.evolve(report, instance=name)
            for name, report in found.items()
        },
    )


class AssembleTest(unittest.TestCase):
    """The gate through which replicas serve."""

    @given(_reports())
    def test_only_whole_replicas_serve(
        self,
        reports: dict[str, MemberReport],
    ) -> None:
        """Every member says ready, for this replica and generation."""
        for replica in complete_replicas(_INSTANCES, reports):
            for member in replica.members:
                report = reports[member]
                self.assertEqual(report.state, MemberState.READY)
                self.assertEqual(report.replica, replica.id)
                self.assertEqual(report.generation, replica.generation)
                self.assertFalse(report.draining)

    @given(_reports())
    def test_no_instance_is_in_two(
        self,
        reports: dict[str, MemberReport],
    ) -> None:
        """Whatever instances say, none serves in two replicas."""
        members = Counter(
            member
            for replica in complete_replicas(_INSTANCES, reports)
            for member in replica.members
        )
        self.assertTrue(all(count == 1 for count in members.values()))


class AssemblyTest(unittest.TestCase):
    """Keeping up with changes one by one."""

    @given(st.lists(_reports(), max_size=4))
    def test_the_same_as_assembling_anew(
        self,
        steps: list[dict[str, MemberReport]],
    ) -> None:
        """After any changes in any order."""
        index = ReplicaIndex()
        for reports in steps:
            for name in _NAMES:
                index.update(name, reports.get(name), _INSTANCES)
            expected = {
                one.key for one in complete_replicas(_INSTANCES, reports)
            }
            self.assertEqual(
                {one.key for one in index.complete()},
                expected,
            )
            self.assertEqual(dict(index.reports), reports)


class ReportBookTest(unittest.TestCase):
    """How long a report counts."""

    def setUp(self) -> None:
        """Make a book with a whole replica and a clock to turn."""
        self.now = 100.0
        self.reports = ReportRegistry('own', lambda: self.now)
        self.reports.replace_instances(_INSTANCES.values())
        self.row = ReplicaRow('r', 'm', 'v1', 1, ('e00', 'e01'), DOMAIN, 'f0')
        for report in ready_reports(self.row).values():
            self.reports.record_report(report)

    def test_fresh_reports_make_a_replica(self) -> None:
        """All members have just said that they are ready."""
        self.assertEqual(
            [one.id for one in self.reports.serving_replicas()], ['r']
        )

    def test_one_silent_member_ends_it(self) -> None:
        """A single unreachable member makes the whole replica absent."""
        self.reports.record_unreachable('e01')
        self.assertEqual(self.reports.serving_replicas(), [])

    def test_old_reports_do_not_count(self) -> None:
        """After a pause of this process nothing serves until asked anew."""
        self.reports.tick()
        self.now += 10
        self.assertEqual(self.reports.serving_replicas(), [])
        self.reports.tick()
        self.assertEqual(self.reports.serving_replicas(), [])

    def test_own_pause_loses_nobody(self) -> None:
        """Time that this process slept through is no instance's silence."""
        self.reports.tick()
        self.now += 60
        self.assertTrue(self.reports.tick())
        self.assertEqual(self.reports.lost_instances(), frozenset())

    def test_silence_loses_an_instance(self) -> None:
        """Silence while this process was awake counts."""
        for _ in range(50):
            self.reports.tick()
            self.now += 0.25
        self.assertEqual(self.reports.lost_instances(), frozenset(_NAMES))

    def test_a_node_that_asks_no_more_speaks_no_more(self) -> None:
        """What it found before must not stand against what others find."""
        self.reports.replace_live_nodes(['other'])
        self.reports.record_report(MemberReport('e01'), 'other')
        self.assertEqual(self.reports.serving_replicas(), [])
        self.reports.remove_observation('e01', 'other')
        self.assertEqual(
            [one.id for one in self.reports.serving_replicas()], ['r']
        )

    def test_a_doubt_counts_for_a_while(self) -> None:
        """Another node's failure closes the gate until the rest confirm."""
        self.reports.record_unreachable('e01', 'other')
        self.assertEqual(self.reports.serving_replicas(), [])
        self.now += 4.1
        self.reports.tick()
        self.assertEqual(
            [one.id for one in self.reports.serving_replicas()], ['r']
        )
