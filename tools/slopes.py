"""Write the slopes that the users' bench found into docs/CAPACITY.md.

Usage: python -m tools.slopes FILE...
A file is what ``fleetbench sweep`` printed for one deployment; it is named by
its name without an ending. Each replaces the section between its markers, or
is put behind the last one.
"""

import re
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

_PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
_SLOPES = 'middle / busiest'
_DAY = re.compile(r'^(sweep-\d+)\s+\S+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)')
_GAP = re.compile(r'\s{2,}')
_END_OF_ALL = '<!-- end of sweeps -->'


def main(files: Sequence[str]) -> int:
    """Take every file's figures over."""
    page = _PAGE.read_text('utf-8')
    for file in map(Path, files):
        page = put(page, file.stem, section(file.read_text('utf-8')))
    _PAGE.write_text(page, 'utf-8')
    return 0


def section(printed: str) -> str:
    """Return the tables of one sweep."""
    return '\n'.join((*_days(printed), '', *_slopes(printed)))


def put(page: str, name: str, tables: str) -> str:
    """Return a page with a deployment's section as it is now."""
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    whole = f'{begin}\n{tables}\n{end}'
    pattern = f'{re.escape(begin)}.*?{re.escape(end)}'
    if begin in page:
        return re.sub(pattern, lambda _found: whole, page, flags=re.DOTALL)
    titled = f'**{name}**\n\n{whole}\n\n{_END_OF_ALL}'
    return page.replace(_END_OF_ALL, titled)


def _days(printed: str) -> Iterator[str]:
    yield '| day | worth | served |'
    yield '| --- | --- | --- |'
    for line in printed.splitlines():
        found = _DAY.match(line)
        if found is not None:
            yield _row(found.groups())


def _slopes(printed: str) -> Iterator[str]:
    lines = printed[printed.index(_SLOPES) :].splitlines()
    sizes = _GAP.split(lines[1].strip())
    yield _row(('middle / busiest or longest', *sizes))
    yield _row('---' for _column in range(len(sizes) + 1))
    for line in lines[2:]:
        cells = _GAP.split(line.strip())
        if len(cells) == len(sizes) + 1:
            yield _row(cells)


def _row(cells: Sequence[str] | Iterator[str]) -> str:
    return '| {} |'.format(' | '.join(cells))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
