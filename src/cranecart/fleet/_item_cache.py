"""The contents of a source as of its last change; no I/O."""

from collections.abc import Mapping
from typing import Generic, TypeVar

import attrs

Item = TypeVar('Item')


@attrs.define
class ItemCache(Generic[Item]):
    """Items by key, and the differences between them and other items.

    In changes, ``None`` stands for a removed item.
    """

    _items: dict[str, Item] = attrs.field(factory=dict, init=False)

    def replace(self, items: Mapping[str, Item]) -> None:
        """Replace all items."""
        self._items = dict(items)

    def apply_changes(self, items: Mapping[str, Item | None]) -> None:
        """Apply changes to the items."""
        for key, item in items.items():
            if item is None:
                self._items.pop(key, None)
            else:
                self._items[key] = item

    def merged_with(self, items: Mapping[str, Item | None]) -> dict[str, Item]:
        """Return the items as they would be after the given changes."""
        merged: dict[str, Item | None] = {**self._items, **items}
        return {key: item for key, item in merged.items() if item is not None}

    def differences(self, items: Mapping[str, Item]) -> dict[str, Item | None]:
        """Return the changes that lead from the cached to the given items."""
        removed = dict.fromkeys(self._items.keys() - items.keys())
        changed = {
            key: item
            for key, item in items.items()
            if self._items.get(key) != item
        }
        return {**removed, **changed}
