"""What the store's answers tell of its era."""

import unittest

from cranecart.platform._era import StoreEra


class StoreEraTest(unittest.TestCase):
    """The largest era counts, and none is made up."""

    def test_a_first_answer_only_sets_it(self) -> None:
        """A node that starts has seen no return."""
        with self.assertNoLogs('cranecart', 'INFO'):
            self.assertEqual(StoreEra().record({'store-era': '7'}), 7)

    def test_a_later_era_is_told_once(self) -> None:
        """Each return has a line of its own."""
        era = StoreEra()
        era.record({'store-era': '7'})
        with self.assertLogs('cranecart', 'INFO') as told:
            era.record({'store-era': '8'})
            era.record({'store-era': '8'})
        self.assertEqual(len(told.records), 1)
        self.assertEqual(era.current, 8)

    def test_a_late_answer_changes_nothing(self) -> None:
        """Answers pass each other."""
        era = StoreEra()
        era.record({'store-era': '8'})
        self.assertEqual(era.record({'store-era': '7'}), 7)
        self.assertEqual(era.current, 8)

    def test_no_or_unreadable_era(self) -> None:
        """What tells none is taken to be of the latest."""
        era = StoreEra()
        self.assertEqual(era.record({}), 0)
        era.record({'store-era': '3'})
        for text in ('', 'x', '-4', '1.5', '9' * 5000, '²'):
            self.assertEqual(era.record({'store-era': text}), 3)
