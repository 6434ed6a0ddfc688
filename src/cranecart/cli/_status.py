"""Show a node's view of nodes, duties and replicas. Usage: status."""

from collections.abc import Iterator

import curio
from absl import flags

from cranecart.cli import _common
from cranecart.declarations import DomainVersions
from cranecart.exit_codes import ExitCode
from cranecart.operators import NodeStatus

declare_flags = _common.declare_node_flags


def run(flag_values: flags.FlagValues, arguments: list[str]) -> ExitCode:
    """Print the status."""
    _common.require_arguments(arguments, [])
    status = curio.run(_common.make_client(flag_values).status)
    _common.print_result(flag_values, status, '\n'.join(_lines(status)))
    return ExitCode.OK


def _lines(status: NodeStatus) -> Iterator[str]:
    yield (
        f'{status.node} in {status.failure_domain}: ready {status.ready}, '
        f'version {status.config_version}, {status.in_flight} in flight'
    )
    for failure_domain in status.evacuated:
        yield f'evacuated: {failure_domain}'
    for duty, holder in status.duties.items():
        yield f'duty {duty}: {holder or "nobody"}'
    for domain, versions in status.domains.items():
        yield f'domain {domain}: {_domain_text(versions)}'
    for name, node in status.nodes.items():
        stopping = ', stopping' if node.stopping else ''
        yield f'node {name}: version {node.config_version}{stopping}'
    for replica in status.replicas:
        members = ' '.join(replica.members)
        yield f'replica {replica.id} generation {replica.generation}: {members}'


def _domain_text(versions: DomainVersions) -> str:
    behind = ', '.join(versions.behind) or 'nobody'
    return (
        f'{versions.nodes} nodes on version {versions.oldest} or later, '
        f'behind: {behind}'
    )
