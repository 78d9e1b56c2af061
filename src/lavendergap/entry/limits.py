"""Admits the requests of customers within their limits over all hosts together."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from .. import metrics
from ..coordination.limits.counting import Counting, CountStatus, Grant, Handover
from ..coordination.limits.hosts import HostView
from ..coordination.limits.permits import Permits, Refused
from ..coordination.membership import Membership
from ..logs import Category, LineLimit, get_logger, log_decision
from ..protocol.messages import (
    CountHandover,
    Frame,
    HandoverRequest,
    PermitGrant,
    PermitRequest,
    PermitReturn,
)
from ..state.customers import Customer, CustomerTable
from ..state.hostfile import LimitBounds
from ..state.member import MemberState
from ..state.outcome import NotRun, Reason, Step
from ..state.settings import Address
from ..transport.channel import Channel
from ..transport.gateway import GatewayRequest
from .fleet import Fleet
from .limitchannels import LimitChannels

logger = get_logger(Category.LIMITS)

DEFAULT_BOUNDS = LimitBounds(window_s=1.0, overage=0.0, slack=0.0)
"""Without bounds from the platform no host may grant more than the limit."""

ASK_TIMEOUT_S = 0.025
MIN_WAIT_S = 0.005
GOAL_SHARE = 0.25
"""The part of the time to the goal for which a request waits for its permit."""

MAX_ASKED_HOSTS = 3
NOT_COUNTED_RETRY_MS = 50
TICK_S = 0.1
SLOW_S = 0.25
"""How long a host that did not reply in time is asked after the others."""

PORT_CHECK_SPACING_S = 0.5
PORT_CHECK_SPREAD_S = 0.3
"""The hosts do not all connect to a lost host's port at one instant."""

MAX_HINTS_CHECKED = 32
MAX_CHECKS = 3
"""How many ports are checked for one decision; a host ranked lower stays as it is."""

MAX_GONE_SENT = 2_048
INFORM_INTERVAL_S = 1.0
ANY_CUSTOMER = ""
"""In a HandoverRequest: asks only for the hosts that went silently."""

MAX_PERMITS_PER_MESSAGE = 1_000
IDLE_S = 60.0


@dataclass(kw_only=True, slots=True)
class _Waiter:
    """A request that waits for a permit; `refusal` is None if it got one."""

    until: float
    done: trio.Event = field(default_factory=trio.Event)
    refusal: NotRun | None = None

    def finish(self, refusal: NotRun | None) -> None:
        self.refusal = refusal
        self.done.set()


