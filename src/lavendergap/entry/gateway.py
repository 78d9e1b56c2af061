"""The daemon of a gateway host: starts its components and stops them gracefully."""

import functools
import logging
import secrets
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random

import trio

from .. import metrics
from ..coordination.catalog import Catalog, ExtraCallBudget, build_catalog
from ..coordination.documents import Documents
from ..coordination.membership import Membership
from ..coordination.placement import Placement
from ..coordination.stopping import make_stop_plan
from ..coordination.warmup import WarmupBound
from ..errors import SettingsError
from ..logs import LineHandler, flush_logs, log_decision
from ..protocol.messages import (
    Frame,
    Hello,
    TicketReply,
    TicketRequest,
)
from ..state.customers import CustomerTable
from ..state.hostfile import GatewayHost, read_host_file
from ..state.member import Member, convert_to_capacity
from ..state.settings import Control, Server, Settings
from ..transport.acceptor import Acceptor
from ..transport.admin import AdminApp
from ..transport.channel import Channel
from ..transport.dialer import Dialer
from ..transport.forward import ForwardClient
from ..transport.gateway import GatewayApp, GatewayHandlers
from ..transport.gossip import GossipMetrics, open_gossip, run_gossip
from .activeconfig import ActiveConfig
from .adapter import Adapter
from .counting import CountingService
from .customeruse import CustomerUse
from .discovery import Discovery, keep_channels
from .feedpeers import FeedChannels
from .fleet import Fleet
from .forwarding import Forwarder
from .hostfeeds import HostFeeds
from .limitchannels import LimitChannels
from .limits import LimitService
from .livehosts import LiveHosts
from .owner import Owner
from .peers import PeerService
from .ports import PortLimits, serve_ports
from .process import BACKLOG, tune_garbage_collector
from .quarantine import RequestQuarantine
from .status import GatewayStatus, list_most_used
from .stopstate import StopState

logger = logging.getLogger("lavendergap.entry")

# Hosts probe each other more often than by default: until a lost owner is detected, the
# queries of its groups take a detour. These fleets are small enough to afford it.
CONTROL = Control(
    probe_interval_ms=700,
    probe_timeout_ms=250,
    suspect_ms=2_000,
    # Interval of checks for idle connections; backend servers are not probed.
    server_probe_interval_ms=2_000,
    idle_connection_ms=10_000,
)
# The balancer checks readiness each second and removes a host after two failures; until
# then it still sends callers here.
LEAVE_NOTICE_S = 2.6
# The part of `stop_within_s` that is reserved for ending requests and connections.
STOP_RESERVE_S = 0.8
DRAIN_CHECK_INTERVAL_S = 0.05
SWEEP_INTERVAL_S = 1.0
# The settings file may change without a signal.
SETTINGS_FILE_CHECK_INTERVAL_S = 2.0


def run_gateway(path: Path, make_adapter: Callable[[GatewayHost], Adapter]) -> None:
    """Run the daemon until SIGTERM; raise SettingsError for a bad settings file."""
    host = read_host_file(path)
    tune_garbage_collector()
    trio.run(Gateway(host=host, path=path, adapter=make_adapter(host)).run)


