"""End-to-end tests with separate processes."""

import contextlib
import io
import os
import socket
import unittest

import curio
import msgspec

from cranecart.cli import main as cranecart
from cranecart.cli._apply import apply_change
from cranecart.cli._common import KEY_VARIABLE
from cranecart.config import compile_folder
from cranecart.http import Address, Request, Response, exchange
from cranecart.load_testing import (
    LoadCall,
    OutcomeKind,
    Profile,
    Summary,
    make_calls,
    run_load,
    send_call,
)
from cranecart.standins import read_record
from tests.lib.clusters import EXAMPLES, start_cluster
from tools.cluster_control import OPERATOR_KEY
from tools.local_cluster import LocalCluster

_KEY = 'demo-budapest'


class EndToEndTest(unittest.TestCase):
    """Requests of clients and operators to one cluster."""

    cluster: LocalCluster

    @classmethod
    def setUpClass(cls) -> None:
        """Start a cluster and wait until its replicas serve."""
        cls.cluster = start_cluster(cls)

    def test_load_is_answered(self) -> None:
        """Streams, plain responses and service calls get correct responses."""
        profile = Profile(
            api_keys=['demo-budapest', 'demo-gyor'],
            models=['nyelvi-szerver'],
            services=[('brigad-app', '/next'), ('brigad-app', '/confirm')],
        )
        calls = make_calls(profile, ['one', 'two'], 60, seed=3)
        balancer = self.cluster.control.balancer()
        outcomes = curio.run(run_load, balancer, calls, 30)
        summary = Summary.from_outcomes(
            outcomes,
            read_record(self.cluster.record),
        )
        self.assertEqual(summary.answered, 60)
        self.assertEqual(summary.violations, 0)

    def test_malformed_http_requests(self) -> None:
        """They get an error status, and nothing is forwarded."""
        before = self._start_count()
        for payload, status in (
            (b'nonsense\r\n\r\n', b'400'),
            (b'GET / HTTP/1.1\r\nhost: x\r\n\r\n' * 2, b'400'),
            (
                b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9999999\r\n\r\n',
                b'413',
            ),
            (b'GET / HTTP/1.1\r\nhost: x\r\nx: %b' % (b'y' * 40000), b'431'),
        ):
            with self.subTest(payload=payload[:20]):
                self.assertIn(status, self._send_raw(payload).split(b'\r\n')[0])
        self.assertEqual(self._start_count(), before)

    def test_unknown_key_and_forbidden_model(self) -> None:
        """An unknown key gets a 401, an inaccessible model a 404."""
        body = {'model': 'x', 'messages': [{'role': 'user', 'content': 'x'}]}
        self.assertEqual(self._post(body, 'wrong').status, 401)
        response = self._post(body, _KEY)
        self.assertEqual(response.status, 404)
        error = msgspec.json.decode(response.body)['error']
        self.assertEqual(error['execution'], 'not run')
        self.assertEqual(response.headers['x-request-id'], error['request_id'])

    def test_malformed_bodies(self) -> None:
        """Each gets a 400."""
        message = {'role': 'user', 'content': 'x'}
        good = {'model': 'nyelvi-szerver', 'messages': [message]}
        changes: tuple[dict[str, object], ...] = (
            {'messages': []},
            {'messages': 'x'},
            {'stream': 'yes'},
            {'max_tokens': 0},
            {'model': 5},
        )
        for change in changes:
            with self.subTest(change=change):
                response = self._post({**good, **change}, _KEY)
                self.assertEqual(response.status, 400)

    def test_same_key_runs_once(self) -> None:
        """Of concurrent duplicates of a call at two nodes only one runs."""
        call = LoadCall(
            key='same-key',
            api_key=_KEY,
            prompt='confirm patch 7',
            service='brigad-app',
            path='/confirm',
            repeatable=False,
        )
        outcomes = curio.run(self._send_to_both_nodes, call)
        kinds = {outcome.kind for outcome in outcomes}
        self.assertIn(OutcomeKind.ANSWERED, kinds)
        self.assertLessEqual(
            kinds,
            {OutcomeKind.ANSWERED, OutcomeKind.UNKNOWN},
        )
        events = read_record(self.cluster.record)
        runs = [event for event in events if event.get('key') == 'same-key']
        self.assertEqual(sum(event['event'] == 'start' for event in runs), 1)

    def test_conflicting_changes(self) -> None:
        """The second of two operators gets a conflict."""
        client = self.cluster.control.operator()
        declared = compile_folder(EXAMPLES / 'katyuszerviz')
        base = curio.run(client.declared).version
        change = curio.run(apply_change, client, declared, base, 'first')
        self.assertEqual(change.version, base + 1)
        with self.assertRaisesRegex(Exception, 'in force'):
            curio.run(apply_change, client, declared, base, 'second')

    def test_operator_commands(self) -> None:
        """Each command works against a running node."""
        address = f'--node_address={self.cluster.endpoints["node0"].operators}'
        folder = str(EXAMPLES / 'katyuszerviz')
        expected = (
            (('status',), 'duty placer/buda-terem'),
            (('plan', folder), 'against version'),
            (('apply', '--wait_seconds=15', folder), 'on every node'),
            (('history',), 'test'),
            (('rollback', '1'), 'is applied again'),
        )
        os.environ[KEY_VARIABLE] = OPERATOR_KEY
        for words, shown in expected:
            code, out = _run_command(*words, address)
            self.assertEqual(code, 0, out)
            self.assertIn(shown, out)
        os.environ.pop(KEY_VARIABLE)
        self.assertEqual(_run_command('status', address)[0], 1)

    def test_metrics(self) -> None:
        """They include requests and control traffic."""
        self._post({}, 'wrong')
        operators = self.cluster.endpoints['node0'].operators
        request = Request('GET', '/metrics')
        text = curio.run(exchange, operators, request, 5).body.decode()
        self.assertIn('cranecart_requests{outcome="unauthorized"}', text)
        self.assertIn('cranecart_first_token_ms_count', text)
        self.assertIn('cranecart_control{what="peer_bytes_sent"}', text)

    async def _send_to_both_nodes(self, call: LoadCall) -> list[object]:
        async with curio.TaskGroup(wait=all) as sending:
            for entry in self.cluster.endpoints.values():
                await sending.spawn(send_call, entry.clients, call)
        return sending.results

    def _post(self, body: object, key: str) -> Response:
        request = Request(
            'POST',
            '/v1/chat/completions',
            {'authorization': f'Bearer {key}'},
            msgspec.json.encode(body),
        )
        return curio.run(exchange, self._address(), request, 5)

    def _send_raw(self, payload: bytes) -> bytes:
        address = self._address()
        with socket.create_connection((address.host, address.port), 5) as sock:
            sock.sendall(payload)
            sock.settimeout(15)
            return sock.recv(65536)

    def _address(self) -> Address:
        return self.cluster.endpoints['node0'].clients

    def _start_count(self) -> int:
        events = read_record(self.cluster.record)
        return sum(event['event'] == 'start' for event in events)


def _run_command(*words: str) -> tuple[int, str]:
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = cranecart(words)
    return code, out.getvalue()
