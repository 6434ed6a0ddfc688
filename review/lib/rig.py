"""Stand-ins and helpers for the cases of the review (standard library only).

They follow the users' pages: a store with rows, transactions, pages of 500 and
a feed; plain replicas; requesters; and nodes started as the deploy file says.
"""

import asyncio
import base64
import hashlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
PAGE_ROWS = 500
STORE_ANSWER_SECONDS = 0.004
# The bounds of katyu-router, a small deployment.
BOUNDS = {
    'contactMs': 3000,
    'drainMs': 2000,
    'graceS': 8,
    'configApplyMs': 2000,
    'retryBudgetRatio': 0.2,
    'retryWindowS': 10,
    'budgetSlack': 136,
    'stallMs': 4000,
    'recoverS': 12,
}
REASONS = {
    200: 'OK', 202: 'Accepted', 404: 'Not Found', 410: 'Gone',
    412: 'Precondition Failed', 421: 'Misdirected Request', 503: 'Unavailable',
}


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, file):
        self.started = time.monotonic()
        self._file = open(file, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now():9.3f} {event} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return first line, headers and body of a message, None at its end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b'\r\n', b'\n'):
            break
        if not header:
            raise ConnectionError('ended within a head')
        name, _, value = header.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'0', 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return line.decode('latin-1').strip(), headers, body


def message(status, body=b'', headers=()):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Store:
    """The platform's store, in memory."""

    def __init__(self, record):
        self.record = record
        self.version = 1
        self.rows = {}
        self.log = []
        self.changed = asyncio.Event()
        # Called after a page was answered: (table, caller's port, truncated).
        self.on_page = None
        self.address = None

    async def start(self, host='127.0.0.1'):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value, part=''):
        self.version += 1
        self._set((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())
        self._wake()
        return self.version

    def drop(self, table, key, part=''):
        self.version += 1
        self.rows.pop((table, part, key), None)
        self.log.append((self.version, (table, part, key)))
        self._wake()
        return self.version

    def _set(self, key, value):
        self.rows[key] = (self.version, value)
        self.log.append((self.version, key))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key):
        row = {'tableName': key[0], 'part': key[1], 'keyFile': key[2]}
        if key not in self.rows:
            return {**row, 'schemaVersion': self.version, 'deleted': True}
        version, value = self.rows[key]
        return {**row, 'schemaVersion': version, 'value': value}

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                line, _headers, body = request
                status, answer, after = await self._answer(line, body)
                answer = {**answer, 'nowMs': int(time.monotonic() * 1000)}
                writer.write(message(status, json.dumps(answer).encode(),
                                     [('Content-Type', 'application/json')]))
                await writer.drain()
                if after is not None:
                    after()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _answer(self, line, body):
        _method, target, _ = line.split(' ')
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        if url.path == '/rows-tx':
            return (*self._commit(json.loads(body)), None)
        if url.path == '/rows-get':
            return self._read(query)
        if url.path == '/rows-feed':
            return (*(await self._feed(query)), None)
        return 404, {}, None

    def _commit(self, body):
        def key(entry):
            return entry['tableName'], entry.get('part', ''), entry['keyFile']

        for check in body.get('expectedRevision', ()):
            if self.rows.get(key(check), (0, ''))[0] != check['schemaVersion']:
                rows = [self._row(key(entry)) for entry in body['expectedRevision']]
                return 412, {'rows': rows, 'schemaVersion': self.version}
        self.version += 1
        for put in body.get('putCount', ()):
            self._set(key(put), put['value'])
        for entry in body.get('remove', ()):
            self.rows.pop(key(entry), None)
            self.log.append((self.version, key(entry)))
        self._wake()
        return 200, {'schemaVersion': self.version}

    def _read(self, query):
        table, part = query['tableName'], query.get('part', '')
        limit = min(PAGE_ROWS, int(query.get('limit', PAGE_ROWS)))
        first = query.get('fromVersion', '')
        keys = sorted(
            (key for key in self.rows if key[:2] == (table, part) and key[2] >= first),
            key=lambda key: key[2].encode(),
        )
        page = [self._row(key) for key in keys[:limit]]
        truncated = len(keys) > limit
        answer = {'rows': page, 'truncated': truncated, 'schemaVersion': self.version}
        after = None
        if self.on_page is not None:
            hook = self.on_page
            after = lambda: hook(table, first, truncated)
        return 200, answer, after

    async def _feed(self, query):
        since, table = int(query['sinceRevision']), query['tableName']
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            changed = self.changed
            keys = dict.fromkeys(key for at, key in self.log if at > since and key[0] == table)
            left = until - time.monotonic()
            if keys or left <= 0:
                rows = [self._row(key) for key in keys]
                return 200, {'rows': rows, 'schemaVersion': self.version}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


