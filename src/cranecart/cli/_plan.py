"""Show what applying a folder would change. Usage: plan FOLDER."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.config import compile_folder, differences
from cranecart.declarations import Declarations
from cranecart.exit_codes import ExitCode
from cranecart.operators import NodeStatus

declare_flags = _common.declare_node_flags


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Print the differences and the replicas to start or retire."""
    _common.require_arguments(arguments, ['FOLDER'])
    wanted = compile_folder(Path(arguments[0]))
    client = _common.make_client(flag_values)
    declared = curio.run(client.declared)
    changed = differences(declared.declarations, wanted)
    moves = list(replica_changes(curio.run(client.status), wanted))
    lines = [
        f'against version {declared.version}:',
        *(
            f'  {difference.what} {difference.name}: {difference.change}'
            for difference in changed
        ),
        *(f'  replicas: {move}' for move in moves),
    ]
    if not changed:
        lines.append('  nothing would change')
    _common.print_result(
        flag_values,
        {
            'base_version': declared.version,
            'differences': changed,
            'moves': moves,
        },
        '\n'.join(lines),
    )
    return ExitCode.OK


def replica_changes(status: NodeStatus, wanted: Declarations) -> Iterator[str]:
    """Yield for each model how many replicas would start or retire."""
    serving = Counter(
        f'{replica.model}@{replica.version}' for replica in status.replicas
    )
    declared = {spec.key: spec.replicas for spec in wanted.models}
    for key in sorted(serving.keys() | declared.keys()):
        change = declared.get(key, 0) - serving[key]
        if change:
            verb = 'start' if change > 0 else 'retire'
            yield f'{verb} {abs(change)} of {key} ({serving[key]} serving now)'
