"""Run the whole system as separate processes on loopback addresses."""

import contextlib
import hashlib
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import attrs
import msgspec

from cranecart.http import Address
from cranecart.load_testing import NodeEndpoints
from cranecart.standins import EventRecord
from tools.cluster_control import OPERATOR_KEY, ClusterControl, wait_until
from tools.processes import Addresses, Process

_OPERATOR_SHA256 = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()


@attrs.frozen(kw_only=True)
class ClusterOptions:
    """Size, flags and settings of a local cluster."""

    domains: Sequence[str]
    nodes: int = 3
    engines_per_domain: int = 5
    service: str = ''
    services_per_domain: int = 1
    engine_flags: Sequence[str] = ()
    platform_flags: Sequence[str] = ()
    service_flags: Sequence[str] = ()
    proxied: frozenset[str] = frozenset()
    settings: Mapping[str, Any] = attrs.field(factory=dict)


class LocalCluster:
    """A platform, targets and nodes; stops all processes on exit."""

    def __init__(self, folder: Path, options: ClusterOptions) -> None:
        """Store the options; the context manager starts the processes."""
        self.folder = folder
        self.options = options
        self.record = folder / 'record.jsonl'
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, Address] = {}
        self.proxy_controls: dict[str, Address] = {}
        self.endpoints: dict[str, NodeEndpoints] = {}
        self.control = ClusterControl(
            self.addresses,
            self.proxy_controls,
            self.endpoints,
        )
        self._addresses = Addresses()
        self._settings: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> Self:
        """Start all processes."""
        try:
            self._start_all()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    def stop(self) -> None:
        """Kill all running processes, including paused ones."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self._addresses.release()

    def reserve(self) -> Address:
        """Return an unused address."""
        return self._addresses.take()

    def kill(self, name: str) -> None:
        """Kill a process and record its loss."""
        self.processes[name].kill()
        EventRecord.from_path(name, str(self.record)).write('lost')

    def pause(self, name: str) -> None:
        """Suspend a process and record it."""
        self.processes[name].pause()
        EventRecord.from_path(name, str(self.record)).write('paused')

    def resume(self, name: str) -> None:
        """Record the resumption of a process and resume it."""
        EventRecord.from_path(name, str(self.record)).write('resumed')
        self.processes[name].resume()

    def start_engine(
        self,
        name: str,
        domain: str,
        extra_flags: Sequence[str] = (),
    ) -> None:
        """Start an engine instance and register it."""
        self._start_standin(
            name,
            'engine',
            [
                f'--instance={name}',
                f'--failure_domain={domain}',
                f'--fabric_domain={domain}-f0',
                f'--platform={self.control.published_address("platform")}',
                *self.options.engine_flags,
                *extra_flags,
            ],
        )

    def start_service(self, name: str, domain: str) -> None:
        """Start an instance of the plain service and register it."""
        self._start_standin(
            name,
            'service',
            [
                f'--instance={name}',
                f'--failure_domain={domain}',
                f'--service={self.options.service}',
                f'--platform={self.control.published_address("platform")}',
                *self.options.service_flags,
            ],
        )

    def start_node(self, name: str) -> None:
        """Start a node with its settings."""
        file = self.folder / f'{name}.json'
        file.write_bytes(msgspec.json.encode(self._settings[name]))
        self.processes[name] = Process.start(
            name,
            ['node', str(file)],
            self.folder / f'{name}.log',
        )

    def _start_all(self) -> None:
        options = self.options
        self._start_standin('platform', 'platform', options.platform_flags)
        wait_until(self.control.is_platform_reachable, 'the platform answers')
        for domain in options.domains:
            for number in range(options.engines_per_domain):
                self.start_engine(f'{domain}-e{number}', domain)
            if options.service:
                for number in range(options.services_per_domain):
                    self.start_service(f'{domain}-s{number}', domain)
        self._configure_nodes()
        for name in self._settings:
            self.start_node(name)

    def _start_standin(
        self,
        name: str,
        kind: str,
        arguments: Sequence[str],
    ) -> None:
        address = self.addresses.setdefault(name, self._addresses.take())
        published_address = address
        if name in self.options.proxied:
            published_address = self._start_proxy(name)
        self.processes[name] = Process.start(
            name,
            [
                'standin',
                kind,
                str(address),
                f'--record={self.record}',
                f'--listed_address={published_address}',
                *arguments,
            ],
            self.folder / f'{name}.log',
        )

    def _start_proxy(self, name: str) -> Address:
        proxy = f'proxy-{name}'
        if proxy in self.processes:
            return self.control.published_address(name)
        self.addresses[proxy] = self._addresses.take()
        self.proxy_controls[name] = self._addresses.take()
        self.processes[proxy] = Process.start(
            proxy,
            [
                'standin',
                'proxy',
                str(self.addresses[proxy]),
                f'--upstream={self.addresses[name]}',
                f'--control={self.proxy_controls[name]}',
            ],
            self.folder / f'{proxy}.log',
        )
        return self.addresses[proxy]

    def _configure_nodes(self) -> None:
        names = [f'node{number}' for number in range(self.options.nodes)]
        for name in names:
            self.addresses[f'{name}-peer'] = self._addresses.take()
        peer_addresses = {
            name: self._published_address(f'{name}-peer') for name in names
        }
        for number, name in enumerate(names):
            domain = self.options.domains[number % len(self.options.domains)]
            endpoint = NodeEndpoints(
                self._addresses.take(), self._addresses.take()
            )
            self.endpoints[name] = endpoint
            self._settings[name] = {
                'node_id': name,
                'failure_domain': domain,
                'client_address': str(endpoint.clients),
                'operator_address': str(endpoint.operators),
                'peer_address': str(self.addresses[f'{name}-peer']),
                'advertised_peer_address': str(peer_addresses[name]),
                'platform_address': str(self._platform_address(domain)),
                'operator_key_sha256': _OPERATOR_SHA256,
                'peers': [
                    str(address)
                    for other, address in peer_addresses.items()
                    if other != name
                ],
                'ready_off_ms': 1000,
                **self.options.settings,
            }

    def _platform_address(self, domain: str) -> Address:
        """Return the platform address, or that of the proxy of the domain."""
        link = f'platform-{domain}'
        if link in self.options.proxied:
            self.addresses[link] = self.addresses['platform']
            return self._published_address(link)
        return self.control.published_address('platform')

    def _published_address(self, name: str) -> Address:
        if name in self.options.proxied:
            return self._start_proxy(name)
        return self.addresses[name]
