"""A node that starts misses that a replica has left, and sends to it on."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import rig  # noqa: E402

HOST = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'
ZONES = ('east', 'north', 'west')
SERVES_ON_SECONDS = 8.0
# A request that a node took in time may still be on its way.
SLACK_SECONDS = 0.2


def configuration():
    def route(name, prefix, kind, service):
        return {
            'name': name, 'host': HOST, 'pathPrefix': prefix, 'type': kind,
            'timeoutMs': 4000, 'sloMs': 400, 'priority': 2, 'attempts': 2,
            'service': service,
        }

    return {
        'version': 7,
        'routes': [
            route('print', '/print/', 'unsafe', 'library'),
            route('draft', '/draft/', 'safe', 'drafts'),
        ],
        'services': [{'name': 'library'}, {'name': 'drafts'}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 10000, 'idleTimeoutMs': 60000},
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY]}],
    }


async def requester(record, nodes, numbers, stop):
    """Send one request after the other, each on a new channel."""
    while not stop.is_set():
        number = next(numbers)
        node = nodes[number % len(nodes)]
        name = f'r{number:06}'
        if node.process.poll() is None and node.is_in_use:
            headers = {'Host': HOST, 'Request-Id': name, 'Deadline-Ms': '4000',
                       'Authorization': f'Bearer {KEY}'}
            record.write('sent', request=name, node=node.name)
            node.taken[name] = record.now()
            try:
                status, _headers, _body, _whole = await asyncio.wait_for(
                    rig.call(node.frontend, 'POST', '/print/2f', headers, b'part'), 6)
            except (OSError, TimeoutError, ConnectionError) as error:
                record.write('no-answer', request=name, why=type(error).__name__)
            else:
                record.write('answered', request=name, status=status)
        await asyncio.sleep(0.05)


async def scenario(record, folder, nodes, trouble):
    store = rig.Store(record)
    await store.start()
    library = [rig.Replica(record, f'i-0{number}', 'library', zone)
               for number, zone in enumerate(ZONES)]
    drafts = [rig.Replica(record, f'i-1{number:04}', 'drafts', ZONES[number % 3])
              for number in range(510)]
    for replica in (*library, *drafts):
        await replica.start()
        store.put('servers', replica.name, replica.entry())
    store.put('op', 'config', configuration())
    for number, zone in enumerate(ZONES):
        node = rig.Node(record, folder, f'edge-{zone}-1', zone, ZONES, store, rig.host(1 + number))
        node.taken, node.is_in_use = {}, True
        nodes.append(node)
        node.start()
    await asyncio.gather(*(node.wait_ready() for node in nodes))
    stop = asyncio.Event()
    numbers = itertools.count()
    tasks = [asyncio.create_task(requester(record, nodes, numbers, stop)) for _ in range(6)]
    await asyncio.sleep(4)

    leaving, restarted = library[0], nodes[0]
    gone = asyncio.Event()

    def leave():
        """The store takes the end of the replica's entry: this is the ack."""
        leaving.gone_at = record.now()
        record.write('entry-goes', replica=leaving.name, version=store.drop('servers', leaving.name))
        gone.set()

    if trouble:
        # One machine is stopped and started again, as in a rolling restart.
        restarted.is_in_use = False
        restarted.signal(rig.signal.SIGTERM)
        await restarted.wait_ended()
        restarted.fields['bootstrap'] = False

        def on_page(table, first, truncated):
            if table == 'servers' and truncated and not gone.is_set():
                record.write('page-answered', table=table, first=first or '-', truncated=truncated)
                leave()

        store.on_page = on_page
        restarted.start()
        await asyncio.wait_for(gone.wait(), 15)
        await restarted.wait_ready()
        restarted.is_in_use = True
    else:
        leave()
    await asyncio.sleep(SERVES_ON_SECONDS)
    record.write('replica-ends', replica=leaving.name)
    ended_at = record.now()
    await leaving.stop()
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*tasks)

    contact = rig.BOUNDS['contactMs'] / 1000
    drain = rig.BOUNDS['drainMs'] / 1000
    senders = {name: node for node in nodes for name in node.taken}
    late = []
    for arrived_at, name in leaving.arrivals:
        node = senders[name]
        in_touch = node.taken[name] - node.started_at > contact
        if in_touch and drain + SLACK_SECONDS < arrived_at - leaving.gone_at:
            late.append(f'{name} reaches {leaving.name} from {node.name} '
                        f'{arrived_at - leaving.gone_at:.3f} s after the ack')
    record.write('late', requests=len(late), ended_at=round(ended_at, 3))
    return late


rig.main(__file__, scenario)
