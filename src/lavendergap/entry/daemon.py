"""The daemon on an entry host: starts its components and stops them gracefully."""

import logging
import secrets
import signal
import sys
import time
from random import Random

import trio

from .. import metrics
from ..coordination.documents import Documents
from ..coordination.issuer import Issuer
from ..coordination.membership import Membership
from ..coordination.pinning import Pinning
from ..coordination.stopping import make_stop_plan
from ..coordination.witness import Witness
from ..errors import LavendergapError, Problem, SettingsError
from ..logs import LineHandler, flush_logs, log_decision
from ..protocol.answers import Refusal, SearchResult
from ..protocol.messages import Frame, Hello
from ..state.customers import CustomerTable, make_precedence
from ..state.gossip import DocumentsAdvertised, Event, MemberChanged
from ..state.member import Member
from ..state.settings import Host, Settings
from ..state.snapshot import Published
from ..state.ticket import Peer
from ..transport.acceptor import Acceptor
from ..transport.admin import AdminApp
from ..transport.callers import CallerRequest, CallersApp, Handlers
from ..transport.channel import Channel
from ..transport.dialer import Dialer
from ..transport.gossip import GossipMetrics, open_gossip, run_gossip
from ..transport.platform import PlatformClient
from .coordinator import Coordinator
from .documents import DocumentKeeper, check_document
from .entrylimits import EntryLimits
from .fleet import Fleet
from .owner import Owner
from .peers import PeerService
from .ports import serve_ports
from .process import BACKLOG, tune_garbage_collector
from .search import Query
from .status import HostStatus, MemberStatus, ServiceStatus, SettingsStatus
from .stopstate import StopState
from .ticketservice import TicketService

logger = logging.getLogger("lavendergap.entry")

# The balancer checks readiness about once a second; until it has noticed the stop, it
# still sends callers here, and they are served.
LEAVE_NOTICE_S = 3.0
# The part of a stop that is reserved for ending requests, handing over the records of
# tickets and closing the connections.
STOP_RESERVE_S = 4.0
DRAIN_CHECK_INTERVAL_S = 0.05
SWEEP_INTERVAL_S = 1.0


def run_entry(settings: Settings, host: str, settings_path: str) -> None:
    """Run the daemon of `host` until SIGTERM.

    Raises SettingsError if `settings` has no host of this name.
    """
    own = settings.get_host(host)
    if own is None:
        names = ", ".join(h.name for h in settings.hosts)
        problem = Problem(
            file=settings_path,
            path="data_centres",
            expected=f"a host {host!r}; the file has {names}",
        )
        raise SettingsError(problems=(problem,))
    daemon = Daemon(settings=settings, own=own)
    tune_garbage_collector()
    try:
        trio.run(daemon.run)
    except* LavendergapError as group:
        # The operator gets one line that says what to do, not the exception group.
        raise find_first(group) from None


def find_first(group: BaseExceptionGroup[LavendergapError]) -> LavendergapError:
    """Return the first error in a possibly nested exception group."""
    first = group.exceptions[0]
    return find_first(first) if isinstance(first, BaseExceptionGroup) else first


def make_incarnation() -> int:
    """Return a number that increases with each start of this host's process.

    Wall-clock time in milliseconds, since a host stores nothing across restarts and a
    restart takes longer than a millisecond.
    """
    return int(time.time() * 1_000)


