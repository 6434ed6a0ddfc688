"""Members of an open group are joined elsewhere after a cut from the store.

Uses the stand-ins of the earlier review (review/lib) as they are.
"""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import engines  # noqa: E402
import rig  # noqa: E402

HOST = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'
ZONES = ('east', 'north', 'west')
MODEL = 'daka510000'
SERVICE = 'huvo11a'
SIZE = 3
# As in day.toml.
CUT_SECONDS = 10.0
FIRST_STOP_SECONDS = 0.6
STOP_GAP_SECONDS = 2.0
# "after three check-ins of silence"
LAPSE_SECONDS = 3 * engines.HEARTBEAT_SECONDS


def configuration():
    return {
        'version': 7,
        'routes': [{
            'name': 'draft', 'host': HOST, 'pathPrefix': '/draft/', 'type': 'streaming',
            'timeoutMs': 6000, 'sloMs': 300, 'priority': 1, 'service': SERVICE,
            'attempts': 2, 'public': False, 'sticky': True, 'resumable': True, 'gapTargetMs': 200,
        }],
        'services': [{
            'name': SERVICE, 'healthPath': '/healthz', 'maxConnections': 304,
            'runtime': {
                'slots': 13, 'kvCapacity': 700000, 'kvTokenBytes': 70272, 'linkMbps': 400000.0,
                'stride': 5, 'step_ms': 6.07, 'per_seq_ms': 0.482, 'context_per_k': 0.00976,
                'read_per_s': 46000.0, 'pairs_per_m': 0.7, 'chunk': 2048,
                'report_lag_ms': 200.0, 'loadsPerS': 4.0, 'loads_at_once': 6,
                'usual': {'prompt': 1076, 'answer': 116}, 'cachedPrefixes': 1, 'far_x': 2.5,
                'formMs': engines.FORM_SECONDS * 1000,
                'models': [{'name': MODEL, 'size': SIZE, 'share': 1.0, 'pace': 1.0,
                            'loadS': engines.LOAD_SECONDS, 'warmupS': engines.WARM_JOIN_SECONDS}],
            },
        }],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY]}],
    }


async def requester(record, nodes, numbers, stop):
    while not stop.is_set():
        number = next(numbers)
        node, name = nodes[number % len(nodes)], f'r{number:06}'
        headers = {'Host': HOST, 'Request-Id': name, 'Deadline-Ms': '6000', 'Model': MODEL,
                   'Token-Usage': '700,21', 'Prefix-Hash': '5c1e07a2:40,e4402b7d:660',
                   'Authorization': f'Bearer {KEY}'}
        record.write('sent', request=name, node=node.name)
        try:
            status, _headers, _body, _whole = await asyncio.wait_for(
                rig.call(node.frontend, 'POST', '/draft/2f', headers, b'part'), 8)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write('no-answer', request=name, why=type(error).__name__)
        else:
            record.write('answered', request=name, status=status)
        await asyncio.sleep(0.2)


async def cut(record, store, replicas):
    """Partition replicas from the store for a while; requests still reach them."""
    for replica in replicas:
        record.write('cut-from-store', replica=replica.name, group=replica.group.name)
        replica.publish = lambda: None
    await asyncio.sleep(LAPSE_SECONDS)
    for replica in replicas:
        store.drop('servers', replica.name)
        record.write('entry-lapses', replica=replica.name)
    await asyncio.sleep(CUT_SECONDS - LAPSE_SECONDS)
    for replica in replicas:
        # The next check-in, within 1.2 s, writes the entry again.
        del replica.publish
        record.write('cut-ends', replica=replica.name)


async def stop_and_start(node):
    """Stop a machine in order and start it again, as the platform does."""
    node.signal(signal.SIGTERM)
    await node.wait_ended()
    node.fields['bootstrap'] = False
    node.start()


async def until(condition, seconds, what):
    for _step in range(int(seconds / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise rig.CannotRun(f'{what} did not come')


async def scenario(record, folder, nodes, trouble):
    store = rig.Store(record)
    await store.start()
    fleet = engines.Fleet(record, store, SERVICE)
    for number, zone in ((1, 'east'), (2, 'east'), (3, 'north'), (4, 'north'), (5, 'west')):
        for member in range(SIZE):
            await fleet.add(f'i-{number}{member}', zone, f'{zone}-d0')
    store.put('op', 'config', configuration())
    for number, (zone, place) in enumerate(
        (('east', 1), ('north', 1), ('north', 2), ('west', 1))
    ):
        node = rig.Node(record, folder, f'edge-{zone}-{place}', zone, ZONES, store,
                        rig.host(1 + number))
        nodes.append(node)
        node.start()
    await asyncio.gather(*(node.wait_ready() for node in nodes))

    def open_groups(zone=''):
        return [
            replica.group for replica in fleet.replicas.values()
            if replica.group and replica.group.state == 'open'
            and replica.zone in {zone or replica.zone}
        ]

    await until(lambda: len(open_groups()) == 5, 25, 'the five groups')
    fleet.has_traffic = True
    stop = asyncio.Event()
    numbers = itertools.count()
    tasks = [asyncio.create_task(requester(record, nodes, numbers, stop)) for _ in range(4)]
    await asyncio.sleep(6)

    # One group of five: 3 of 15 replicas, a share of 0.20.
    members = [fleet.replicas[name] for name in open_groups('north')[0].members]
    if trouble:
        tasks.append(asyncio.create_task(cut(record, store, members)))
    await asyncio.sleep(FIRST_STOP_SECONDS)
    tasks.append(asyncio.create_task(stop_and_start(nodes[1])))
    await asyncio.sleep(STOP_GAP_SECONDS)
    tasks.append(asyncio.create_task(stop_and_start(nodes[2])))
    await asyncio.sleep(CUT_SECONDS + 8)
    stop.set()
    await asyncio.gather(*tasks)
    record.write('orders', all=fleet.orders)
    return fleet.two


rig.main(__file__, scenario)
