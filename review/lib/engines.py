"""A stand-in of model replicas, as PROTOCOL.md describes them.

The words here are those of the users' pages: a group of replicas, its head, and
the orders ``join``, ``open``, ``close``, ``leave`` and ``phase``.
"""

import asyncio
import hashlib
import json

import rig

HEARTBEAT_SECONDS = 1.2
STALL_SECONDS = rig.BOUNDS['stallMs'] / 1000
SAME_MODEL_JOIN_SECONDS = 0.2
WARM_JOIN_SECONDS = 1.1
LOAD_SECONDS = 12.0
FORM_SECONDS = 0.3
# Loads before the first request take a tenth of the time.
EARLY_LOAD_FACTOR = 0.1
BUSY_STATES = ('open', 'closing')


class Group:
    """What one replica knows of the group that it is in."""

    def __init__(self, order):
        self.name, self.epoch = order['group'], order['epoch']
        self.model, self.members = order['model'], tuple(order['members'])
        self.state = 'joining'

    def is_same(self, order):
        return (self.name, self.epoch) == (order['group'], order['epoch'])


class Fleet:
    """All model replicas by id, and the orders that are to be applied late.

    ``late`` decides: it returns after how many seconds an order is carried out
    that gets no answer, or None for one that is answered.
    """

    def __init__(self, record, store, service, late=lambda _replica, _order: None):
        self.record, self.store, self.service, self.late = record, store, service, late
        self.replicas = {}
        self.has_traffic = False
        self.orders = self.orders_late = 0
        # Joins that a replica accepted while the head of its group was serving.
        self.two = []

    async def add(self, name, zone, domain):
        replica = Engine(self, name, zone, domain)
        await replica.start()
        self.replicas[name] = replica
        self.record.write('replica-added', replica=name)
        replica.publish()
        return replica

    def head_of(self, group):
        head = self.replicas.get(group.members[0])
        if head is None or head.group is None:
            return None
        if (head.group.name, head.group.epoch) != (group.name, group.epoch):
            return None
        return head


