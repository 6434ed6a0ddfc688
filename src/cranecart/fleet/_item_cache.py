"""What a source held as of its last change; no I/O."""

from collections.abc import Mapping
from typing import Generic, TypeVar

import attrs

Item = TypeVar('Item')


@attrs.define
class ItemCache(Generic[Item]):
    """Items by key, and what makes others of them.

    In changes ``None`` stands for an item that is gone.
    """

    _items: dict[str, Item] = attrs.field(factory=dict, init=False)

    def replace(self, items: Mapping[str, Item]) -> None:
        """Hold these items and no others."""
        self._items = dict(items)

    def change(self, items: Mapping[str, Item | None]) -> None:
        """Hold what has changed."""
        for key, item in items.items():
            if item is None:
                self._items.pop(key, None)
            else:
                self._items[key] = item

    def changed_by(self, items: Mapping[str, Item | None]) -> dict[str, Item]:
        """Return what would be held after some changes."""
        merged: dict[str, Item | None] = {**self._items, **items}
        return {key: item for key, item in merged.items() if item is not None}

    def differences(self, items: Mapping[str, Item]) -> dict[str, Item | None]:
        """Return the changes that make these items of what is held."""
        gone = dict.fromkeys(self._items.keys() - items.keys())
        changed = {
            key: item
            for key, item in items.items()
            if self._items.get(key) != item
        }
        return {**gone, **changed}
