"""Membership and the entries that nodes spread."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranecart.gossip import (
    Entry,
    EntryKey,
    EntryStore,
    MemberInfo,
    Members,
    MemberStatus,
    Topic,
    choose_nodes,
)
from cranecart.gossip._entries import (
    Message,
    MessageKind,
    decode_message,
    encode_message,
)

_KEYS = tuple(EntryKey(Topic.REPORT, f'e{number}', 'n') for number in range(4))

_NODE_SETS = st.sets(st.text(min_size=1), min_size=3, max_size=8)


def _entries() -> st.SearchStrategy[list[Entry]]:
    numbers = st.integers(1, 3)
    versions = st.tuples(numbers, st.just(0), numbers)
    entries = st.builds(Entry, st.sampled_from(_KEYS), versions, st.none())
    return st.lists(entries, max_size=30)


class EntryStoreTest(unittest.TestCase):
    """Stores that heard the same hold the same."""

    @given(_entries(), st.randoms(use_true_random=False))
    def test_order_and_repeats_do_not_matter(
        self,
        entries: list[Entry],
        source: object,
    ) -> None:
        """Crossed and doubled messages end in one state and digest."""
        one = EntryStore()
        other = EntryStore()
        for entry in entries:
            one.accept(entry)
        crossed = [*entries, *entries]
        source.shuffle(crossed)  # type: ignore[attr-defined]
        for entry in crossed:
            other.accept(entry)
        self.assertEqual(set(one.every()), set(other.every()))
        self.assertEqual(one.digest, other.digest)

    def test_news_is_sent_a_bounded_number_of_times(self) -> None:
        """After that it is quiet, whatever the number of nodes."""
        store = EntryStore()
        for key in _KEYS:
            store.accept(Entry(key, (1, 0, 1), None))
        messages = 0
        while store.next_news(45):
            messages += 1
        self.assertLessEqual(messages, 12)

    def test_forgetting_restores_the_digest(self) -> None:
        """A digest is that of what is held."""
        store = EntryStore()
        store.accept(Entry(_KEYS[0], (1, 0, 1), None))
        store.forget([_KEYS[0]])
        self.assertEqual(store.digest, EntryStore().digest)

    def test_digest_survives_the_wire(self) -> None:
        """An entry counts alike where it was made and where it was heard."""
        made = EntryStore()
        members = Members('a', MemberInfo('1:1', 'd'), made, 1)
        members.announce()
        entry = made.every()[0]
        message = Message(
            kind=MessageKind.PING,
            sender='a',
            address='1:1',
            failure_domain='d',
            entries=(entry,),
        )
        heard = EntryStore()
        for received in decode_message(encode_message(message)).entries:
            heard.accept(received)
        self.assertEqual(heard.digest, made.digest)


@attrs.define
class _Clock:
    now: float = 10

    def __call__(self) -> float:
        return self.now


class MembersTest(unittest.TestCase):
    """Suspicion before death, and how it is refuted."""

    def setUp(self) -> None:
        """Make one node that knows another."""
        self.clock = _Clock()
        self.store = EntryStore()
        self.members = Members(
            'a',
            MemberInfo('1:1', 'd'),
            self.store,
            1,
            self.clock,
        )
        self.members.announce()
        other_store = EntryStore()
        self.other = Members('b', MemberInfo('1:2', 'd'), other_store, 1)
        self.other.announce()
        self.entry = other_store.every()[0]
        self._hear(self.entry)

    def test_suspicion_comes_before_death(self) -> None:
        """A suspect is not asked to work, but dies only later."""
        self.members.suspect('b')
        self.assertEqual(self.members.alive(), ['a'])
        self.assertIn('b', self.members.others())
        self.clock.now += 3
        self.members.expire()
        self.assertEqual(self.members.status('b'), MemberStatus.DEAD)
        self.assertNotIn('b', self.members.others())

    def test_a_suspect_refutes(self) -> None:
        """It raises its incarnation, which outranks the suspicion."""
        self.members.suspect('b')
        said = self.store.get(self.entry.key)
        assert said is not None
        self.other.note(said)
        assert self.other.incarnation == 2
        later = attrs.evolve(self.entry, version=(2, 0, 2))
        self._hear(later)
        self.assertEqual(self.members.alive(), ['a', 'b'])

    def test_old_news_does_not_revive(self) -> None:
        """What the dead said before is void."""
        self.members.suspect('b')
        self._hear(self.entry)
        self.assertEqual(self.members.alive(), ['a'])

    def _hear(self, entry: Entry) -> None:
        if self.store.accept(entry):
            self.members.note(entry)


class ChooseNodesTest(unittest.TestCase):
    """Sharing work without a message."""

    @given(_NODE_SETS, st.text())
    def test_only_the_work_of_the_dead_moves(
        self,
        nodes: set[str],
        subject: str,
    ) -> None:
        """Losing a node that was not chosen changes nothing."""
        chosen = choose_nodes(subject, nodes, 2)
        for lost in nodes - set(chosen):
            self.assertEqual(choose_nodes(subject, nodes - {lost}, 2), chosen)
