"""Admits the requests of customers within their limits over all hosts together."""

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import trio

from .. import metrics
from ..coordination.limits.permits import Permits, Refused
from ..coordination.linelimit import LineLimit
from ..logs import Category, get_logger, log_decision
from ..protocol.messages import (
    PermitGrant,
    PermitReturn,
)
from ..state.customers import Customer, CustomerTable
from ..state.outcome import NotRun, Reason, Step
from .counting import MAX_PERMITS_PER_MESSAGE, CountingService
from .fleet import Fleet
from .limitchannels import LimitChannels, wait_at_most

logger = get_logger(Category.LIMITS)

ASK_TIMEOUT_S = 0.025
# A customer beyond its limit causes these lines; the counters have all refusals.
REFUSED_LINES_PER_S = 5
MIN_WAIT_S = 0.005
GOAL_SHARE = 0.5
"""The part of the time to the goal for which a request waits for its permit.

The first host has half of it to answer. A request that is refused because a busy host
answers late loses more than one that waits.
"""

MAX_ASKED_HOSTS = 3
NOT_COUNTED_RETRY_MS = 50
TICK_S = 0.1
IDLE_TICK_S = 1.0
"""While no customer has a limit; a request of one that has takes effect at once."""

SLOW_S = 0.25
"""How long a host that did not reply in time is asked after the others."""

IDLE_S = 60.0