class LimitService:
    """Counts the requests of customers with a limit; others cost nothing.

    `get_customers` returns the active table of customers.
    """

    def __init__(
        self,
        *,
        own_name: str,
        membership: Membership,
        fleet: Fleet,
        channels: LimitChannels,
        nursery: trio.Nursery,
        random: Random,
        get_customers: Callable[[], CustomerTable | None],
        bounds: LimitBounds | None,
    ) -> None:
        self._own_name = own_name
        self._membership = membership
        self._fleet = fleet
        self._channels = channels
        self._nursery = nursery
        self._random = random
        self._get_customers = get_customers
        bounds = bounds or DEFAULT_BOUNDS
        self._view = HostView(
            own=own_name, window_s=bounds.window_s, now=trio.current_time()
        )
        self._counting = Counting(view=self._view, bounds=bounds, random=random)
        self._permits: dict[str, Permits] = {}
        self._waiters: dict[str, deque[_Waiter]] = {}
        self._returns: dict[tuple[str, str], int] = {}
        self._slow_until: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}
        self._table: CustomerTable | None = None
        self._has_limits = False
        self._seen: tuple[int, bool] = (-1, False)
        self._is_leaving = False
        self._inform_at = 0.0
        self._lines = LineLimit()

    # Requests of callers.

    async def admit(self, request: GatewayRequest) -> NotRun | None:
        """Take a permit for a request, or return why there is none."""
        customer = request.customer
        if customer is None or not customer.has_limit:
            return None
        now = trio.current_time()
        self._refresh(now)
        name = customer.name
        refusal: NotRun | None = None
        if self._is_first(name):
            grant = self._decide(customer, 1, now)
            if grant.n:
                return self._record(name, None)
            if grant.is_counting:
                refusal = self._refuse_here(customer, grant)
                return self._record(name, refusal)
        permits = self._permits.get(name)
        if permits is None:
            permits = self._permits[name] = Permits()
        permits.note_demand(now=now)
        if permits.take(now=now):
            return self._record(name, None)
        found = permits.find_refusal(
            rate=customer.rate_per_s, now=now, random=self._random
        )
        if found is not None:
            return self._record(name, self._refuse(customer, *found))
        wait_s = max(MIN_WAIT_S, GOAL_SHARE * (request.goal - now))
        return self._record(name, await self._wait(customer, now + wait_s))

    async def _wait(self, customer: Customer, until: float) -> NotRun | None:
        """Wait for a permit from another host, together with other requests."""
        waiter = _Waiter(until=until)
        waiters = self._waiters.get(customer.name)
        if waiters is None:
            waiters = self._waiters[customer.name] = deque()
            self._nursery.start_soon(self._fetch, customer, waiters)
        waiters.append(waiter)
        try:
            with trio.move_on_at(until):
                await waiter.done.wait()
        except trio.Cancelled:
            if waiter.done.is_set() and waiter.refusal is None:
                # The caller left at the moment at which its request got a permit.
                self._return(customer.name)
            raise
        finally:
            if not waiter.done.is_set():
                waiters.remove(waiter)
        return waiter.refusal if waiter.done.is_set() else _refuse_uncounted("")

    def give_back(self, request: GatewayRequest) -> None:
        """Return the permit of a request that did not run."""
        if request.customer is not None and request.customer.has_limit:
            self._return(request.customer.name)

    def _return(self, name: str) -> None:
        now = trio.current_time()
        self._refresh(now)
        if self._is_first(name):
            self._counting.give_back(name, 1, now=now)
        else:
            key = (self._order(name, now)[0], name)
            self._returns[key] = self._returns.get(key, 0) + 1

    # Permits from other hosts.

    async def _fetch(self, customer: Customer, waiters: deque[_Waiter]) -> None:
        """Ask for permits until no request of the customer waits for one."""
        try:
            while waiters:
                await self._fetch_once(customer, waiters)
        finally:
            del self._waiters[customer.name]

    async def _fetch_once(self, customer: Customer, waiters: deque[_Waiter]) -> None:
        name = customer.name
        permits = self._permits.setdefault(name, Permits())
        hosts = self._order(name, trio.current_time())
        for index, host in enumerate(hosts):
            now = trio.current_time()
            grant: Grant | PermitGrant | None
            if host == self._own_name:
                grant = self._decide(customer, len(waiters), now)
                valid_s, next_s, retry_s = grant.valid_s, grant.next_s, grant.retry_s
            elif not waiters:
                return
            else:
                left = max(waiter.until for waiter in waiters) - now
                if index < len(hosts) - 1:
                    # Leaves time to ask another host.
                    left /= 2
                n_wanted = permits.choose_n_wanted(len(waiters), now=now)
                grant = await self._channels.ask_permits(
                    host,
                    name,
                    min(n_wanted, MAX_PERMITS_PER_MESSAGE),
                    limit=min(ASK_TIMEOUT_S, left),
                )
                now = trio.current_time()
                if grant is None:
                    self._slow_until[host] = now + SLOW_S
                    continue
                valid_s, next_s, retry_s = (
                    ms / 1_000 for ms in (grant.valid_ms, grant.next_ms, grant.retry_ms)
                )
            permits.note_validity(valid_s)
            if grant.n:
                permits.add(grant.n, host=host, expires_at=now + valid_s)
                while waiters and permits.take(now=now):
                    waiters.popleft().finish(None)
                return
            if grant.is_counting:
                permits.note_refusal(
                    Refused(
                        until=now + next_s,
                        retry_at=now + retry_s,
                        host=host,
                        at=now,
                        n_used=grant.n_used,
                    )
                )
                self._refuse_waiters(customer, permits, waiters, retry_s, now)
                return
        while waiters:
            waiters.popleft().finish(_refuse_uncounted(hosts[0]))

    def _refuse_waiters(
        self,
        customer: Customer,
        permits: Permits,
        waiters: deque[_Waiter],
        retry_s: float,
        now: float,
    ) -> None:
        refused = permits.refused
        assert refused is not None
        while waiters:
            waiters.popleft().finish(self._refuse(customer, refused, retry_s))
            found = permits.find_refusal(
                rate=customer.rate_per_s, now=now, random=self._random
            )
            retry_s = found[1] if found else retry_s

    def _order(self, name: str, now: float) -> list[str]:
        """Return the hosts to ask, the counting one first and doubtful ones last."""
        ranked = self._view.rank(name)
        if self._is_leaving and len(ranked) > 1:
            ranked = tuple(host for host in ranked if host != self._own_name)
        doubtful = {
            host
            for host in ranked
            if host != self._own_name
            and (self._slow_until.get(host, 0.0) > now or self._fleet.is_doubtful(host))
        }
        ordered = sorted(ranked, key=lambda host: host in doubtful)
        return ordered[:MAX_ASKED_HOSTS]

    def _is_first(self, name: str) -> bool:
        return not self._is_leaving and self._view.rank(name)[0] == self._own_name

    # Decisions of this host.

    def _decide(self, customer: Customer, n: int, now: float) -> Grant:
        grant = self._counting.decide(customer, n, now=now)
        if grant.n_reserve:
            metrics.limit_reserve.inc(grant.n_reserve)
        self._follow_up(customer, grant, now)
        return grant

    def _follow_up(self, customer: Customer, grant: Grant, now: float) -> None:
        """Start what a decision has shown to be due, and log changes of role."""
        hosts = self._counting.list_handover_hosts(customer.name, now=now)
        if hosts:
            self._nursery.start_soon(self._ask_handover, customer, hosts)
        if not grant.is_counting:
            # This host was asked although another one may count.
            for host in self._view.list_blocking(customer.name, now=now)[:MAX_CHECKS]:
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
                _read_handover(reply),
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
        self._refresh(now)
        match frame.message:
            case PermitRequest(customer=name, n=n):
                reply = self._grant(name, min(n, MAX_PERMITS_PER_MESSAGE), now)
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

    def _grant(self, name: str, n: int, now: float) -> PermitGrant:
        table = self._table
        customer = table.customers.get(name) if table else None
        if customer is not None and not customer.has_limit:
            # The sender has an older version, with a limit that was removed since.
            return _make_grant(n=n, valid_s=TICK_S)
        if customer is None or self._is_leaving:
            return _make_grant(n=0)
        grant = self._decide(customer, n, now)
        return _make_grant(
            n=grant.n,
            valid_s=grant.valid_s,
            next_s=grant.next_s,
            retry_s=grant.retry_s,
            is_counting=grant.is_counting,
            n_used=grant.n_used,
        )

    def _hand_over(
        self, name: str, requester: str, incarnation: int, now: float
    ) -> CountHandover:
        customer = self._find(name)
        if name == ANY_CUSTOMER:
            return self._describe_hosts(now)
        if customer is None:
            # Without this version's customers this host cannot tell who counted.
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
            is_sure=not self._view.is_blind,
            gone=_encode_ages(self._view.list_gone(now=now)),
            n_hosts=self._view.count_hosts(),
        )

    def _find(self, name: str) -> Customer | None:
        """Return a customer of the active table if it has a limit."""
        customer = self._table.customers.get(name) if self._table else None
        return customer if customer is not None and customer.has_limit else None

    # Members, housekeeping and the planned stop.

    async def run(self) -> None:
        """Keep the state up to date until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            self._refresh(now)
            if not self._has_limits:
                continue
            self._view.touch(now=now)
            if self._view.is_blind and now >= self._inform_at:
                self._inform_at = now + INFORM_INTERVAL_S
                self._nursery.start_soon(self._inform)
            self._expire(now)
            self._channels.forget_late(now=now)
            self._log_changes()

    def _refresh(self, now: float) -> None:
        """Apply a new version of the customers, and changes of members."""
        table = self._get_customers()
        if table is not self._table:
            self._table = table
            had_limits = self._has_limits
            self._has_limits = table is not None and any(
                customer.has_limit for customer in table.customers.values()
            )
            if self._has_limits and not had_limits:
                self._view.resume(now=now)
            for permits in self._permits.values():
                permits.refused = None
        seen = (self._membership.changes, self._membership.joined)
        if not self._has_limits or seen == self._seen:
            return
        self._seen = seen
        members = self._membership.members()
        self._view.update(
            {m.name: m.incarnation for m in members if m.may_own},
            {m.name for m in members if m.state is MemberState.LEAVING},
            is_joined=self._membership.joined,
            now=now,
        )
        lost = [host for host, age in self._view.list_gone(now=now) if age < TICK_S]
        for host in [*self._membership.suspects(), *lost]:
            self._check_port(host, now, delay=self._random.random())

    async def _inform(self) -> None:
        """Learn which hosts went silently before this one started.

        One of the hosts found may know. If all of them have started too, those that the
        settings and the store name show whether some are out of reach.
        """
        n_answered, unknown = self._membership.split_hints()
        refused: list[Address] = []

        async def check(address: Address) -> None:
            if await self._channels.is_port_refused(address):
                refused.append(address)

        async with trio.open_nursery() as nursery:
            for address in unknown[:MAX_HINTS_CHECKED]:
                nursery.start_soon(check, address)
        self._view.note_hints(
            n_answered=n_answered, n_silent=len(unknown) - len(refused)
        )
        others = sorted(self._view.live - {self._own_name})
        if not others or not self._view.is_blind:
            return
        host = self._random.choice(others)
        reply = await self._channels.ask_handover(host, ANY_CUSTOMER)
        if reply is not None and reply.is_sure:
            now = trio.current_time()
            gone = _read_handover(reply).gone
            self._view.merge_gone(gone, reply.n_hosts, now=now)
            self._view.is_blind = False

    def _check_port(self, host: str, now: float, *, delay: float) -> None:
        if now - self._checked_at.get(host, -math.inf) < PORT_CHECK_SPACING_S:
            return
        self._checked_at[host] = now
        self._nursery.start_soon(self._run_check, host, delay * PORT_CHECK_SPREAD_S)

    async def _run_check(self, host: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        incarnation = self._view.get_incarnation(host)
        has_ended = await self._channels.has_host_ended(host)
        # A process that started during the check is not the one that ended.
        if has_ended and self._view.get_incarnation(host) == incarnation:
            self._view.note_stopped(host, now=trio.current_time())

    def _expire(self, now: float) -> None:
        """Return unused permits and drop the state of idle customers."""
        for name, permits in list(self._permits.items()):
            for host, n in permits.take_expired(now=now):
                if host == self._own_name:
                    self._counting.give_back(name, n, now=now)
                else:
                    key = (host, name)
                    self._returns[key] = self._returns.get(key, 0) + n
            if now - permits.used_at > IDLE_S and name not in self._waiters:
                del self._permits[name]
        returns, self._returns = self._returns, {}
        for (host, name), n in returns.items():
            n = min(n, MAX_PERMITS_PER_MESSAGE)
            self._channels.send(host, PermitReturn(customer=name, n=n))
        self._counting.prune(now=now)
        self._slow_until = {h: at for h, at in self._slow_until.items() if at > now}

    def replace_bounds(self, bounds: LimitBounds | None) -> None:
        """Apply the bounds of a settings file that was read again."""
        self._counting.replace_bounds(bounds or DEFAULT_BOUNDS)

    def leave(self) -> None:
        """Stop counting and hand the tokens to the next hosts."""
        now = trio.current_time()
        self._refresh(now)
        if len(self._view.live) == 1:
            # Callers are still served for a moment, and no other host can count.
            return
        self._is_leaving = True
        for name, host, tokens in self._counting.leave(self._find, now=now):
            handover = CountHandover(
                customer=name, tokens=tokens, was_counting=True, rank=0, is_sure=True
            )
            self._channels.send(host, handover)
        self._log_changes()

    def list_counts(self) -> list[CountStatus]:
        """Return what this host counts, for its status."""
        return self._counting.list_counts(now=trio.current_time())

    # Refusals and logs.

    def _refuse_here(self, customer: Customer, grant: Grant) -> NotRun:
        now = trio.current_time()
        refused = Refused(
            until=now + grant.next_s,
            retry_at=now + grant.retry_s,
            host=self._own_name,
            at=now,
            n_used=grant.n_used,
        )
        return self._refuse(customer, refused, grant.retry_s)

    def _refuse(self, customer: Customer, refused: Refused, retry_s: float) -> NotRun:
        now = trio.current_time()
        n_dropped = self._lines.take(now=now)
        if n_dropped is not None:
            log_decision(
                logger,
                "limit reached",
                request_id=None,
                customer=customer.name,
                rate_per_s=customer.rate_per_s,
                burst=customer.burst,
                n_used=refused.n_used,
                window_s=self._view.window_s,
                host=refused.host,
                age_ms=round((now - refused.at) * 1_000),
                n_dropped=n_dropped,
            )
        return NotRun(
            step=Step.ADMIT,
            peer=refused.host,
            reason=Reason.OVER_LIMIT,
            retry_after_ms=math.ceil(retry_s * 1_000),
        )

    def _record(self, name: str, refusal: NotRun | None) -> NotRun | None:
        label = metrics.label_customer(name)
        if refusal is None:
            metrics.limit_admitted.labels(label).inc()
        else:
            metrics.limit_refused.labels(label, refusal.reason.value).inc()
        return refusal

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


def _refuse_uncounted(host: str) -> NotRun:
    """Return the refusal if no host that counts was reached: another one may be."""
    return NotRun(
        step=Step.ADMIT,
        peer=host,
        reason=Reason.NOT_READY,
        retry_after_ms=NOT_COUNTED_RETRY_MS,
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


def _read_handover(message: CountHandover) -> Handover:
    return Handover(
        tokens=message.tokens,
        was_counting=message.was_counting,
        rank=message.rank,
        is_sure=message.is_sure,
        gone=tuple((host, age_ms / 1_000) for host, age_ms in message.gone),
        n_hosts=message.n_hosts,
    )