class Engine:
    """One model replica."""

    def __init__(self, fleet, name, zone, domain):
        self.fleet, self.record = fleet, fleet.record
        self.name, self.zone, self.domain = name, zone, domain
        self.state, self.sequence = 'ready', 0
        self.group = None
        self.fence = self.epoch = 0
        self.loaded, self.staged = '', []
        self.active = 0
        self.tasks = set()
        self.writers = set()
        self.events, self.event_seconds = 3, 0.03

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        self._spawn(self._beat())

    def publish(self):
        """Write the entry: at once after a change, and about every heartbeat."""
        self.sequence += 1
        entry = {
            'service': self.fleet.service, 'address': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': 13, 'state': self.state, 'coldRemainingMs': 0,
            'phase': 'unified', 'sequence': self.sequence, 'domain': self.domain,
            'models': [{'name': self.loaded, 'version': 1, 'loras': []}] if self.loaded else [],
            'staged': self.staged,
        }
        if self.group is not None:
            entry['group'] = {
                'name': self.group.name, 'epoch': self.group.epoch,
                'rank': self.group.members.index(self.name), 'state': self.group.state,
            }
        self.fleet.store.put('servers', self.name, entry)

    async def drain(self):
        """A planned end: say so, serve on for drainMs and a little, and end."""
        self.state = 'draining'
        self.publish()
        self.record.write('draining', replica=self.name)
        await asyncio.sleep(rig.BOUNDS['drainMs'] / 1000 + 1.5)
        while self.active:
            await asyncio.sleep(0.05)
        self.end()

    async def crash(self):
        """Die without a word; the entry goes after three silent heartbeats."""
        self.server.close()
        self.group = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.fleet.replicas.pop(self.name, None)
        self.record.write('replica-crashed', replica=self.name)
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.fleet.store.drop('servers', self.name)

    def end(self):
        self.server.close()
        self.group = None
        for task in list(self.tasks):
            task.cancel()
        self.fleet.replicas.pop(self.name, None)
        self.fleet.store.drop('servers', self.name)
        self.record.write('replica-ended', replica=self.name)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.publish()

    def _set(self, state):
        self.group.state = state
        self.record.write('state', replica=self.name, group=self.group.name, state=state)
        self.publish()

    # Orders

    def apply(self, order, how):
        """Carry an order out; return the status."""
        status = self._apply(order)
        self.record.write('order', replica=self.name, operation=order['operation'],
                          group=order.get('group', '-'), epoch=order.get('epoch', '-'),
                          how=how, status=status)
        return status

    def _apply(self, order):
        fence = order.get('fencingToken', self.fence)
        if fence < self.fence:
            return 412
        self.fence = fence
        match order['operation']:
            case 'join':
                return self._join(order)
            case 'phase':
                self.staged = [order['model']]
                self.publish()
                return 202
        if self.group is None or not self.group.is_same(order):
            return 409
        match order['operation']:
            case 'open':
                return self._open()
            case 'close':
                return self._close()
            case 'leave':
                self.group = None
                self.publish()
                return 200
        return 400

    def _join(self, order):
        if order['epoch'] < self.epoch:
            return 412
        group = self.group
        if group is not None and group.is_same(order):
            if group.members != tuple(order['members']):
                return 412
            return 200
        if group is not None:
            head = self.fleet.head_of(group)
            if head is not None and head.group.state in BUSY_STATES:
                text = (f'{self.name} accepts a join of {order["group"]} while the head '
                        f'{head.name} of its group {group.name} is {head.group.state}')
                self.fleet.two.append(text)
                self.record.write('two', what_=text.replace(' ', '_'))
        self.epoch = order['epoch']
        self.group = Group(order)
        self._spawn(self._get_ready(self.group))
        self.publish()
        return 202

    async def _get_ready(self, group):
        if group.model == self.loaded:
            seconds = SAME_MODEL_JOIN_SECONDS
        elif group.model in self.staged:
            seconds = WARM_JOIN_SECONDS
        else:
            seconds = LOAD_SECONDS * (1 if self.fleet.has_traffic else EARLY_LOAD_FACTOR)
        await asyncio.sleep(seconds)
        if self.group is group and group.state == 'joining':
            self.loaded, self.staged = group.model, [group.model]
            self._set('ready')

    def _open(self):
        if self.group.state == 'open':
            return 200
        if self.group.state != 'ready' or self.group.members[0] != self.name:
            return 409
        self._spawn(self._serve_group(self.group))
        return 202

    async def _serve_group(self, group):
        await asyncio.sleep(FORM_SECONDS)
        if self.group is not group or group.state != 'ready':
            return
        self._set('open')
        missing_for = 0.0
        while self.group is group and group.state in BUSY_STATES:
            await asyncio.sleep(0.05)
            members = map(self.fleet.replicas.get, group.members)
            is_whole = all(
                member is not None and member.group is not None
                and (member.group.name, member.group.epoch) == (group.name, group.epoch)
                for member in members
            )
            missing_for = 0.0 if is_whole else missing_for + 0.05
            if missing_for >= STALL_SECONDS and self.group is group:
                self._set('broken')

    def _close(self):
        if self.group.state == 'ready':
            return 200
        if self.group.state not in BUSY_STATES:
            return 409
        if self.group.state == 'open':
            self._set('closing')
            self._spawn(self._finish(self.group))
        return 202

    async def _finish(self, group):
        while self.active:
            await asyncio.sleep(0.02)
        if self.group is group and group.state == 'closing':
            self._set('ready')

    # Requests

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await rig.read_message(reader)
                if request is None:
                    return
                await self._handle(request, writer)
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        line, headers, body = request
        method, target, _ = line.split(' ')
        name = headers.get('request-id', '')
        if headers.get('expect-replica', self.name) != self.name:
            writer.write(rig.message(421, b'', [('Request-Id', name), ('Not-Executed', '1')]))
        elif target == '/order':
            await self._take_order(json.loads(body), writer)
        elif self.group is None or self.group.members[0] != self.name:
            writer.write(rig.message(421, b'', [('Request-Id', name), ('Not-Executed', '1')]))
        elif self.group.state != 'open':
            writer.write(rig.message(503, b'', [('Request-Id', name), ('Not-Executed', '1')]))
        else:
            await self._stream(name, writer)
        await writer.drain()

    async def _take_order(self, order, writer):
        self.fleet.orders += 1
        seconds = self.fleet.late(self, order)
        if seconds is None:
            status = self.apply(order, 'at-once')
            writer.write(rig.message(status, b'{}', [('Content-Type', 'application/json')]))
            return
        self.fleet.orders_late += 1
        self.record.write('order-unanswered', replica=self.name, operation=order['operation'],
                          group=order.get('group', '-'), late_by=seconds)
        asyncio.get_running_loop().call_later(seconds, self._apply_late, order)
        # The channel on which an answer is lost says nothing more.
        await asyncio.sleep(60)

    def _apply_late(self, order):
        if self.fleet.replicas.get(self.name) is self:
            self.apply(order, 'late')

    async def _stream(self, name, writer):
        self.active += 1
        self.record.write('runs', replica=self.name, group=self.group.name, request=name)
        try:
            signature = hashlib.sha256(name.encode()).hexdigest()[:16]
            head = (f'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {name}\r\n'
                    f'Replica-Signature: {signature}\r\nWeight-Versions: 1\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n')
            writer.write(head.encode())
            for number in range(1, self.events + 1):
                event = f'id: {number}\ndata: {name}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.event_seconds)
            writer.write(b'0\r\n\r\n')
        finally:
            self.active -= 1