class Gateway:
    """One gateway process. `run` returns after a graceful stop."""

    def __init__(self, *, host: GatewayHost, path: Path, adapter: Adapter) -> None:
        self._host = host
        self._path = path
        self._adapter = adapter
        self._random = Random(secrets.randbits(64))
        # Starts at a random number: a host that receives a higher incarnation of its
        # own name from an older process chooses one above it. Wall-clock time could
        # run backwards on hosts whose clock is stepped.
        self._incarnation = secrets.randbits(31)
        self._limits = PortLimits()
        self._active_config = ActiveConfig(
            adapter=adapter, apply=self._apply, data_centres=host.regions
        )
        self._placement = Placement(own_data_centre=host.data_centre)
        self._settings = Settings(
            deployment=host.deployment,
            version=0,
            platform=host.store,
            hosts=(),
            services=(),
            control=CONTROL,
        )
        self._fleet = Fleet(
            own_name=host.name,
            settings=self._settings,
            placement=self._placement,
            probe=self._probe,
        )
        self._catalog: Catalog | None = None
        self._stop = StopState()
        self._close_ports = trio.Event()
        self._ports_closed = trio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
            with trio.open_signal_receiver(*signals) as received:
                async for number in received:
                    if number != signal.SIGHUP:
                        break
                    self._reload("signal")
            await self._leave()
            nursery.cancel_scope.cancel()

    async def _start(self, nursery: trio.Nursery) -> None:
        host = self._host
        self._nursery = nursery
        [listener] = await trio.open_tcp_listeners(
            host.peers.port, host=host.peers.ip, backlog=BACKLOG
        )
        self._endpoint = await open_gossip(
            host.peers,
            deployment=self._settings.deployment,
            metrics=GossipMetrics(registry=metrics.REGISTRY),
        )
        self._build(nursery)
        for handler in logging.getLogger().handlers:
            if isinstance(handler, LineHandler):
                nursery.start_soon(flush_logs, handler)
        nursery.start_soon(self._acceptor.serve, listener)
        nursery.start_soon(self._gossip)
        nursery.start_soon(self._live_hosts.run)
        nursery.start_soon(self._feeds.run)
        nursery.start_soon(self._quarantine.run)
        nursery.start_soon(self._customer_limits.run)
        self._discovery = Discovery(
            host=self._host,
            adapter=self._adapter,
            membership=self._membership,
            random=self._random,
            get_epoch=lambda: self._feeds.epoch,
            wake=self._endpoint.wake,
        )
        nursery.start_soon(self._discovery.run)
        keep = functools.partial(
            keep_channels,
            fleet=self._fleet,
            dialer=self._dialer,
            get_groups=lambda: (
                self._catalog.shard_data_centres if self._catalog else ()
            ),
        )
        nursery.start_soon(keep)
        nursery.start_soon(self._sweep)
        nursery.start_soon(self._poll_settings_file)
        await nursery.start(self._serve_ports)
        log_decision(
            logger,
            "started",
            request_id=None,
            host=host.name,
            incarnation=self._incarnation,
        )

    def _build(self, nursery: trio.Nursery) -> None:
        host = self._host
        hello = Hello(
            deployment=self._settings.deployment,
            host=host.name,
            incarnation=self._incarnation,
        )
        self._quarantine = RequestQuarantine(
            own_name=host.name,
            store=self._adapter,
            announce=lambda strike: feed_peers.announce_strike(strike),
            is_sweeper=lambda: feed_peers.get_holder_rank() == 0,
        )
        self._owner = Owner(
            settings=self._settings,
            nursery=nursery,
            random=self._random,
            attempt_prefix=host.name,
            make_client=self._make_client,
            data_centre=host.data_centre,
            quarantine=self._quarantine,
            may_warm=self._may_warm,
        )
        self._dialer = Dialer(own=hello, nursery=nursery)
        self._membership = Membership(
            own=Member(
                name=host.name,
                data_centre=host.data_centre,
                peers=host.peers,
                incarnation=self._incarnation,
                capacity=convert_to_capacity(host.cores),
            ),
            control=CONTROL,
            random=self._random,
        )
        self._live_hosts = LiveHosts(
            membership=self._membership,
            fleet=self._fleet,
            placement=self._placement,
            apply=self._apply,
        )
        feed_peers = FeedChannels(
            own_name=host.name,
            membership=self._membership,
            fleet=self._fleet,
            dialer=self._dialer,
            nursery=nursery,
            random=self._random,
        )
        self._feeds = HostFeeds(
            adapter=self._adapter,
            active_config=self._active_config,
            quarantine=self._quarantine,
            channels=feed_peers,
            has_evacuations=host.bounds.evacuate_within_s is not None,
            random=self._random,
            nursery=nursery,
        )
        channels = LimitChannels(
            fleet=self._fleet, dialer=self._dialer, nursery=nursery
        )
        self._counting = CountingService(
            own_name=host.name,
            membership=self._membership,
            channels=channels,
            nursery=nursery,
            random=self._random,
            get_customers=self._get_customers,
            bounds=host.bounds.limits,
            is_only_host=lambda: self._discovery.is_only_host,
        )
        self._customer_limits = LimitService(
            counting=self._counting,
            fleet=self._fleet,
            channels=channels,
            nursery=nursery,
            random=self._random,
        )
        self._customer_use = CustomerUse(
            admit=self._customer_limits.admit, counting=self._counting
        )
        self._peers = PeerService(
            owner=self._owner,
            documents=Documents(check=lambda name, body: None),
            nursery=nursery,
            answer_ticket=_refuse_ticket,
            feeds=self._feeds,
            limits=self._counting,
            may_begin=self._stop.may_begin,
        )
        self._acceptor = Acceptor(
            own=hello, on_frame=self._handle_peer, on_loss=self._peers.drop
        )
        self._forwarder = Forwarder(
            fleet=self._fleet,
            owner=self._owner,
            dialer=self._dialer,
            nursery=nursery,
            random=self._random,
            quarantine=self._quarantine,
            regions=host.regions,
        )

    def _make_client(self, server: Server, idle_timeout_s: float) -> ForwardClient:
        return ForwardClient(
            server=server,
            idle_timeout_s=idle_timeout_s,
            names=self._adapter.header_names,
            nursery=self._nursery,
        )

    def _get_customers(self) -> CustomerTable | None:
        index = self._active_config.index
        return index.table.customers if index else None

    def _handle_peer(self, channel: Channel, frame: Frame) -> None:
        self._peers.handle(channel, frame)

    async def _serve_ports(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve callers and operators until the ports and their connections close."""
        handlers = GatewayHandlers(
            get_routes=lambda: self._active_config.index,
            forward=self._forwarder.forward,
            get_stop_plan=lambda: self._stop.plan,
            admit=self._customer_use.admit,
            give_back=self._customer_limits.give_back,
        )
        self._callers = GatewayApp(
            handlers=handlers, names=self._adapter.header_names, cores=self._host.cores
        )
        admin = AdminApp(
            get_not_ready_reason=self._get_not_ready_reason,
            get_status=self._get_status,
            get_warning=self._discovery.get_warning,
        )
        await serve_ports(
            [(self._callers, self._host.callers), (admin, self._host.admin)],
            stop=self._close_ports,
            drain_limit=STOP_RESERVE_S,
            limits=self._limits,
            task_status=task_status,
        )
        self._ports_closed.set()

    # Membership.

    async def _gossip(self) -> None:
        self._membership.join(self._host.seeds)
        await run_gossip(
            self._membership, self._endpoint, on_change=self._live_hosts.handle_event
        )

    def _probe(self, name: str) -> None:
        sends = self._membership.probe(name, now=trio.current_time())
        self._nursery.start_soon(self._endpoint.send, sends)
        self._endpoint.wake()

    # Active routes and servers.

    def _apply(self) -> None:
        """Apply the current routes, servers and evacuations to the groups run here."""
        index = self._active_config.index
        if index is None or not self._feeds.may_use_servers:
            return
        limits = index.table.limits
        self._limits.idle_timeout = limits.idle_timeout_ms / 1_000
        self._limits.max_header_bytes = limits.max_header_bytes
        bounds = self._host.bounds
        catalog = self._catalog = build_catalog(
            table=index.table,
            servers=self._active_config.servers,
            budget=ExtraCallBudget(
                share=bounds.extra_call_share,
                slack=bounds.extra_call_slack,
                window_s=bounds.extra_call_window_s,
            ),
            n_hosts=max(1, len(self._membership.live())),
            evacuated=self._active_config.evacuated,
            warmup=WarmupBound(
                factor=bounds.cold_rate_factor, slack=bounds.cold_rate_slack
            ),
            previous=self._catalog,
        )
        self._settings = Settings(
            deployment=self._settings.deployment,
            version=index.table.version,
            platform=self._host.store,
            hosts=(),
            services=catalog.services,
            control=CONTROL,
        )
        self._owner.replace(self._settings)
        self._placement.replace_servers(catalog.shard_data_centres, catalog.shard_sets)

    def _may_warm(self, group: str) -> bool:
        """Return whether this host sends to a group's cold servers for its data centre.

        A host whose list of servers is stale may not: it may be partitioned, and
        another host may have taken over.
        """
        is_first = self._placement.get_first_host_nearby(group) == self._host.name
        return is_first and self._feeds.has_fresh_servers

    # Readiness and status.

    def _get_not_ready_reason(self) -> str:
        if self._stop.plan is not None:
            return "stopping"
        if self._active_config.index is None:
            return "no routes from the store or a peer yet"
        if missing := self._feeds.get_missing_feed():
            return missing
        if self._discovery.must_find_peer():
            return self._discovery.get_warning()
        if not self._membership.joined:
            return self._discovery.get_warning() or "no peer has answered yet"
        return ""

    def _get_status(self) -> GatewayStatus:
        index = self._active_config.index
        limits = self._host.bounds.limits
        return GatewayStatus(
            host=self._host.name,
            data_centre=self._host.data_centre,
            unready=self._get_not_ready_reason(),
            routes_version=index.table.version if index else 0,
            n_servers=len(self._active_config.servers),
            members=sorted(self._membership.live()),
            warning=self._discovery.get_warning(),
            limit_window_s=limits.window_s if limits else 0.0,
            n_customers=self._customer_use.count_customers(),
            customers=list_most_used(self._customer_use.list_customers()),
        )

    # Housekeeping, reload and the planned stop.

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._owner.close_idle_runners()
            self._active_config.check_earlier_starts()
            self._fleet.expire_avoided(now=trio.current_time())

    async def _poll_settings_file(self) -> None:
        while True:
            await trio.sleep(SETTINGS_FILE_CHECK_INTERVAL_S)
            self._reload("file")

    def _reload(self, why: str) -> None:
        """Read the settings file again; keep the old settings if it is invalid."""
        try:
            host = read_host_file(self._path)
        except SettingsError as error:
            log_decision(
                logger, "reload refused", request_id=None, why=why, error=str(error)
            )
            return
        if host == self._host and why == "file":
            return
        log_decision(
            logger,
            "reloaded",
            request_id=None,
            why=why,
            has_changed=host != self._host,
        )
        # Listening addresses stay for the life of the process; bounds and seeds change.
        self._host = host
        self._membership.join(host.seeds)
        self._counting.replace_bounds(host.bounds.limits)
        self._apply()

    async def _leave(self) -> None:
        """Stop gracefully, without interrupting a request.

        Announces the stop to the balancer and the peers and serves callers until both
        have noticed. Then begins only what can end in time, finishes running requests
        and closes the ports.
        """
        plan = self._stop.plan = make_stop_plan(
            now=trio.current_time(),
            within_s=self._host.bounds.stop_within_s,
            notice_s=LEAVE_NOTICE_S,
            reserve_s=STOP_RESERVE_S,
        )
        log_decision(logger, "leaving", request_id=None, host=self._host.name)
        self._counting.leave()
        self._acceptor.send_going_away()
        await self._endpoint.send(self._membership.leave(now=trio.current_time()))
        await trio.sleep_until(plan.notice_ends_at)
        with trio.move_on_at(plan.last_deadline):
            await self._wait_until_idle()
        self._stop.plan = plan.close()
        self._owner.stop()
        self._close_ports.set()
        await self._endpoint.send(self._membership.depart(now=trio.current_time()))
        with trio.move_on_at(plan.gives_up_at):
            await self._wait_until_idle()
        self._callers.give_up()
        with trio.move_on_at(plan.ends_at):
            await self._ports_closed.wait()
        log_decision(logger, "stopped", request_id=None, host=self._host.name)

    async def _wait_until_idle(self) -> None:
        while self._callers.n_running or self._owner.is_busy:
            await trio.sleep(DRAIN_CHECK_INTERVAL_S)


async def _refuse_ticket(ask: TicketRequest) -> TicketReply:
    """Return the reply to any ticket request: gateway hosts issue no tickets."""
    return TicketReply(verdict="unknown")
