"""After one domain has crashed, what a tenant asks is refused for good."""

import asyncio
import itertools
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import engines  # noqa: E402
import rig  # noqa: E402

HOST = 'desk.example'
KEYS = {'crews': 'n2ctnfzs989anu6wsjnb', 'others': 'anfqasnmgkcuyj8pjbvk'}
ZONES = ('east', 'north', 'west')
MODEL = 'daka510000'
SERVICE = 'huvo11a'
REPLICAS = 9
DOWN_SECONDS = 6.3
AFTER_SECONDS = 62.0
BOARDS = 12
TICK_SECONDS = 0.3


def configuration():
    return {
        'version': 7,
        'routes': [{
            'name': 'summary', 'host': HOST, 'pathPrefix': '/summary/', 'type': 'streaming',
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
        'tenants': [{'name': name, 'apiKeys': [key]} for name, key in KEYS.items()],
    }


class Requesters:
    """Requesters of two tenants; what became of their requests."""

    def __init__(self, record, nodes):
        self.record, self.nodes = record, nodes
        self.numbers = itertools.count()
        self.asked, self.served = Counter(), Counter()
        self.running = set()

    def start(self, tenant, body):
        task = asyncio.ensure_future(self._ask(tenant, body))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _ask(self, tenant, body):
        number = next(self.numbers)
        node, name = self.nodes[number % len(self.nodes)], f'r{number:06}'
        headers = {'Host': HOST, 'Request-Id': name, 'Deadline-Ms': '5000', 'Model': MODEL,
                   'Token-Usage': '700,28', 'Prefix-Hash': f'5c1e07a2:40,{body}:660',
                   'Authorization': f'Bearer {KEYS[tenant]}'}
        self.record.write('sent', request=name, node=node.name, tenant=tenant)
        self.asked[tenant] += 1
        try:
            status, answer, _body, _whole = await asyncio.wait_for(
                rig.call(node.frontend, 'POST', '/summary/2f', headers, body.encode()), 7)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
            self.record.write('no-answer', request=name, why=type(error).__name__)
            return
        self.served[tenant] += status == 200
        self.record.write('answered', request=name, status=status,
                          retry_after=answer.get('retry-after', '-'))

    async def run(self, seconds):
        """Every tick all boards of one tenant ask the same, the other its own."""
        until = self.record.now() + seconds
        while self.record.now() < until:
            for _board in range(BOARDS):
                self.start('crews', 'e4402b7d')
            for _requester in range(BOARDS):
                self.start('others', f'{next(self.numbers):08x}')
            await asyncio.sleep(TICK_SECONDS)


async def scenario(record, folder, nodes, trouble):
    store = rig.Store(record)
    await store.start()
    fleet = engines.Fleet(record, store, SERVICE)
    lives = itertools.count(1)

    async def add(staged=()):
        replica = await fleet.add(f'i-{next(lives):02}', 'east', 'east-d0')
        replica.staged = list(staged)
        replica.events, replica.event_seconds = 4, 0.06
        replica.publish()
        return replica

    for _replica in range(REPLICAS):
        await add()
    store.put('op', 'config', configuration())
    for number, zone in enumerate(ZONES):
        node = rig.Node(record, folder, f'edge-{zone}-1', zone, ZONES, store, rig.host(1 + number))
        nodes.append(node)
        node.start()
    await asyncio.gather(*(node.wait_ready() for node in nodes))

    def heads():
        return [replica for replica in fleet.replicas.values()
                if replica.group and replica.group.state == 'open']

    for _step in range(400):
        if len(heads()) == REPLICAS // 3:
            break
        await asyncio.sleep(0.05)
    else:
        raise rig.CannotRun('the groups did not open')
    fleet.has_traffic = True
    requesters = Requesters(record, nodes)
    await requesters.run(6)
    traffic = asyncio.ensure_future(requesters.run(AFTER_SECONDS + DOWN_SECONDS))
    await asyncio.sleep(TICK_SECONDS / 2)
    crashes = []
    if trouble:
        # All replicas of one domain crash, and start again.
        record.write('domain-crashes', domain='east-d0', heads=len(heads()))
        crashes = [asyncio.ensure_future(replica.crash()) for replica in list(fleet.replicas.values())]
        await asyncio.sleep(DOWN_SECONDS)
        for _replica in range(REPLICAS):
            await add([MODEL])
    await traffic
    await asyncio.gather(*crashes, *requesters.running)

    shares = {tenant: requesters.served[tenant] / requesters.asked[tenant] for tenant in KEYS}
    everybody = sum(requesters.served.values()) / sum(requesters.asked.values())
    record.write('served', everybody=round(everybody, 3),
                 **{tenant: round(share, 3) for tenant, share in shares.items()})
    print({tenant: round(share, 3) for tenant, share in shares.items()}, round(everybody, 3))
    return [f'tenant {tenant}: {share:.3f} of its requests are served, {everybody:.3f} of all'
            for tenant, share in shares.items() if share < everybody / 4]


rig.main(__file__, scenario)
