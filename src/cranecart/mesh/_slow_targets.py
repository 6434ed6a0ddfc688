"""Sum up the nodes' reports of slow targets, in few bytes."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

# Entries in a summary; a relay sends those of its failure domain in turn. At
# four digests a second with the summaries of three failure domains, a node
# receives 0.4 KB/s at most, at 17 bytes an entry. Within the two seconds for which
# a report counts, 16 targets of each failure domain have their turn.
_MAX_REPORTED = 2


@attrs.define
class SlowTargetReports:
    """Merges reports; the targets that were reported longest ago come first."""

    _last_turns: dict[str, int] = attrs.field(factory=dict, init=False)
    _turn: int = attrs.field(default=0, init=False)

    def merge(self, reports: Iterable[Mapping[str, int]]) -> dict[str, int]:
        """Return the geometric mean of the reported paces by target."""
        logarithms: defaultdict[str, list[float]] = defaultdict(list)
        for report in reports:
            for name, hundredths in report.items():
                logarithms[name].append(math.log(max(1, hundredths)))
        self._turn += 1
        chosen = sorted(
            logarithms, key=lambda name: self._last_turns.get(name, 0)
        )[:_MAX_REPORTED]
        self._last_turns = {
            name: turn
            for name, turn in self._last_turns.items()
            if name in logarithms
        }
        self._last_turns.update(dict.fromkeys(chosen, self._turn))
        return {
            name: round(math.exp(sum(logs) / len(logs)))
            for name, logs in logarithms.items()
            if name in chosen
        }
