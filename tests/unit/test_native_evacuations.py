"""Evacuations on the native platform: table, selection and placement."""

import time
from unittest import TestCase, main, mock

import attrs
import curio

from cranecart.exceptions import (
    NoReplicaError,
    PlatformUnavailableError,
    TargetWithdrawnError,
)
from cranecart.fleet import Evacuations
from cranecart.instances import Instance, InstanceKind, MemberState, ReplicaRow
from cranecart.models import Evacuation
from cranecart.placement import DomainState, plan, plan_orders
from cranecart.rollout import EvacuationTable
from cranecart.rollout._evacuation_table import EVACUATIONS_KEY
from cranecart.selection import Router
from cranecart.targets import (
    DomainSummary,
    EngineClient,
    ReportRegistry,
    ServiceCall,
    ServiceClient,
    ServingReplica,
    TargetDirectory,
)
from tests.lib.fake_platform import (
    LOST_RESPONSE,
    LOST_WRITE,
    REFUSED,
    FakePlatform,
)
from tests.lib.fake_targets import Exchange, FakeTarget
from tests.lib.sample_instances import (
    DOMAIN,
    idle_reports,
    make_instances,
    make_spec,
    ready_reports,
)
from tests.lib.synchronous import run_synchronously


class EvacuationTableTest(TestCase):
    """Two nodes through which operators change the same table."""

    def setUp(self) -> None:
        """Start with an empty table."""
        self.platform = FakePlatform()
        self.nodes = [Evacuations(), Evacuations()]
        self.tables = [
            EvacuationTable(self.platform, node) for node in self.nodes
        ]

    def test_start_and_end(self) -> None:
        """The change takes effect here at once, elsewhere by the row."""
        self._change(0, True)
        self.assertTrue(self.nodes[0].is_evacuated('a'))
        self._read(1)
        self.assertTrue(self.nodes[1].is_evacuated('a'))
        self._change(1, False)
        self._read(0)
        self.assertEqual(
            [node.active() for node in self.nodes], [frozenset(), frozenset()]
        )

    def test_repeated_change(self) -> None:
        """It writes nothing."""
        self._change(0, False)
        self._change(0, True)
        self.assertEqual(self._change(1, True), Evacuation('a', 1, True))
        self.assertEqual(self.platform.version, 1)

    def test_lost_answers(self) -> None:
        """A change is neither lost nor made twice."""
        for fault in (LOST_RESPONSE, LOST_WRITE):
            with self.subTest(fault):
                self.setUp()
                self.platform.faults = iter((fault,))
                self.assertEqual(
                    self._change(0, True), Evacuation('a', 1, True)
                )
                self.assertEqual(self.platform.version, 1)
        self.platform.faults = iter((REFUSED,))
        with self.assertRaises(PlatformUnavailableError):
            self._change(0, False)

    def test_unreadable_row(self) -> None:
        """It changes nothing, and is not overwritten."""
        self._change(0, True)
        row = self.platform.rows[EVACUATIONS_KEY]
        self.platform.rows[EVACUATIONS_KEY] = attrs.evolve(row, value='[7]')
        self._read(0)
        self.assertTrue(self.nodes[0].is_evacuated('a'))
        with self.assertRaises(PlatformUnavailableError):
            self._change(0, False)

    def _change(self, node: int, is_active: bool) -> Evacuation:
        return run_synchronously(self.tables[node].change('a', is_active))

    def _read(self, node: int) -> None:
        self.tables[node].apply(self.platform.rows.get(EVACUATIONS_KEY))


