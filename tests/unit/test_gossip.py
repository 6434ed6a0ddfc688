"""Gossip membership and the replication of entries."""

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
from tests.lib.fake_clock import FakeClock

_KEYS = tuple(EntryKey(Topic.REPORT, f'e{number}', 'n') for number in range(4))

_NODE_SETS = st.sets(st.text(min_size=1), min_size=3, max_size=8)


def _entry_lists() -> st.SearchStrategy[list[Entry]]:
    numbers = st.integers(1, 3)
    versions = st.tuples(numbers, st.just(0), numbers)
    entries = st.builds(Entry, st.sampled_from(_KEYS), versions, st.none())
    return st.lists(entries, max_size=30)


class EntryStoreTest(unittest.TestCase):
    """Stores that received the same entries converge."""

    @given(_entry_lists(), st.randoms(use_true_random=False))
    def test_order_and_duplicates_do_not_matter(
        self,
        entries: list[Entry],
        random_source: object,
    ) -> None:
        """Reordered and duplicated entries give the same state and digest."""
        one = EntryStore()
        other = EntryStore()
        for entry in entries:
            one.accept(entry)
        shuffled = [*entries, *entries]
        random_source.shuffle(shuffled)  # type: ignore[attr-defined]
        for entry in shuffled:
            other.accept(entry)
        self.assertEqual(set(one.all_entries()), set(other.all_entries()))
        self.assertEqual(one.digest, other.digest)

    def test_entries_are_sent_a_bounded_number_of_times(self) -> None:
        """Entries stop being pending after O(log n) messages."""
        store = EntryStore()
        for key in _KEYS:
            store.accept(Entry(key, (1, 0, 1), None))
        messages = 0
        while store.next_pending(45):
            messages += 1
        self.assertLessEqual(messages, 12)

    def test_removal_restores_the_digest(self) -> None:
        """Removing an entry takes it out of the digest again."""
        store = EntryStore()
        store.accept(Entry(_KEYS[0], (1, 0, 1), None))
        store.remove([_KEYS[0]])
        self.assertEqual(store.digest, EntryStore().digest)

    def test_digest_is_unchanged_by_encoding(self) -> None:
        """An entry adds the same to a digest before and after encoding."""
        origin_store = EntryStore()
        members = Members('a', MemberInfo('1:1', 'd'), origin_store, 1)
        members.announce()
        entry = origin_store.all_entries()[0]
        message = Message(
            kind=MessageKind.PING,
            sender='a',
            address='1:1',
            failure_domain='d',
            entries=(entry,),
        )
        receiver_store = EntryStore()
        for received in decode_message(encode_message(message)).entries:
            receiver_store.accept(received)
        self.assertEqual(receiver_store.digest, origin_store.digest)


class MembersTest(unittest.TestCase):
    """Suspicion, its time-out, and refutation by a new incarnation."""

    def setUp(self) -> None:
        """Create a node with one other node in its store."""
        self.clock = FakeClock()
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
        self.entry = other_store.all_entries()[0]
        self._receive(self.entry)

    def test_suspect_is_dead_after_time_out(self) -> None:
        """A suspect gets no work at once, but is dead only after a time-out."""
        self.members.suspect('b')
        self.assertEqual(self.members.alive(), ['a'])
        self.assertIn('b', self.members.others())
        self.clock.now += 3
        self.members.expire()
        self.assertEqual(self.members.status('b'), MemberStatus.DEAD)
        self.assertNotIn('b', self.members.others())

    def test_suspect_refutes_by_new_incarnation(self) -> None:
        """A new incarnation overrides the suspicion."""
        self.members.suspect('b')
        suspicion = self.store.get(self.entry.key)
        assert suspicion is not None
        self.other.handle_update(suspicion)
        assert self.other.incarnation == 2
        refutation = attrs.evolve(self.entry, version=(2, 0, 2))
        self._receive(refutation)
        self.assertEqual(self.members.alive(), ['a', 'b'])

    def test_old_entry_does_not_lift_suspicion(self) -> None:
        """An entry of an earlier version does not lift the suspicion."""
        self.members.suspect('b')
        self._receive(self.entry)
        self.assertEqual(self.members.alive(), ['a'])

    def _receive(self, entry: Entry) -> None:
        if self.store.accept(entry):
            self.members.handle_update(entry)


class ChooseNodesTest(unittest.TestCase):
    """Assignment of subjects to nodes by rendezvous hashing."""

    @given(_NODE_SETS, st.text())
    def test_only_subjects_of_the_lost_node_move(
        self,
        nodes: set[str],
        subject: str,
    ) -> None:
        """Losing a node that was not chosen changes no assignment."""
        chosen = choose_nodes(subject, nodes, 2)
        for lost in nodes - set(chosen):
            self.assertEqual(choose_nodes(subject, nodes - {lost}, 2), chosen)
