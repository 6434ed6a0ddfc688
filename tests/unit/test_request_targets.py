"""Requests are routed by the path that is sent on, in each form of a target."""

import socket
import unittest
from types import MappingProxyType

import curio

from cranecart.forwarding._admit import find_route
from cranecart.http import (
    Address,
    HttpServer,
    Request,
    Responder,
    Response,
)
from cranecart.models import Route, RouteConfig, Share
from cranecart.platform import PlatformCallTranslator

_HOST = 'desk.example'
_OTHER_HOST = 'other.example'
# The route of each target, and the target that is sent on.
_TARGETS = MappingProxyType(
    {
        '/print/2f': ('print', '/print/2f'),
        '/print/2f?x=//y/': ('print', '/print/2f?x=//y/'),
        '//x/print/2f': ('', '//x/print/2f'),
        '//print/2f': ('', '//print/2f'),
        '/x//print/2f': ('', '/x//print/2f'),
        '/print//2f': ('print', '/print//2f'),
        '/print/../draft/2f': ('print', '/print/../draft/2f'),
        '/./print/2f': ('', '/./print/2f'),
        '/%70rint/2f': ('', '/%70rint/2f'),
        '/print/%2e%2e/draft/2f': ('print', '/print/%2e%2e/draft/2f'),
        '/print%2f2f': ('', '/print%2f2f'),
        'http://desk.example/print/2f': ('print', '/print/2f'),
        'HTTP://desk.example:80/print/2f?x': ('print', '/print/2f?x'),
        'http://desk.example//x/print/': ('', '//x/print/'),
        'http://desk.example': ('', '/'),
        'http://desk.example?x': ('', '/?x'),
        'http://other.example/print/2f': ('other', '/print/2f'),
        'ftp://desk.example/print/2f': ('', 'ftp://desk.example/print/2f'),
        'print/2f': ('', 'print/2f'),
        '?x=/print/': ('', '?x=/print/'),
        '*': ('', '*'),
        'desk.example:80': ('', 'desk.example:80'),
    }
)
_INVALID_TARGETS = ('http:///print/2f', 'http://me@desk.example/print/2f')


def _route(name: str, host: str, prefix: str) -> Route:
    return Route(
        name,
        host,
        prefix,
        shares=(Share('s', 1),),
        timeout_seconds=1,
        objective_seconds=1,
        repeatable=True,
        streaming=False,
        resumable=False,
        pause_seconds=0,
        rank=1,
        attempts=1,
        public=False,
    )


_CONFIG = RouteConfig(
    1,
    (
        _route('print', _HOST, '/print/'),
        _route('draft', _HOST, '/draft/'),
        _route('other', _OTHER_HOST, '/print/'),
    ),
    {},
)


class RequestTargetsTest(unittest.TestCase):
    """Each form of a target, as a server receives it."""

    def test_request_run_by_the_service_of_another_path(self) -> None:
        """The route is that of the target that is sent on, as it is sent."""
        for target, expected in _TARGETS.items():
            with self.subTest(target=target):
                request = curio.run(_receive, target)
                facts = PlatformCallTranslator().read_request(request)
                route = find_route(request, facts, _CONFIG)
                name = '' if route is None else route.name
                self.assertEqual((name, request.target), expected)
                sent_hosts = [
                    text
                    for name, text in request.header_lines
                    if name == 'host'
                ]
                self.assertEqual(sent_hosts, [facts.host])

    def test_target_with_an_invalid_authority_routed(self) -> None:
        """An absolute form without a host, or with credentials, is an error."""
        for target in _INVALID_TARGETS:
            with self.subTest(target=target):
                self.assertEqual(curio.run(_receive, target).method, 'NONE')


async def _receive(target: str) -> Request:
    """Return a request as a server receives it; 'NONE' if it is refused."""
    received = [Request('NONE', '')]

    async def handle(request: Request, responder: Responder) -> None:  # noqa: WPS430
        received.append(request)
        await responder.send(Response(200))

    server = HttpServer(Address('127.0.0.1', 0), handle)
    server.open()
    serving = await curio.spawn(server.run)
    sock = curio.io.Socket(socket.socket())
    async with sock:
        await sock.connect((server.address.host, server.address.port))
        head = f'GET {target} HTTP/1.1\r\nHost: {_HOST}\r\n\r\n'
        await sock.sendall(head.encode())
        await sock.recv(1000)
    await serving.cancel()
    return received[-1]
