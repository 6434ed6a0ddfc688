"""Network cost of one health probe of an unchanged instance."""

import socket
import tempfile
import time
from pathlib import Path

from cranecart.targets import PROBE_INTERVAL_SECONDS
from tools.cluster_control import wait_until
from tools.local_cluster import ClusterOptions, LocalCluster

_DOMAIN = 'buda-terem'
# A request, its response and an acknowledgement of each; the headers are those
# of IP and of TCP with timestamps.
_PACKETS_PER_PROBE = 4
_HEADER_BYTES_PER_PACKET = 52
_READ_BYTES = 65536
_SETTLE_SECONDS = 1.0


def measure() -> dict[str, float]:
    """Return the bytes of a probe in both directions and the probe rate."""
    options = ClusterOptions(
        domains=(_DOMAIN,),
        nodes=0,
        engines_per_domain=1,
    )
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(Path(folder), options) as cluster:
            address = cluster.addresses[f'{_DOMAIN}-e0']
            wait_until(
                lambda: _is_listening(address.host, address.port), 'engine'
            )
            time.sleep(_SETTLE_SECONDS)
            payload = _measure_probe(address.host, address.port)
    return {
        'bytes': payload + _PACKETS_PER_PROBE * _HEADER_BYTES_PER_PACKET,
        'per_second': 1 / PROBE_INTERVAL_SECONDS,
    }


def _measure_probe(host: str, port: int) -> int:
    """Probe twice, as a node does, and return the bytes of the second probe."""
    with socket.create_connection((host, port)) as sock:
        head = f'GET /status HTTP/1.1\r\nhost: {host}:{port}\r\n'
        sock.sendall(f'{head}content-length: 0\r\n\r\n'.encode())
        response = sock.recv(_READ_BYTES).decode()
        etag = response.partition('etag: ')[2].partition('\r\n')[0]
        conditional_request = (
            f'{head}content-length: 0\r\nif-none-match: {etag}\r\n\r\n'
        ).encode()
        sock.sendall(conditional_request)
        return len(conditional_request) + len(sock.recv(_READ_BYTES))


def _is_listening(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port)).close()
    except OSError:
        return False
    return True
