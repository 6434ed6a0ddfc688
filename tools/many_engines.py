"""Run many idle stand-in engines in one process, to benchmark nodes.

Usage: python -m tools.many_engines HOST PLATFORM FAILURE_DOMAIN COUNT
"""

import sys

import curio
import msgspec

from cranecart.http import Address, Request, exchange
from cranecart.standins import EngineOptions, EngineStandin, EventRecord

_CALL_SECONDS = 5.0
_ENGINES_PER_FABRIC_DOMAIN = 40


async def serve(
    host: str,
    platform: Address,
    domain: str,
    count: int,
) -> None:
    """Start and register the engines, and serve until killed."""
    record = EventRecord.from_path('many', '')
    async with curio.TaskGroup(wait=all) as engines:
        for number in range(count):
            name = f'{domain}-m{number:04}'
            engine = EngineStandin(
                Address(host, 0),
                EngineOptions(name, platform),
                record,
            )
            engine.server.open()
            await engines.spawn(engine.run)
            entry = {
                'id': name,
                'kind': 'engine',
                'host': host,
                'port': engine.server.address.port,
                'failure_domain': domain,
                'fabric_domain': f'{domain}-f{number // _ENGINES_PER_FABRIC_DOMAIN}',
            }
            request = Request(
                'POST',
                '/standin/instances',
                body=msgspec.json.encode(entry),
            )
            await exchange(platform, request, _CALL_SECONDS)


if __name__ == '__main__':
    curio.run(
        serve,
        sys.argv[1],
        Address.from_text(sys.argv[2]),
        sys.argv[3],
        int(sys.argv[4]),
    )
