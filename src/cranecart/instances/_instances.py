"""Instances, their status reports, and the table rows of replicas."""

import enum

import attrs

from cranecart.http import Address
from cranecart.ports import CounterInt, Port, RequestCount


class InstanceKind(enum.Enum):
    """The kind of process that runs on an instance."""

    ENGINE = 'engine'
    SERVICE = 'service'
    NODE = 'node'


class MemberState(enum.Enum):
    """An engine's progress with the last order that it accepted."""

    IDLE = 'idle'
    LOADING = 'loading'
    READY = 'ready'
    BROKEN = 'broken'


@attrs.frozen
class Instance:
    """One entry of the platform's list of live and leaving instances."""

    id: str
    kind: InstanceKind
    host: str
    port: Port
    failure_domain: str
    fabric_domain: str
    service: str = ''
    leaving: bool = False

    @property
    def address(self) -> Address:
        """Return the address on which the instance listens."""
        return Address(self.host, self.port)


@attrs.frozen
class MemberReport:
    """An engine's status report; members are in order of rank."""

    instance: str
    state: MemberState = MemberState.IDLE
    replica: str = ''
    generation: CounterInt = 0
    fencing: CounterInt = 0
    members: tuple[str, ...] = ()
    model: str = ''
    version: str = ''
    adapters: tuple[str, ...] = ()
    running: RequestCount = 0
    queued: RequestCount = 0
    slots: RequestCount = 1
    draining: bool = False
    retiring: bool = False


@attrs.frozen
class ReplicaRow:
    """A replica as the placer recorded it in the table."""

    id: str
    model: str
    version: str
    generation: CounterInt
    members: tuple[str, ...]
    failure_domain: str
    fabric_domain: str
    adapters: tuple[str, ...] = ()
    retiring: bool = False

    @property
    def model_key(self) -> str:
        """Return the name of this version of the model."""
        return f'{self.model}@{self.version}'
