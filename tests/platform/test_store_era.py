"""The era that is read from the store's answers."""

import unittest

from cranecart.platform._era import StoreEra


class StoreEraTest(unittest.TestCase):
    """The highest era counts."""

    def test_first_era_is_not_logged(self) -> None:
        """A starting node has not seen the store being restored."""
        with self.assertNoLogs('cranecart', 'INFO'):
            self.assertEqual(StoreEra().record({'store-era': '7'}), 7)

    def test_higher_era_is_logged_once(self) -> None:
        """Each restore of the store is logged once."""
        era = StoreEra()
        era.record({'store-era': '7'})
        with self.assertLogs('cranecart', 'INFO') as logs:
            era.record({'store-era': '8'})
            era.record({'store-era': '8'})
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(era.current, 8)

    def test_late_answer_keeps_the_era(self) -> None:
        """Answers may arrive out of order."""
        era = StoreEra()
        era.record({'store-era': '8'})
        self.assertEqual(era.record({'store-era': '7'}), 7)
        self.assertEqual(era.current, 8)

    def test_missing_or_invalid_era(self) -> None:
        """An answer without a valid era is taken to be of the highest one."""
        era = StoreEra()
        self.assertEqual(era.record({}), 0)
        era.record({'store-era': '3'})
        for text in ('', 'x', '-4', '1.5', '9' * 5000, '²'):
            self.assertEqual(era.record({'store-era': text}), 3)