class Replica:
    """A sound replica of a plain service.

    It handles ``slots`` requests at once, queues the others, and turns away
    those that name another replica.
    """

    def __init__(self, record, name, service, zone, slots=6, work_seconds=0.02):
        self.record = record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.work_seconds = work_seconds
        self.semaphore = asyncio.Semaphore(slots)
        self.arrivals = []
        self.is_noted = True
        self.writers = set()

    async def start(self, host='127.0.0.1'):
        self.server = await asyncio.start_server(self._serve, host, 0, backlog=64)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    def entry(self, state='ready'):
        return {
            'service': self.service, 'address': self.address, 'zone': self.zone,
            'version': 1, 'slots': self.slots, 'state': state,
            'coldRemainingMs': 0, 'sequence': 0,
        }

    async def stop(self):
        """End in order: no new channels, the requests at work are finished."""
        self.server.close()
        for _slot in range(self.slots):
            await self.semaphore.acquire()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
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
        name = headers.get('request-id', '')
        if headers.get('expect-replica', self.name) != self.name:
            self.record.write('turned-away', replica=self.name, request=name)
            writer.write(message(421, b'', [('Request-Id', name), ('Not-Executed', '1')]))
            await writer.drain()
            return
        self.arrivals.append((self.record.now(), name))
        if self.is_noted:
            self.record.write('arrives', replica=self.name, request=name, line=line.replace(' ', '_'))
        async with self.semaphore:
            await asyncio.sleep(self.work_seconds)
            answer = f'{self.name} answers {name}'.encode()
            signature = hashlib.sha256(answer).hexdigest()[:16]
            writer.write(message(200, answer, [('Request-Id', name), ('Replica-Signature', signature)]))
            await writer.drain()


def host(number):
    """Return a loopback address that other runs of a case do not use."""
    high, low = divmod(os.getpid(), 250)
    return f'127.{10 + high % 200}.{1 + low}.{number}'


def free_port(host):
    sock = socket.socket()
    sock.bind((host, 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


class Node:
    """A node, started by the command of the deploy file."""

    def __init__(self, record, folder, name, zone, zones, store, host, bootstrap=True):
        self.record, self.folder, self.name = record, folder, name
        self.frontend = f'{host}:{free_port(host)}'
        self.ready = f'{host}:{free_port(host)}'
        self.fields = {
            'nodeName': name, 'zone': zone, 'ip': host,
            'zones': {each: 'region' for each in zones},
            'listen': {'frontend': self.frontend, 'ready': self.ready},
            'internalPortRange': [free_port(host), free_port(host)],
            'platform': {'address': store.address},
            'bootstrap': bootstrap,
            'bounds': BOUNDS,
            'limits': {'maxFds': 4100, 'memoryMb': 300, 'linkMbps': 1000.0},
            'contracts': ['base', 'drain', 'config', 'cost', 'retry', 'recover',
                          'engine', 'stream', 'tenants', 'platform', 'gangs'],
        }
        self.process = None
        self.started_at = None

    def start(self):
        settings = self.folder / f'{self.name}.json'
        settings.write_text(render((REPOSITORY / 'deploy/node.json').read_text(), self.fields))
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment |= {
            'PYTHONPATH': str(REPOSITORY / 'target/deps'),
            'CRANECART_NODE_FILE': str(settings),
            'CRANECART_CLIENT_ADDRESS': self.frontend,
        }
        self.log = self.folder / f'{self.name}.log'
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'cranecart', 'serve'], cwd=REPOSITORY,
                env=environment, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
            )
        self.started_at = self.record.now()
        self.record.write('node-starts', node=self.name, pid=self.process.pid)

    def signal(self, number):
        self.record.write('signal', node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.record.write('node-ended', node=self.name, code=self.process.returncode)
        return self.process.returncode

    async def is_ready(self):
        try:
            status, _headers, _body, _whole = await asyncio.wait_for(
                call(self.ready, 'GET', '/readyz', {}), 1)
        except (OSError, TimeoutError, ConnectionError):
            return False
        return status == 200

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                self.record.write('node-ready', node=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


def render(template, fields):
    """Fill a settings template as DEPLOY.md says, as far as it is used here."""
    def look_up(path):
        value = fields
        for name in path.split('.'):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match):
        entries = list(look_up(match.group(1)) or ())
        parts = []
        for index, entry in enumerate(entries):
            text = match.group(2).replace('{{@}}', str(entry))
            parts.append(text.replace('{{,}}', ',' if index < len(entries) - 1 else ''))
        return ''.join(parts)

    def gap(match):
        value = look_up(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return '' if value is None else str(value)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.DOTALL)
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', gap, text)


async def call(address, method, path, headers, body=b''):
    """Send one request on a new channel; return status, headers, body, whole."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {headers.get("Host", address)}']
        lines += [f'{name}: {value}' for name, value in headers.items() if name != 'Host']
        if body or method not in ('GET', 'HEAD'):
            lines.append(f'Content-Length: {len(body)}')
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            raise ConnectionError('closed without an answer')
        line, answer_headers, answer_body = answer
        return int(line.split(' ')[1]), answer_headers, answer_body, True
    finally:
        writer.close()


def main(file, scenario):
    """Run a scenario; exit with 1 if the rule was broken, 0 if not, 2 if unable."""
    record = Record(Path(file).resolve().parent / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write('case', trouble=int(trouble))
    nodes = []
    code = 2
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(
                asyncio.wait_for(scenario(record, Path(folder), nodes, trouble), 110))
    except Exception as error:
        record.write('cannot-run', why=repr(error).replace(' ', '_'))
        print(f'cannot run: {error!r}')
    else:
        for line in broken:
            record.write('broken', what=line.replace(' ', '_'))
            print(line)
        print('rule broken' if broken else 'rule held')
        code = 1 if broken else 0
    finally:
        for node in nodes:
            node.end()
    sys.exit(code)
