"""Counts customers' limits for the other hosts, and follows who counts for whom."""

import math
from collections.abc import Callable
from random import Random

import trio

from .. import metrics
from ..coordination.limits.counting import Counting
from ..coordination.limits.counts import CountStatus, Grant
from ..coordination.limits.hosts import HostView
from ..coordination.membership import Membership
from ..logs import Category, get_logger, log_decision
from ..protocol.messages import (
    CountHandover,
    Frame,
    HandoverRequest,
    PermitGrant,
    PermitRequest,
    PermitReturn,
)
from ..state.customers import Customer, CustomerTable, LimitBounds
from ..state.member import MemberState
from ..state.settings import Address
from ..transport.channel import Channel
from .limitchannels import LimitChannels, PortState, read_handover

logger = get_logger(Category.LIMITS)

DEFAULT_BOUNDS = LimitBounds(window_s=1.0, overage=0.0, slack=0.0)
"""Without bounds from the platform no host may grant more than the limit."""

PORT_CHECK_SPACING_S = 0.5
PORT_CHECK_SPREAD_S = 0.3
"""The hosts do not all connect to a lost host's port at one instant."""

MAX_HINTS_CHECKED = 32
MAX_CHECKS = 3
"""How many ports are checked for one decision; a host ranked lower stays as it is."""

MAX_GONE_SENT = 2_048
INFORM_INTERVAL_S = 1.0
PRUNE_INTERVAL_S = 1.0
"""Each search for idle customers costs 1 us for each customer counted here."""

ANY_CUSTOMER = ""
"""In a HandoverRequest: asks only for the hosts that went silently."""

MAX_PERMITS_PER_MESSAGE = 1_000
RELAY_TIMEOUT_S = 0.015
"""Less than a host waits for its reply."""

OLDER_TABLE_VALIDITY_S = 0.1
"""Validity of permits for a customer whose limit was removed."""


