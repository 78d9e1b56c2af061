"""Entry hosts in one process, over memory streams and with fake backend servers.

Only TCP and the backend servers are fakes, so that tests of failures run on a virtual
clock.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio
import trio.testing

from lavendergap.coordination.calls import Call, ServerReport
from lavendergap.coordination.documents import Documents
from lavendergap.coordination.pinning import Pinning
from lavendergap.entry.coordinator import Coordinator
from lavendergap.entry.fleet import Fleet
from lavendergap.entry.owner import Owner
from lavendergap.entry.peers import PeerService
from lavendergap.entry.search import Query
from lavendergap.protocol.answers import Refusal, SearchResult
from lavendergap.protocol.backend import Verdict
from lavendergap.protocol.messages import Hello, TicketReply, TicketRequest
from lavendergap.protocol.objects import make_default_index
from lavendergap.state.customers import Precedence
from lavendergap.state.outcome import Answered, NotRun, Reason, Step
from lavendergap.state.settings import (
    Address,
    Group,
    Host,
    Server,
    Service,
    Settings,
    StragglerPolicy,
    WaitForCoverage,
)
from lavendergap.transport.acceptor import Acceptor
from lavendergap.transport.channel import Channel
from lavendergap.transport.dialer import Dialer

DEADLINE_MS = 280
SERVICE_S = 0.01
LOCAL = "127.0.0.1"
PRECEDENCE = Precedence(customer="acme", weight=0.5, priority=2)
Hook = Callable[[], Awaitable[object]]
Connect = Callable[[Address], Awaitable[trio.abc.Stream]]


@dataclass(kw_only=True, slots=True)
class Backends:
    """The fake backend servers: their index versions, delays and calls received."""

    versions: dict[str, tuple[int, ...]] = field(default_factory=dict)
    delays: dict[str, float] = field(default_factory=dict)
    calls: list[tuple[str, Call]] = field(default_factory=list)
    cancelled: list[tuple[str, str]] = field(default_factory=list)
    callers: dict[str, set[str]] = field(default_factory=dict)
    n_padding: int = 0


class FakeClient:
    """Fake connections to one backend server."""

    def __init__(self, *, server: Server, host: str, backends: Backends) -> None:
        self.server = server
        self._host = host
        self._backends = backends

    async def call(self, call: Call, *, attempt: bytes, fresh: bool) -> Verdict:
        """Answer from the requested version after the server's delay."""
        name = self.server.name
        self._backends.calls.append((name, call))
        self._backends.callers.setdefault(name, set()).add(self._host)
        versions = self._backends.versions.get(name, (1,))
        report = ServerReport(
            in_use=0, slots=2, queued=0, state="serving", versions=versions
        )
        if call.version not in versions:
            gone = NotRun(step=Step.RECEIVE, peer=name, reason=Reason.VERSION_GONE)
            return Verdict(outcome=gone, report=report)
        try:
            await trio.sleep(self._backends.delays.get(name, SERVICE_S))
        except trio.Cancelled:
            self._backends.cancelled.append((name, call.shard))
            raise
        body = b'{"shard": "%s", "version": %d}' % (call.shard.encode(), call.version)
        body = body.ljust(self._backends.n_padding)
        return Verdict(outcome=Answered(body=body), report=report)

    async def probe(self) -> ServerReport | None:
        """Return no report."""
        return None

    async def close_idle(self, *, now: float) -> None:
        """Hold no connections."""

    async def close(self) -> None:
        """Hold no connections."""


async def refuse_tickets(ask: TicketRequest) -> TicketReply:
    """Reply that no ticket is known; these nodes serve queries only."""
    return TicketReply(verdict="forgotten")


class Node:
    """One entry host: coordinator, owner and its channels."""

    def __init__(
        self,
        *,
        name: str,
        settings: Settings,
        backends: Backends,
        nursery: trio.Nursery,
        connect: Connect,
    ) -> None:
        hello = Hello(deployment=settings.deployment, host=name, incarnation=1)
        self.name = name
        self.fleet = Fleet(own_name=name, settings=settings)
        self.fleet.replace_live({host.name: host.peers for host in settings.hosts})
        self.owner = Owner(
            settings=settings,
            nursery=nursery,
            random=Random(1),
            attempt_prefix=name,
            make_client=lambda server, _: FakeClient(
                server=server, host=name, backends=backends
            ),
        )
        self.dialer = Dialer(own=hello, nursery=nursery, connect=connect)
        self.peers = PeerService(
            owner=self.owner,
            documents=Documents(check=lambda name, body: None),
            nursery=nursery,
            answer_ticket=refuse_tickets,
        )
        self.acceptor = Acceptor(
            own=hello, on_frame=self.peers.handle, on_loss=self.peers.drop
        )
        self.pinnings = {
            service.name: Pinning(published=make_default_index(service))
            for service in settings.services
        }
        self.coordinator = Coordinator(
            fleet=self.fleet,
            owner=self.owner,
            dialer=self.dialer,
            nursery=nursery,
            pinnings=self.pinnings,
        )


