"""A replica that serves as a head again accepts a join of another group."""

import asyncio
import itertools
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
# The window of the disruption, and by how much an order is late at most.
LATE_FOR_SECONDS = 5.5
LATEST_SECONDS = 12.0


def configuration():
    return {
        'version': 7,
        'routes': [{
            'name': 'draft', 'host': HOST, 'pathPrefix': '/draft/', 'type': 'streaming',
            'timeoutMs': 5000, 'sloMs': 200, 'priority': 1, 'service': SERVICE,
            'attempts': 2, 'public': False, 'sticky': True, 'resumable': True, 'gapTargetMs': 200,
        }],
        'services': [{
            'name': SERVICE, 'healthPath': '/healthz', 'maxConnections': 474,
            'runtime': {
                'slots': 13, 'kvCapacity': 795000, 'kvTokenBytes': 655360, 'linkMbps': 400000.0,
                'stride': 7, 'step_ms': 5.95, 'per_seq_ms': 0.089, 'context_per_k': 0.01626,
                'read_per_s': 50700.0, 'pairs_per_m': 0.368, 'chunk': 2048,
                'report_lag_ms': 200.0, 'loadsPerS': 4.5, 'loads_at_once': 6,
                'usual': {'prompt': 1115, 'answer': 178}, 'cachedPrefixes': 1, 'far_x': 2.5,
                'formMs': engines.FORM_SECONDS * 1000,
                'models': [{'name': MODEL, 'size': 3, 'share': 1.0, 'pace': 1.0,
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
        headers = {'Host': HOST, 'Request-Id': name, 'Deadline-Ms': '5000', 'Model': MODEL,
                   'Token-Usage': '700,21', 'Prefix-Hash': '5c1e07a2:40,e4402b7d:660',
                   'Authorization': f'Bearer {KEY}'}
        record.write('sent', request=name, node=node.name)
        try:
            status, _headers, _body, _whole = await asyncio.wait_for(
                rig.call(node.frontend, 'POST', '/draft/2f', headers, b'part'), 7)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write('no-answer', request=name, why=type(error).__name__)
        else:
            record.write('answered', request=name, status=status)
        await asyncio.sleep(0.2)


class LateOrders:
    """Leaves the first join of a head and the first open unanswered."""

    def __init__(self, record):
        self.record, self.begins_at = record, None
        self.apply_at, self.done = {}, set()

    def __call__(self, replica, order):
        now = self.record.now()
        if self.begins_at is None or not 0 <= now - self.begins_at < LATE_FOR_SECONDS:
            return None
        operation = order['operation']
        if operation in self.done or operation not in self.apply_at:
            return None
        if operation == 'join' and order['members'][0] != replica.name:
            return None
        self.done.add(operation)
        return min(LATEST_SECONDS - 0.1, self.apply_at[operation] - now)


async def until(condition, seconds, what):
    for _step in range(int(seconds / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise rig.CannotRun(f'{what} did not come')


async def scenario(record, folder, nodes, trouble):
    store = rig.Store(record)
    await store.start()
    late = LateOrders(record)
    fleet = engines.Fleet(record, store, SERVICE, late)
    for number in (1, 2, 3):
        await fleet.add(f'i-{number}', 'east', 'east-d0')
    # Two groups of another zone, so that one replica is a small share.
    for number in range(11, 17):
        await fleet.add(f'i-{number}', 'north', 'north-d0')
    store.put('op', 'config', configuration())
    for number, zone in enumerate(ZONES):
        node = rig.Node(record, folder, f'edge-{zone}-1', zone, ZONES, store, rig.host(1 + number))
        nodes.append(node)
        node.start()
    await asyncio.gather(*(node.wait_ready() for node in nodes))

    def are_open():
        return sum(replica.group is not None and replica.group.state == 'open'
                   for replica in fleet.replicas.values()) == 3

    await until(are_open, 20, 'the first groups')
    fleet.has_traffic = True
    stop = asyncio.Event()
    numbers = itertools.count()
    tasks = [asyncio.create_task(requester(record, nodes, numbers, stop)) for _ in range(2)]
    await asyncio.sleep(6)

    # An empty replica is added, and another one drains: planned work.
    added = await fleet.add('i-4', 'east', 'east-d0')
    added.loaded, added.staged = MODEL, [MODEL]
    added.publish()
    await asyncio.sleep(2)
    started = record.now()
    if trouble:
        late.begins_at = started
        late.apply_at = {'join': started + 10.0, 'open': started + 10.8}
        record.write('orders-late', begins=round(started, 3))
    drains = [asyncio.create_task(fleet.replicas['i-3'].drain())]

    def open_group():
        return next((replica.group for replica in fleet.replicas.values()
                     if replica.group and 'i-4' in replica.group.members
                     and replica.group.state == 'open'), None)

    await until(open_group, 8, 'the second group')
    members = open_group().members
    await asyncio.sleep(0.5)
    # A member of it that is not its head is taken away.
    drains.append(asyncio.create_task(fleet.replicas[members[-1]].drain()))
    await asyncio.sleep(max(0, started + 11.4 - record.now()))
    # An empty replica is added.
    last = await fleet.add('i-5', 'east', 'east-d0')
    last.loaded, last.staged = MODEL, [MODEL]
    last.publish()
    await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(*tasks, *drains)
    record.write('orders', all=fleet.orders, late=fleet.orders_late)
    return fleet.two


rig.main(__file__, scenario)