class CountingService:
    """Decides for the customers for which this host is asked, by itself or by others.

    `get_customers` returns the active table of customers. While none of them has a
    limit, nothing is done. `is_only_host` returns whether no other host has registered.
    """

    def __init__(
        self,
        *,
        own_name: str,
        membership: Membership,
        channels: LimitChannels,
        nursery: trio.Nursery,
        random: Random,
        get_customers: Callable[[], CustomerTable | None],
        bounds: LimitBounds | None,
        is_only_host: Callable[[], bool] = lambda: False,
    ) -> None:
        bounds = bounds or DEFAULT_BOUNDS
        self.own_name = own_name
        self.has_limits = False
        self.is_leaving = False
        self.view = HostView(
            own=own_name, window_s=bounds.window_s, now=trio.current_time()
        )
        self.table: CustomerTable | None = None
        self._membership = membership
        self._channels = channels
        self._nursery = nursery
        self._random = random
        self._get_customers = get_customers
        self._is_only_host = is_only_host
        self._counting = Counting(view=self.view, bounds=bounds, random=random)
        self._checked_at: dict[str, float] = {}
        self._seen: tuple[int, bool] = (-1, False)
        self._inform_at = 0.0
        self._prune_at = 0.0

    def is_first(self, name: str) -> bool:
        """Return whether this host ranks first for a customer."""
        return not self.is_leaving and self.view.rank(name)[0] == self.own_name

    # Decisions of this host.

    def grant(self, customer: Customer, n: int, now: float) -> PermitGrant:
        """Grant up to `n` permits, or state when to ask again."""
        if self.is_leaving:
            return _make_grant(n=0)
        grant = self._counting.decide(customer, n, now=now)
        if grant.n_reserve:
            metrics.limit_reserve.inc(grant.n_reserve)
        self._follow_up(customer, grant, now)
        return _make_grant(
            n=grant.n,
            valid_s=grant.valid_s,
            next_s=grant.next_s,
            retry_s=grant.retry_s,
            is_counting=grant.is_counting,
            n_used=grant.n_used,
        )

    def _follow_up(self, customer: Customer, grant: Grant, now: float) -> None:
        """Start what a decision has shown to be due, and log changes of role."""
        hosts = self._counting.list_handover_hosts(customer.name, now=now)
        if hosts:
            self._nursery.start_soon(self._ask_handover, customer, hosts)
        if not grant.is_counting:
            # This host was asked although another one may count.
            for host in self.view.list_blocking(customer.name, now=now)[:MAX_CHECKS]:
                self._check_port(host, now, delay=0.0)
        self._log_changes()

    async def _ask_handover(self, customer: Customer, hosts: tuple[str, ...]) -> None:
        for rank, host in enumerate(hosts, start=1):
            reply = await self._channels.ask_handover(host, customer.name)
            if reply is None:
                self._check_port(host, trio.current_time(), delay=0.0)
                return
            ask_next = self._counting.accept(
                customer,
                read_handover(reply),
                host,
                rank=rank,
                is_last=rank == len(hosts),
                now=trio.current_time(),
            )
            self._log_changes()
            if not ask_next:
                return

    # Requests of other hosts.

    def handle(self, channel: Channel, frame: Frame) -> None:
        """Serve a message of another host about limits."""
        now = trio.current_time()
        self.refresh(now)
        match frame.message:
            case PermitRequest(customer=name, n=n):
                n = min(n, MAX_PERMITS_PER_MESSAGE)
                first = self.view.rank(name)[0]
                if self.view.is_new(first, now=now):
                    self._nursery.start_soon(self._relay, channel, frame, first, n)
                    return
                reply = self._serve(name, n, now)
                channel.send(Frame(id=frame.id, message=reply))
            case PermitReturn(customer=name, n=n):
                self._counting.give_back(name, min(n, MAX_PERMITS_PER_MESSAGE), now=now)
            case HandoverRequest(customer=name) if channel.peer is not None:
                reply_handover = self._hand_over(
                    name, channel.peer.host, channel.peer.incarnation, now
                )
                channel.send(Frame(id=frame.id, message=reply_handover))
            case CountHandover(customer=name, tokens=tokens) if channel.peer:
                customer = self._find(name)
                if customer is not None and frame.message.was_counting:
                    source = channel.peer.host
                    self._counting.receive_tokens(customer, tokens, source, now=now)
                    self._log_changes()

    async def _relay(self, channel: Channel, frame: Frame, first: str, n: int) -> None:
        """Ask the host that has just become first, which the sender may not know yet.

        A request only moves to a host that ranks higher, so it cannot go round.
        """
        assert isinstance(frame.message, PermitRequest)
        name = frame.message.customer
        reply = await self._channels.ask_permits(first, name, n, limit=RELAY_TIMEOUT_S)
        if reply is None or not (reply.n or reply.is_counting):
            reply = self._serve(name, n, trio.current_time())
        channel.send(Frame(id=frame.id, message=reply))

    def _serve(self, name: str, n: int, now: float) -> PermitGrant:
        table = self.table
        customer = table.customers.get(name) if table else None
        if customer is not None and not customer.has_limit:
            # The sender has an older version, with a limit that was removed since.
            return _make_grant(n=n, valid_s=OLDER_TABLE_VALIDITY_S)
        return _make_grant(n=0) if customer is None else self.grant(customer, n, now)

    def _hand_over(
        self, name: str, requester: str, incarnation: int, now: float
    ) -> CountHandover:
        customer = self._find(name)
        if name == ANY_CUSTOMER:
            return self._describe_hosts(now)
        if customer is None:
            # Without this version's customers it is not known here who counted.
            return CountHandover(
                customer=name, tokens=0.0, was_counting=False, rank=1, is_sure=False
            )
        handover = self._counting.hand_over(customer, requester, incarnation, now=now)
        self._log_changes()
        return CountHandover(
            customer=name,
            tokens=handover.tokens,
            was_counting=handover.was_counting,
            rank=handover.rank,
            is_sure=handover.is_sure,
            gone=_encode_ages(handover.gone),
            n_hosts=handover.n_hosts,
        )

    def _describe_hosts(self, now: float) -> CountHandover:
        """Return which hosts went silently, for a host that has started."""
        return CountHandover(
            customer=ANY_CUSTOMER,
            tokens=0.0,
            was_counting=False,
            rank=0,
            is_sure=not self.view.is_blind,
            gone=_encode_ages(self.view.list_gone(now=now)),
            n_hosts=self.view.count_hosts(),
        )

    def _find(self, name: str) -> Customer | None:
        """Return a customer of the active table if it has a limit."""
        customer = self.table.customers.get(name) if self.table else None
        return customer if customer is not None and customer.has_limit else None

    # Members.

    def refresh(self, now: float) -> None:
        """Apply a new version of the customers, and changes of members."""
        table = self._get_customers()
        if table is not self.table:
            self.table = table
            had_limits = self.has_limits
            self.has_limits = table is not None and any(
                customer.has_limit for customer in table.customers.values()
            )
            if self.has_limits and not had_limits:
                self.view.resume(now=now)
                self._inform_if_due(now)
        seen = (self._membership.changes, self._membership.joined)
        if not self.has_limits or seen == self._seen:
            return
        self._seen = seen
        members = self._membership.members()
        self.view.update(
            {m.name: m.incarnation for m in members if m.may_own},
            {m.name for m in members if m.state is MemberState.LEAVING},
            is_joined=self._membership.joined,
            now=now,
        )
        self._inform_if_due(now)
        lost = [host for host, age in self.view.list_gone(now=now) if age == 0.0]
        for host in [*self._membership.suspects(), *lost]:
            self._check_port(host, now, delay=self._random.random())

    def _inform_if_due(self, now: float) -> None:
        self.view.is_only_host = self._is_only_host()
        # Before it has joined, this host knows no other that it could ask.
        can_ask = self.view.is_joined and not self.view.is_alone_too_soon(now=now)
        if self.view.is_blind and can_ask and now >= self._inform_at:
            self._inform_at = now + INFORM_INTERVAL_S
            self._nursery.start_soon(self._inform)

    async def _inform(self) -> None:
        """Learn which hosts went silently before this one started.

        One of the hosts found may know. If all of them have started too, those that the
        settings and the store name show whether some are out of reach.
        """
        n_answered, is_named, unknown = self._membership.split_hints()
        states: list[PortState] = []

        async def check(address: Address) -> None:
            states.append(await self._channels.check_port(address))

        async with trio.open_nursery() as nursery:
            for address in unknown[:MAX_HINTS_CHECKED]:
                nursery.start_soon(check, address)
        self.view.note_hints(
            n_answered=n_answered + states.count(PortState.OPEN),
            n_silent=states.count(PortState.SILENT),
            is_named=is_named,
        )
        others = sorted(self.view.live - {self.own_name})
        if not others or not self.view.is_blind:
            return
        host = self._random.choice(others)
        reply = await self._channels.ask_handover(host, ANY_CUSTOMER)
        if reply is not None and reply.is_sure:
            now = trio.current_time()
            gone = read_handover(reply).gone
            self.view.merge_gone(gone, reply.n_hosts, now=now)
            self.view.is_blind = False

    def _check_port(self, host: str, now: float, *, delay: float) -> None:
        if now - self._checked_at.get(host, -math.inf) < PORT_CHECK_SPACING_S:
            return
        self._checked_at[host] = now
        self._nursery.start_soon(self._run_check, host, delay * PORT_CHECK_SPREAD_S)

    async def _run_check(self, host: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        incarnation = self.view.get_incarnation(host)
        has_ended = await self._channels.has_host_ended(host)
        # A process that started during the check is not the one that ended.
        if has_ended and self.view.get_incarnation(host) == incarnation:
            self.view.note_stopped(host, now=trio.current_time())

    # Housekeeping and the planned stop.

    def advance(self, *, now: float) -> None:
        """Do what is due; called several times a second while there are limits."""
        self.view.touch(now=now)
        self._inform_if_due(now)
        if now >= self._prune_at:
            self._prune_at = now + PRUNE_INTERVAL_S
            self._counting.prune(now=now)
        self._log_changes()

    def give_back(self, name: str, n: int, *, now: float) -> None:
        """Return permits that this host granted and that were not used."""
        self._counting.give_back(name, n, now=now)

    def replace_bounds(self, bounds: LimitBounds | None) -> None:
        """Apply the bounds of a settings file that was read again."""
        self._counting.replace_bounds(bounds or DEFAULT_BOUNDS)

    def leave(self) -> None:
        """Stop counting and hand the tokens to the next hosts."""
        now = trio.current_time()
        self.refresh(now)
        if len(self.view.live) == 1:
            # Callers are still served for a moment, and no other host can count.
            return
        self.is_leaving = True
        for name, host, tokens in self._counting.leave(self._find, now=now):
            handover = CountHandover(
                customer=name, tokens=tokens, was_counting=True, rank=0, is_sure=True
            )
            self._channels.send(host, handover)
        self._log_changes()

    def list_counts(self) -> list[CountStatus]:
        """Return what this host counts, for its status."""
        return self._counting.list_counts(now=trio.current_time())

    def _log_changes(self) -> None:
        for change in self._counting.take_changes():
            log_decision(
                logger,
                "counting started" if change.is_counting else "counting stopped",
                request_id=None,
                customer=change.customer,
                why=change.why,
                source=change.source,
                tokens=round(change.tokens, 1),
            )


def _make_grant(
    *,
    n: int,
    valid_s: float = 0.0,
    next_s: float = 0.0,
    retry_s: float = 0.0,
    is_counting: bool = False,
    n_used: int = 0,
) -> PermitGrant:
    return PermitGrant(
        n=n,
        valid_ms=int(valid_s * 1_000),
        next_ms=math.ceil(next_s * 1_000),
        retry_ms=math.ceil(retry_s * 1_000),
        is_counting=is_counting,
        n_used=n_used,
    )


def _encode_ages(gone: tuple[tuple[str, float], ...]) -> tuple[tuple[str, int], ...]:
    return tuple((host, int(age * 1_000)) for host, age in gone[:MAX_GONE_SENT])