class Network:
    """Streams between nodes; `silent` hosts accept bytes but send nothing back."""

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.silent: set[str] = set()
        self.refusing: set[str] = set()
        self.dial_times: dict[str, float] = {}
        self.nodes: dict[Address, Node] = {}
        self._nursery = nursery

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Return a stream to the node at `address`."""
        node = self.nodes[address]
        if node.name in self.refusing:
            raise ConnectionRefusedError
        await trio.sleep(self.dial_times.get(node.name, 0.0))
        ours, theirs = trio.testing.memory_stream_pair()
        sending = theirs.send_stream
        sending.send_all_hook = self._make_hook(node.name, sending.send_all_hook)
        self._nursery.start_soon(node.acceptor.serve_stream, theirs)
        return ours

    def _make_hook(self, name: str, deliver: Hook | None) -> Hook:
        async def deliver_unless_silent() -> None:
            while name in self.silent:
                await trio.sleep(0.005)
            assert deliver is not None
            await deliver()

        return deliver_unless_silent


class Cluster:
    """Several nodes of one deployment with one service."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        n_hosts: int = 3,
        n_groups: int = 6,
        stragglers: StragglerPolicy | None = None,
    ) -> None:
        self.settings = build_settings(
            n_hosts=n_hosts,
            n_groups=n_groups,
            stragglers=stragglers or WaitForCoverage(),
        )
        self.service = self.settings.services[0]
        self.backends = Backends()
        self.network = Network(nursery=nursery)
        for host in self.settings.hosts:
            self.network.nodes[host.peers] = Node(
                name=host.name,
                settings=self.settings,
                backends=self.backends,
                nursery=nursery,
                connect=self.network.connect,
            )
        self.nodes = list(self.network.nodes.values())

    async def search(
        self, node: Node, *, deadline_ms: float = DEADLINE_MS
    ) -> SearchResult | Refusal:
        """Send one query to `node`."""
        now = trio.current_time()
        query = Query(
            request_id="r",
            service=self.service,
            body=b"{}",
            started=now,
            deadline=now + deadline_ms / 1_000,
            precedence=PRECEDENCE,
        )
        return await node.coordinator.search(query)

    async def open_channels(self, node: Node) -> None:
        """Open channels from `node` to all others, as after some queries."""
        for address, other in self.network.nodes.items():
            if other is not node:
                assert isinstance(await node.dialer.dial(other.name, address), Channel)

    def count_owned(self, node: Node) -> int:
        """Return how many groups `node` owns."""
        return sum(
            node.fleet.rank(group.name)[0] == node.name for group in self.service.groups
        )


def build_settings(
    *, n_hosts: int, n_groups: int, stragglers: StragglerPolicy
) -> Settings:
    """Return settings with one query service of two replicas a group."""
    hosts = tuple(
        Host(
            name=f"host-{place}",
            data_centre="ptl-a",
            callers=Address(ip=LOCAL, port=8000 + place),
            peers=Address(ip=LOCAL, port=8100 + place),
            admin=Address(ip=LOCAL, port=8200 + place),
        )
        for place in range(n_hosts)
    )
    groups = tuple(
        Group(
            name=f"scheduler-{place:02}",
            servers=tuple(
                Server(
                    name=f"scheduler-{place:02}-{letter}",
                    address=Address(ip=LOCAL, port=20_000 + 2 * place + offset),
                    data_centre="ptl-a",
                    slots=2,
                    connections=25,
                )
                for offset, letter in enumerate("ab")
            ),
        )
        for place in range(n_groups)
    )
    service = Service(
        name="scheduler",
        idempotent=True,
        groups=groups,
        deadline_ms=DEADLINE_MS,
        stragglers=stragglers,
        hedge_budget=0.05,
        hedge_after_quantile=0.95,
        retry_budget=0.05,
        queue_limit=100,
        max_body_bytes=65_536,
        weight=1.0,
    )
    return Settings(
        deployment="demo",
        version=1,
        platform=Address(ip=LOCAL, port=7000),
        hosts=hosts,
        services=(service,),
    )
