"""Which members a liveness check reports as lost.

The link of a small node was saturated for an eighth of a second while a large
configuration arrived, and all connections of its placer timed out
('members_checked' with all members silent, four replicas in 0.1 s; before and
after it all answered within 2 ms). Four healthy replicas were ended, and their
members stayed unused for six seconds as dead.
"""

import unittest
from collections.abc import Mapping

import attrs
import curio
from hypothesis import given
from hypothesis import strategies as st

from cranecart.fleet import Fleet, ReplicaRecord
from cranecart.grouping._failure_detector import FailureDetector
from cranecart.grouping._liveness import LivenessCheck
from cranecart.http import Address
from cranecart.ports import ListedInstance
from tests.lib.fake_engines import DOMAIN, SERVICE, listed_instance

_ADDRESS = Address('127.0.0.1', 1)
_MEMBERS = ('a', 'b')
_RECORD = ReplicaRecord('r', 1, SERVICE, 'm', DOMAIN, 'f', _MEMBERS)


@attrs.define
class _Network:
    """Answers connections as configured; ``None`` is no answer."""

    answers: Mapping[str, bool | None]
    probed: list[str] = attrs.field(factory=list)
    checked_paths: list[str] = attrs.field(factory=list)

    async def check_path(self, instance: ListedInstance) -> None:
        """Record that the path to an instance is checked."""
        self.checked_paths.append(instance.id)

    async def probe(self, instance: ListedInstance) -> bool | None:
        """Return whether an instance listens."""
        self.probed.append(instance.id)
        return self.answers[instance.id]


class ReferenceInstancesTest(unittest.TestCase):
    """A replica of two members, beside others of the failure domain."""

    def test_nothing_is_lost_without_any_answer(self) -> None:
        """The node's own link may be the cause."""
        answers = dict.fromkeys('abxyz')
        self.assertEqual(_found_lost(answers), set())

    def test_all_members_are_lost_if_others_answer(self) -> None:
        """They failed together."""
        answers = {**dict.fromkeys('ab'), 'x': True, 'y': None, 'z': None}
        self.assertEqual(_found_lost(answers), {'a', 'b'})

    def test_members_lost_with_their_fabric_domain(self) -> None:
        """Its other instances failed too; one elsewhere answers."""
        answers = {**dict.fromkeys('abxyz'), 'elsewhere': True}
        self.assertEqual(_found_lost(answers), {'a', 'b'})

    def test_refused_connections_taken_for_dead_members(self) -> None:
        """They may be refused on a path that this node has lost."""
        self.assertEqual(_found_lost(dict.fromkeys('abxyz', False)), set())
        answers = {**dict.fromkeys('bxyz'), 'a': False}
        self.assertEqual(_found_lost(answers), set())

    def test_refusing_members_are_lost_if_another_listens(self) -> None:
        """One connection that succeeds shows that the paths work."""
        answers = {**dict.fromkeys('abxy', False), 'z': True}
        self.assertEqual(_found_lost(answers), {'a', 'b'})

    def test_others_probed_only_if_no_member_answers(self) -> None:
        """Connections to instances have a cost."""
        network = _Network({'a': None, **dict.fromkeys('bxyz', True)})
        self.assertEqual(_lost_by(network), {'a'})
        self.assertEqual(sorted(network.probed), ['a', 'b'])

    def test_inconclusive_check_finds_lost_paths(self) -> None:
        """A placer without requests of its own learns that it is cut off."""
        network = _Network(dict.fromkeys('abxyz'))
        _lost_by(network)
        self.assertEqual(network.checked_paths, ['a'])
        network = _Network({**dict.fromkeys('abxy'), 'z': True})
        _lost_by(network)
        self.assertEqual(network.checked_paths, [])

    @given(st.lists(st.sampled_from([True, False, None]), min_size=5))
    def test_listening_instances_are_never_lost(
        self,
        drawn: list[bool | None],
    ) -> None:
        """Members are lost just if they do not listen and others do."""
        answers = dict(zip('abxyz', drawn, strict=False))
        lost = _found_lost(answers)
        self.assertFalse(any(answers[name] for name in lost))
        if any(answers.values()):
            refusing = {name for name in _MEMBERS if answers[name] is False}
            self.assertLessEqual(refusing, lost)
        else:
            self.assertEqual(lost, set())


def _found_lost(answers: Mapping[str, bool | None]) -> set[str]:
    return _lost_by(_Network(answers))


def _lost_by(network: _Network) -> set[str]:
    fleet = Fleet()
    names = (*_MEMBERS, 'x', 'y', 'z')
    fleet.apply_instances(
        {name: listed_instance(name, _ADDRESS, 'f') for name in names},
        True,
    )
    if 'elsewhere' in network.answers:
        fleet.apply_instances(
            {'elsewhere': listed_instance('elsewhere', _ADDRESS, 'g')},
            False,
        )
    fleet.apply_records({_RECORD.key: _RECORD}, True)
    reported = []

    async def record_loss(record: ReplicaRecord) -> None:  # noqa: WPS430
        reported.append(record.name)

    failure_detector = FailureDetector(fleet, record_loss, network.check_path)
    failure_detector.liveness = LivenessCheck(network.probe)

    async def run() -> None:  # noqa: WPS430
        failure_detector.suspect(_RECORD, 'silent')
        await failure_detector.check([_RECORD])
        await curio.sleep(0.02)

    curio.run(run)
    lost = failure_detector.lost_instances()
    assert bool(reported) is bool(lost)
    return set(lost)