class Daemon:
    """One entry process. `run` returns after a graceful stop."""

    def __init__(self, *, settings: Settings, own: Host) -> None:
        self._settings = settings
        self._own = own
        self._incarnation = make_incarnation()
        self._random = Random(secrets.randbits(64))
        self._documents = Documents(check=check_document)
        self._fleet = Fleet(own_name=own.name, settings=settings)
        self._pinnings: dict[str, Pinning] = {}
        self._stop = StopState()
        self._n_dropped = 0
        self._close_ports = trio.Event()
        self._ports_closed = trio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                nursery.start_soon(self._announce_ready)
                async for _ in signals:
                    break
            await self._leave()
            nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        listener = await self._listen()
        self._endpoint = await open_gossip(
            self._own.peers,
            deployment=self._settings.deployment,
            metrics=GossipMetrics(registry=metrics.REGISTRY),
        )
        self._build(nursery)
        self._use_settings(self._settings)
        for handler in logging.getLogger().handlers:
            if isinstance(handler, LineHandler):
                nursery.start_soon(flush_logs, handler)
        nursery.start_soon(self._acceptor.serve, listener)
        nursery.start_soon(self._gossip)
        nursery.start_soon(self._keeper.run)
        nursery.start_soon(self._sweep)
        nursery.start_soon(self._tickets.resend_unconfirmed)
        nursery.start_soon(self._limits.run)
        await nursery.start(self._serve_ports)
        log_decision(
            logger,
            "started",
            request_id=None,
            host=self._own.name,
            incarnation=self._incarnation,
        )

    async def _announce_ready(self) -> None:
        """Print `ready` once, for the script that started this process and waits."""
        while self._get_not_ready_reason():
            await trio.sleep(DRAIN_CHECK_INTERVAL_S)
        print("ready", flush=True)

    async def _gossip(self) -> None:
        self._membership.join(host.peers for host in self._settings.hosts)
        await run_gossip(self._membership, self._endpoint, on_change=self._handle_event)

    def _handle_event(self, event: Event) -> None:
        match event:
            case MemberChanged():
                self._fleet.replace_live(
                    {
                        member.name: member.peers
                        for member in self._membership.members()
                        if member.may_own
                    }
                )
                self._keeper.handle_member_change()
            case DocumentsAdvertised(member=member, documents=digest):
                comparison = self._documents.compare(digest)
                self._keeper.handle_advertisement(member.name, comparison.wanted)

    def _build(self, nursery: trio.Nursery) -> None:
        hello = Hello(
            deployment=self._settings.deployment,
            host=self._own.name,
            incarnation=self._incarnation,
        )
        control = self._settings.control
        peer = Peer(host=self._own.name, incarnation=self._incarnation)
        self._owner = Owner(
            settings=self._settings,
            nursery=nursery,
            random=self._random,
            attempt_prefix=f"{self._own.name}-{self._incarnation}",
        )
        self._dialer = Dialer(own=hello, nursery=nursery)
        self._membership = Membership(
            own=Member(
                name=self._own.name,
                data_centre=self._own.data_centre,
                peers=self._own.peers,
                incarnation=self._incarnation,
            ),
            control=control,
            random=self._random,
        )
        self._keeper = DocumentKeeper(
            settings=self._settings,
            documents=self._documents,
            platform=PlatformClient(address=self._settings.platform),
            fleet=self._fleet,
            dialer=self._dialer,
            nursery=nursery,
            random=self._random,
            get_members=self._membership.members,
            use_settings=self._use_settings,
            use_index=self._use_index,
        )
        self._limits = EntryLimits(
            own_name=self._own.name,
            membership=self._membership,
            fleet=self._fleet,
            dialer=self._dialer,
            nursery=nursery,
            random=self._random,
            get_customers=self._get_customers,
            settings=self._settings,
        )
        self._tickets = TicketService(
            peer=peer,
            issuer=Issuer(
                peer=peer,
                secret=secrets.token_bytes(32),
                max_tickets=control.max_tickets,
                ticket_lifetime_ms=control.ticket_lifetime_ms,
            ),
            witness=Witness(
                peer=peer,
                max_tickets=control.max_tickets,
                ticket_lifetime_ms=control.ticket_lifetime_ms,
            ),
            settings=self._settings,
            fleet=self._fleet,
            owner=self._owner,
            dialer=self._dialer,
            nursery=nursery,
            limits=self._limits,
            may_begin=self._stop.may_begin,
        )
        self._peers = PeerService(
            owner=self._owner,
            documents=self._documents,
            nursery=nursery,
            answer_ticket=self._tickets.answer,
            limits=self._limits.counting,
            may_begin=self._stop.may_begin,
        )
        self._acceptor = Acceptor(
            own=hello, on_frame=self._handle_peer, on_loss=self._peers.drop
        )
        self._coordinator = Coordinator(
            fleet=self._fleet,
            owner=self._owner,
            dialer=self._dialer,
            nursery=nursery,
            pinnings=self._pinnings,
        )

    def _handle_peer(self, channel: Channel, frame: Frame) -> None:
        self._peers.handle(channel, frame)

    async def _listen(self) -> trio.SocketListener:
        address = self._own.peers
        try:
            [listener] = await trio.open_tcp_listeners(
                address.port, host=address.ip, backlog=BACKLOG
            )
        except OSError as error:
            raise LavendergapError(
                f"cannot listen on {address}: {error.strerror}; is another process "
                "of this host running?"
            ) from error
        return listener

    async def _serve_ports(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve callers and operators until the ports and their connections close."""
        drain = self._settings.control.drain_ms / 1_000
        handlers = Handlers(
            get_settings=lambda: self._settings,
            search=lambda request: self._limits.search(request, self._search),
            issue=self._tickets.issue,
            run=self._tickets.run,
            look_up=self._tickets.look_up,
            get_stop_plan=lambda: self._stop.plan,
            get_startup_problem=self._get_startup_problem,
        )
        self._callers = CallersApp(handlers=handlers)
        admin = AdminApp(
            get_not_ready_reason=self._get_not_ready_reason, get_status=self._get_status
        )
        await serve_ports(
            [(self._callers, self._own.callers), (admin, self._own.admin)],
            stop=self._close_ports,
            drain_limit=drain,
            task_status=task_status,
        )
        self._ports_closed.set()

    async def _search(self, request: CallerRequest) -> SearchResult | Refusal:
        query = Query(
            request_id=request.request_id,
            service=request.service,
            body=request.body,
            started=request.started,
            deadline=request.deadline,
            precedence=make_precedence(request.customer),
        )
        return await self._coordinator.search(query)

    def _get_customers(self) -> CustomerTable | None:
        """Return the customers; those of the file are not counted for, as for requests.

        Their limits may be out of date until newer settings have arrived.
        """
        return self._settings.customers if self._keeper.is_ready else None

    # Active settings and snapshots.

    def _use_settings(self, settings: Settings) -> None:
        self._settings = settings
        self._fleet.replace_settings(settings)
        self._owner.replace(settings)
        self._tickets.replace(settings)
        self._limits.replace(settings)
        self._membership.replace_control(settings.control)
        metrics.settings_version.set(settings.version)
        for published in self._keeper.get_published(settings):
            self._use_index(published)
        self._membership.join(host.peers for host in settings.hosts)
        self._announce()

    def _announce(self) -> None:
        sends = self._membership.announce(
            documents=self._documents.digest(),
            settings_version=self._settings.version,
            now=trio.current_time(),
        )
        self._nursery.start_soon(self._endpoint.send, sends)

    def _use_index(self, published: Published) -> None:
        pinning = self._pinnings.get(published.service)
        if pinning is None:
            self._pinnings[published.service] = Pinning(published=published)
        else:
            pinning.replace(published, now=trio.current_time())
        self._announce()

    # Readiness and status.

    def _get_not_ready_reason(self) -> str:
        if self._stop.plan is not None:
            return "stopping"
        return self._get_startup_problem()

    def _get_startup_problem(self) -> str:
        """Return what this process still lacks to serve requests, or ""."""
        if not self._membership.joined:
            return "no peer has answered yet"
        if not self._keeper.is_ready:
            # The file may be older than the settings active on other hosts; serving
            # with it would revert accepted edits.
            return "no settings from the platform or a peer yet"
        return ""

    def _get_status(self) -> HostStatus:
        now = trio.current_time()
        active = self._keeper.describe()
        return HostStatus(
            host=self._own.name,
            data_centre=self._own.data_centre,
            incarnation=self._incarnation,
            state="live" if self._stop.plan is None else "leaving",
            unready=self._get_not_ready_reason(),
            settings=SettingsStatus(
                version=active.version,
                source=active.source,
                problem=active.problem,
            ),
            members=[
                MemberStatus(
                    name=member.name,
                    data_centre=member.data_centre,
                    state=member.state.value,
                    incarnation=member.incarnation,
                    settings_version=member.settings_version,
                )
                for member in sorted(
                    self._membership.members(), key=lambda member: member.name
                )
            ],
            services=[
                ServiceStatus(
                    name=name,
                    version=(snapshot := pinning.choose(now=now)).version,
                    n_shards=len(snapshot.shards),
                )
                for name, pinning in self._pinnings.items()
            ],
        )

    # Housekeeping and the planned stop.

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._owner.close_idle_runners()
            self._fleet.expire_avoided(now=trio.current_time())
            self._count_dropped_lines()
            if self._membership.superseded:
                # Two processes of one host would both issue tickets and own groups
                # under its name; the other hosts use the one started last.
                raise LavendergapError(
                    f"another process of host {self._own.name} has started since: "
                    "this one ends; stop one of the two before starting another"
                )

    def _count_dropped_lines(self) -> None:
        for handler in logging.getLogger().handlers:
            if isinstance(handler, LineHandler):
                metrics.log_lines_dropped.inc(handler.n_dropped - self._n_dropped)
                self._n_dropped = handler.n_dropped

    async def _leave(self) -> None:
        """Stop gracefully, without interrupting a request.

        Announces the stop to the balancer and the peers and serves callers until both
        have noticed. Then begins only what can end in time, finishes running requests,
        hands over the records that others may ask for, and closes the ports.
        """
        drain = self._settings.control.drain_ms / 1_000
        notice = min(LEAVE_NOTICE_S, drain / 2)
        plan = self._stop.plan = make_stop_plan(
            now=trio.current_time(),
            within_s=notice + drain,
            notice_s=notice,
            reserve_s=min(STOP_RESERVE_S, drain / 2),
        )
        log_decision(logger, "leaving", request_id=None, host=self._own.name)
        self._limits.counting.leave()
        self._acceptor.send_going_away()
        await self._endpoint.send(self._membership.leave(now=trio.current_time()))
        await trio.sleep_until(plan.notice_ends_at)
        with trio.move_on_at(plan.last_deadline):
            await self._wait_until_idle()
        self._stop.plan = plan.close()
        self._owner.stop()
        with trio.move_on_at(plan.ends_at):
            await self._tickets.drain(until=plan.gives_up_at)
        with trio.move_on_at(plan.gives_up_at):
            await self._wait_until_idle()
        self._callers.give_up()
        self._close_ports.set()
        with trio.move_on_at(plan.ends_at):
            await self._ports_closed.wait()
        await self._endpoint.send(self._membership.depart(now=trio.current_time()))
        log_decision(logger, "stopped", request_id=None, host=self._own.name)
        sys.stderr.flush()

    async def _wait_until_idle(self) -> None:
        while self._callers.n_running or self._tickets.is_busy or self._owner.is_busy:
            await trio.sleep(DRAIN_CHECK_INTERVAL_S)
