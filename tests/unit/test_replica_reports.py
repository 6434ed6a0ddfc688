"""Which replicas are complete, and which reports are valid."""

import unittest
from collections import Counter

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.instances import MemberReport, MemberState, ReplicaRow
from cranecart.targets import ReportRegistry, complete_replicas
from cranecart.targets._replica_index import ReplicaIndex
from tests.lib.sample_instances import DOMAIN, make_instances, ready_reports

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
        lambda reports: {
            name: attrs.evolve(report, instance=name)
            for name, report in reports.items()
        },
    )


class CompleteReplicasTest(unittest.TestCase):
    """The conditions under which a replica serves."""

    @given(_reports())
    def test_only_complete_replicas_serve(
        self,
        reports: dict[str, MemberReport],
    ) -> None:
        """Every member reports ready for this replica and generation."""
        for replica in complete_replicas(_INSTANCES, reports):
            for member in replica.members:
                report = reports[member]
                self.assertEqual(report.state, MemberState.READY)
                self.assertEqual(report.replica, replica.id)
                self.assertEqual(report.generation, replica.generation)
                self.assertFalse(report.draining)

    @given(_reports())
    def test_no_instance_is_in_two_replicas(
        self,
        reports: dict[str, MemberReport],
    ) -> None:
        """Whatever instances report, none serves in two replicas."""
        members = Counter(
            member
            for replica in complete_replicas(_INSTANCES, reports)
            for member in replica.members
        )
        self.assertTrue(all(count == 1 for count in members.values()))


class ReplicaIndexTest(unittest.TestCase):
    """Updates by single changes."""

    @given(st.lists(_reports(), max_size=4))
    def test_same_result_as_a_full_search(
        self,
        steps: list[dict[str, MemberReport]],
    ) -> None:
        """The index finds the same replicas, whatever the changes."""
        index = ReplicaIndex()
        for reports in steps:
            for name in _NAMES:
                index.update(name, reports.get(name), _INSTANCES)
            expected = {
                replica.key
                for replica in complete_replicas(_INSTANCES, reports)
            }
            self.assertEqual(
                {replica.key for replica in index.complete()},
                expected,
            )
            self.assertEqual(dict(index.reports), reports)


class ReportRegistryTest(unittest.TestCase):
    """How long a report is valid."""

    def setUp(self) -> None:
        """Make a registry with a complete replica and a simulated clock."""
        self.now = 100.0
        self.reports = ReportRegistry('own', lambda: self.now)
        self.reports.replace_instances(_INSTANCES.values())
        self.row = ReplicaRow('r', 'm', 'v1', 1, ('e00', 'e01'), DOMAIN, 'f0')
        for report in ready_reports(self.row).values():
            self.reports.record_report(report)

    def test_fresh_reports_make_a_replica(self) -> None:
        """All members have just reported that they are ready."""
        self.assertEqual(
            [replica.id for replica in self.reports.serving_replicas()], ['r']
        )

    def test_unreachable_member_makes_a_replica_incomplete(self) -> None:
        """One unreachable member is enough."""
        self.reports.record_unreachable('e01')
        self.assertEqual(self.reports.serving_replicas(), [])

    def test_reports_expire_in_a_process_pause(self) -> None:
        """After a pause nothing serves until the members are probed again."""
        self.reports.tick()
        self.now += 10
        self.assertEqual(self.reports.serving_replicas(), [])
        self.reports.tick()
        self.assertEqual(self.reports.serving_replicas(), [])

    def test_process_pause_loses_no_instance(self) -> None:
        """The time of a pause does not count as silence."""
        self.reports.tick()
        self.now += 60
        self.assertTrue(self.reports.tick())
        self.assertEqual(self.reports.lost_instances(), frozenset())

    def test_silent_instances_are_lost(self) -> None:
        """Silence while the process was running counts."""
        for _ in range(50):
            self.reports.tick()
            self.now += 0.25
        self.assertEqual(self.reports.lost_instances(), frozenset(_NAMES))

    def test_observation_of_a_former_prober_is_ignored(self) -> None:
        """It must not contradict what other nodes observe later."""
        self.reports.replace_live_nodes(['other'])
        self.reports.record_report(MemberReport('e01'), 'other')
        self.assertEqual(self.reports.serving_replicas(), [])
        self.reports.remove_observation('e01', 'other')
        self.assertEqual(
            [replica.id for replica in self.reports.serving_replicas()], ['r']
        )

    def test_failure_of_another_node_counts_for_a_while(self) -> None:
        """The replica serves again once the failure has expired."""
        self.reports.record_unreachable('e01', 'other')
        self.assertEqual(self.reports.serving_replicas(), [])
        self.now += 4.1
        self.reports.tick()
        self.assertEqual(
            [replica.id for replica in self.reports.serving_replicas()], ['r']
        )
