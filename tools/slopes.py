"""Write the slopes measured by the external benchmark into docs/CAPACITY.md.

Usage: python -m tools.slopes FILE...
FILE is the output of ``fleetbench sweep`` for one deployment, which is named
after the file without its extension. It replaces the section between the
markers of the deployment, or is appended after the last section.
"""

import re
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

_CAPACITY_PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
_SLOPES_HEADING = 'middle / busiest'
_SCENARIO_LINE = re.compile(
    r'^(sweep-\d+)\s+\S+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)'
)
_COLUMN_GAP = re.compile(r'\s{2,}')
_END_MARKER = '<!-- end of sweeps -->'


def main(files: Sequence[str]) -> int:
    """Insert the tables of all files into the page."""
    page = _CAPACITY_PAGE.read_text('utf-8')
    for file in map(Path, files):
        page = replace_section(
            page, file.stem, section(file.read_text('utf-8'))
        )
    _CAPACITY_PAGE.write_text(page, 'utf-8')
    return 0


def section(output: str) -> str:
    """Return the Markdown tables of one sweep."""
    return '\n'.join((*_scenario_rows(output), '', *_slope_rows(output)))


def replace_section(page: str, name: str, tables: str) -> str:
    """Return the page with the section of a deployment replaced or added."""
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    block = f'{begin}\n{tables}\n{end}'
    pattern = f'{re.escape(begin)}.*?{re.escape(end)}'
    if begin in page:
        return re.sub(pattern, lambda _match: block, page, flags=re.DOTALL)
    titled_block = f'**{name}**\n\n{block}\n\n{_END_MARKER}'
    return page.replace(_END_MARKER, titled_block)


def _scenario_rows(output: str) -> Iterator[str]:
    yield '| day | worth | served |'
    yield '| --- | --- | --- |'
    for line in output.splitlines():
        match = _SCENARIO_LINE.match(line)
        if match is not None:
            yield _row(match.groups())


def _slope_rows(output: str) -> Iterator[str]:
    lines = output[output.index(_SLOPES_HEADING) :].splitlines()
    sizes = _COLUMN_GAP.split(lines[1].strip())
    yield _row(('middle / busiest or longest', *sizes))
    yield _row('---' for _column in range(len(sizes) + 1))
    for line in lines[2:]:
        cells = _COLUMN_GAP.split(line.strip())
        if len(cells) == len(sizes) + 1:
            yield _row(cells)


def _row(cells: Sequence[str] | Iterator[str]) -> str:
    return '| {} |'.format(' | '.join(cells))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