class EvacuatedSelectionTest(TestCase):
    """Targets of an evacuated failure domain are not selected."""

    def test_targets_are_omitted(self) -> None:
        """Neither replicas nor services there are offered."""
        directory = TargetDirectory('here', ReportRegistry('n'))
        directory.record_summary(
            DomainSummary('there', (_replica(),), (_service(1),))
        )
        self.assertEqual(len(directory.replicas()), 1)
        self.assertEqual(len(directory.services('crew')), 1)
        directory.evacuations.merge([Evacuation('there', 1, True)], 'n2')
        self.assertEqual(directory.replicas(), [])
        self.assertEqual(directory.services('crew'), [])
        with self.assertRaises(NoReplicaError):
            Router(directory, mock.Mock()).choose_instance(_call())

    def test_evacuated_while_connecting(self) -> None:
        """Nothing is sent on the new connection."""
        curio.run(self._send_evacuated)

    async def _send_evacuated(self) -> None:
        target = FakeTarget('s', _answer)
        serving = await curio.spawn(target.run)
        evacuations = Evacuations()
        evacuations.merge([Evacuation('there', 1, True)], 'n2')
        with self.assertRaises(TargetWithdrawnError):
            await ServiceClient(evacuations).call(
                _service(target.address.port), _call()
            )
        replica = attrs.evolve(_replica(), leader=target.address)
        with self.assertRaises(TargetWithdrawnError):
            await EngineClient(evacuations=evacuations).start_completion(
                replica, mock.Mock(repeatable=False)
            )
        await serving.cancel()
        self.assertEqual(target.received, [])


class EvacuatedPlanTest(TestCase):
    """One failure domain with eight engines and replicas of four."""

    def setUp(self) -> None:
        """Start with one complete replica of two declared ones."""
        instances = make_instances(8)
        members = tuple(sorted(instances))[:4]
        self.row = ReplicaRow(
            'r1', 'nyelvi-szerver', 'v1', 1, members, DOMAIN, 'f0'
        )
        self.state = DomainState(
            DOMAIN,
            (make_spec(2),),
            {'r1': self.row},
            dict.fromkeys(members, 'r1'),
            instances,
            {**idle_reports(instances), **ready_reports(self.row)},
        )
        self.evacuated = attrs.evolve(self.state, is_evacuated=True)

    def test_nothing_is_created(self) -> None:
        """The second replica is created only after the end."""
        self.assertEqual(len(plan(self.state)), 1)
        self.assertEqual(plan(self.evacuated), [])

    def test_no_member_joins(self) -> None:
        """A replica that was recorded before is not formed meanwhile."""
        reports = idle_reports(self.state.instances)
        state = attrs.evolve(self.state, reports=reports)
        self.assertEqual(len(plan_orders(state)), 4)
        self.assertEqual(
            plan_orders(attrs.evolve(state, is_evacuated=True)), []
        )

    def test_broken_replica_is_not_restarted(self) -> None:
        """It is repaired after the end."""
        head = self.row.members[0]
        report = attrs.evolve(
            self.state.reports[head], state=MemberState.BROKEN
        )
        reports = {**self.state.reports, head: report}
        state = attrs.evolve(self.state, reports=reports)
        self.assertIn('r1', [action.row.id for action in plan(state)])
        self.assertEqual(plan(attrs.evolve(state, is_evacuated=True)), [])

    def test_earlier_version_stays(self) -> None:
        """A replica is not ended for one that cannot be created."""
        spec = make_spec(1, version='v2')
        full = attrs.evolve(
            self.state,
            models=(spec,),
            instances={
                name: self.state.instances[name] for name in self.row.members
            },
        )
        self.assertEqual(len(plan(full)), 1)
        self.assertEqual(plan(attrs.evolve(full, is_evacuated=True)), [])

    def test_other_domains_compensate(self) -> None:
        """They take over the declared replicas, unless all are evacuated."""
        spec = attrs.evolve(make_spec(4), failure_domains=('a', 'b', 'c'))
        outside = spec.outside({'a'})
        shares = [outside.replicas_in(domain) for domain in 'abc']
        self.assertEqual(shares, [0, 2, 2])
        self.assertEqual(spec.outside({'a', 'b', 'c'}), spec)


def _replica() -> ServingReplica:
    address = _service(1).address
    return ServingReplica(
        'r', 1, 'm', 'v', (), ('e',), address, 'there', 0, 0, 4
    )


def _service(port: int) -> Instance:
    return Instance(
        's',
        InstanceKind.SERVICE,
        '127.0.0.1',
        port,
        'there',
        '',
        service='crew',
    )


def _call() -> ServiceCall:
    return ServiceCall(
        request_id='r1',
        organisation='org',
        body=b'',
        deadline=time.clock_gettime(time.CLOCK_BOOTTIME) + 5,
        service='crew',
        path='/',
        method='GET',
    )


async def _answer(exchange: Exchange) -> None:
    await exchange.answer(b'done')


if __name__ == '__main__':
    main()