class LimitedRequest(Protocol):
    """What is needed of a request; `goal` is in seconds on the loop's clock."""

    @property
    def customer(self) -> Customer | None:
        """The customer, or None if the request is not counted."""

    @property
    def goal(self) -> float:
        """When the answer is wanted."""


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
    """Admits requests with permits from the counting hosts, held or asked for.

    Requests of customers without a limit pass without any state.
    """

    def __init__(
        self,
        *,
        counting: CountingService,
        fleet: Fleet,
        channels: LimitChannels,
        nursery: trio.Nursery,
        random: Random,
    ) -> None:
        self._counting = counting
        self._fleet = fleet
        self._channels = channels
        self._nursery = nursery
        self._random = random
        self._permits: dict[str, Permits] = {}
        self._waiters: dict[str, deque[_Waiter]] = {}
        self._returns: dict[tuple[str, str], int] = {}
        self._slow_until: dict[str, float] = {}
        self._table: CustomerTable | None = None
        self._lines = LineLimit(n_lines=REFUSED_LINES_PER_S)

    # Requests of callers.

    async def admit(self, request: LimitedRequest) -> NotRun | None:
        """Take a permit for a request, or return why there is none."""
        customer = request.customer
        if customer is None or not customer.has_limit:
            return None
        now = trio.current_time()
        self._refresh(now)
        name = customer.name
        if self._counting.is_first(name):
            grant = self._counting.grant(customer, 1, now)
            if grant.n:
                return self._record(name, None)
            if grant.is_counting:
                refused = _make_refused(self._counting.own_name, grant)
                retry_s = grant.retry_ms / 1_000
                return self._record(name, self._refuse(customer, refused, retry_s))
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
            await wait_at_most(waiter.done, until=until)
        except trio.Cancelled:
            if waiter.done.is_set() and waiter.refusal is None:
                # The caller left at the moment at which its request got a permit.
                self._return(customer.name)
            raise
        finally:
            if not waiter.done.is_set():
                waiters.remove(waiter)
        return waiter.refusal if waiter.done.is_set() else _refuse_uncounted("")

    def give_back(self, request: LimitedRequest) -> None:
        """Return the permit of a request that did not run."""
        if request.customer is not None and request.customer.has_limit:
            self._return(request.customer.name)

    def _return(self, name: str) -> None:
        now = trio.current_time()
        self._refresh(now)
        if self._counting.is_first(name):
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
        for n_left, host in zip(range(len(hosts), 0, -1), hosts, strict=True):
            if not waiters:
                return
            now = trio.current_time()
            if now >= max(waiter.until for waiter in waiters):
                # This process was busy. The waiting requests end by themselves.
                break
            grant = await self._ask(host, permits, customer, waiters, n_left)
            now = trio.current_time()
            if grant is None:
                self._slow_until[host] = now + SLOW_S
                continue
            valid_s = grant.valid_ms / 1_000
            permits.note_validity(valid_s)
            if grant.n:
                permits.add(grant.n, host=host, expires_at=now + valid_s)
                while waiters and permits.take(now=now):
                    waiters.popleft().finish(None)
                return
            if grant.is_counting:
                refused = _make_refused(host, grant)
                permits.note_refusal(refused)
                self._refuse_waiters(customer, permits, refused, waiters)
                return
        while waiters:
            waiters.popleft().finish(_refuse_uncounted(hosts[0]))

    async def _ask(
        self,
        host: str,
        permits: Permits,
        customer: Customer,
        waiters: deque[_Waiter],
        n_left: int,
    ) -> PermitGrant | None:
        """Ask one host, and leave time to ask the others of `n_left`."""
        now = trio.current_time()
        if host == self._counting.own_name:
            return self._counting.grant(customer, len(waiters), now)
        left = max(waiter.until for waiter in waiters) - now
        n_wanted = permits.choose_n_wanted(len(waiters), now=now)
        return await self._channels.ask_permits(
            host,
            customer.name,
            min(n_wanted, MAX_PERMITS_PER_MESSAGE),
            limit=min(ASK_TIMEOUT_S, left if n_left == 1 else left / 2),
        )

    def _refuse_waiters(
        self,
        customer: Customer,
        permits: Permits,
        refused: Refused,
        waiters: deque[_Waiter],
    ) -> None:
        retry_s = refused.retry_at - refused.at
        while waiters:
            waiters.popleft().finish(self._refuse(customer, refused, retry_s))
            found = permits.find_refusal(
                rate=customer.rate_per_s, now=refused.at, random=self._random
            )
            retry_s = found[1] if found else retry_s

    def _order(self, name: str, now: float) -> list[str]:
        """Return the hosts to ask, the counting one first and doubtful ones last."""
        ranked = self._counting.view.rank(name)
        if self._counting.is_leaving and len(ranked) > 1:
            ranked = tuple(host for host in ranked if host != self._counting.own_name)
        doubtful = {
            host
            for host in ranked
            if host != self._counting.own_name
            and (self._slow_until.get(host, 0.0) > now or self._fleet.is_doubtful(host))
        }
        ordered = sorted(ranked, key=lambda host: host in doubtful)
        return ordered[:MAX_ASKED_HOSTS]

    # Housekeeping.

    async def run(self) -> None:
        """Keep the state up to date until cancelled."""
        while True:
            await trio.sleep(TICK_S if self._counting.has_limits else IDLE_TICK_S)
            now = trio.current_time()
            self._refresh(now)
            if not self._counting.has_limits:
                continue
            self._counting.advance(now=now)
            self._expire(now)
            self._channels.forget_late(now=now)

    def _refresh(self, now: float) -> None:
        self._counting.refresh(now)
        if self._counting.table is not self._table:
            # What was refused under an older limit may be allowed now.
            self._table = self._counting.table
            for permits in self._permits.values():
                permits.refused = None

    def _expire(self, now: float) -> None:
        """Return unused permits and drop the state of idle customers."""
        for name, permits in list(self._permits.items()):
            for host, n in permits.take_expired(now=now):
                if host == self._counting.own_name:
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
        self._slow_until = {h: at for h, at in self._slow_until.items() if at > now}

    # Refusals and logs.

    def _refuse(self, customer: Customer, refused: Refused, retry_s: float) -> NotRun:
        now = trio.current_time()
        n_dropped = self._lines.admit(now=now)
        if n_dropped is not None:
            log_decision(
                logger,
                "limit reached",
                request_id=None,
                customer=customer.name,
                rate_per_s=customer.rate_per_s,
                burst=customer.burst,
                n_used=refused.n_used,
                window_s=self._counting.view.window_s,
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


def _make_refused(host: str, grant: PermitGrant) -> Refused:
    now = trio.current_time()
    return Refused(
        until=now + grant.next_ms / 1_000,
        retry_at=now + grant.retry_ms / 1_000,
        host=host,
        at=now,
        n_used=grant.n_used,
    )


def _refuse_uncounted(host: str) -> NotRun:
    """Return the refusal if no host that counts was reached: another one may be."""
    return NotRun(
        step=Step.ADMIT,
        peer=host,
        reason=Reason.NOT_READY,
        retry_after_ms=NOT_COUNTED_RETRY_MS,
    )
