"""Admission of whole queries on a host: an adaptive limit on concurrent queries."""

from dataclasses import dataclass

from ..state.customers import NO_CUSTOMER, Precedence
from ..state.outcome import NotRun, Reason, Step
from .calls import Call
from .progress import Progress
from .waiting import WaitingCalls

# A query has calls to every group. If each group refused calls on its own, at twice the
# capacity each would refuse a different half, and hardly any query would be complete.
# So whole queries are admitted or refused, and refusals by groups only adjust the
# limit.

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 10_000.0
LIMIT_INCREASE = 0.5
LIMIT_DECREASE_FACTOR = 0.85
# A query whose median shard took more than this share of the deadline has met queues. A
# lower share would mistake the latency of slow services for queueing.
SLOW_DEADLINE_SHARE = 0.5
# A query may wait in the queue for this share of its time. With more, it would start
# too late, and a refusal would reach its caller too late.
MAX_WAIT_SHARE = 0.25
INITIAL_ELAPSED_S = 0.02
ELAPSED_GAIN = 0.1
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """The query may start now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """The query is queued until `pop_ready` returns it or `leave_queue` removes it."""

    number: int


class QueryLimiter:
    """Limits the queries of one service that run at once on this host.

    The limit grows slowly while queries are complete and in time. It shrinks when a
    group refused part of a query, or when the median shard was slow, which is a sign of
    queues and not of one straggler. Each host adjusts its limit alone; together they
    converge to busy slots and short queues (additive increase, multiplicative
    decrease).

    Services of one host share its processor. If that is the bottleneck, all limits
    shrink alike and grow in proportion to their `weight`, so that the services' shares
    approach their weights, whatever their numbers of callers.

    Waiting queries are in the order of waiting calls: by priority, fair among customers
    by their weights, and then first come, first served.

    >>> limiter = QueryLimiter()
    >>> limiter.enter(now=0.0, left=0.28)
    Admitted()
    >>> limiter.leave(now=0.02, started=0.0, is_congested=False)
    >>> limiter.n_running
    0
    """

    def __init__(self, *, weight: float = 1.0) -> None:
        self.weight = weight
        self.n_running = 0
        self.limit = INITIAL_LIMIT
        self._mean_elapsed = INITIAL_ELAPSED_S
        self._queue = WaitingCalls()
        self._queued: dict[int, Progress] = {}
        self._last_number = 0
        self._last_cut_at: float | None = None

    def enter(
        self, *, now: float, left: float, precedence: Precedence = NO_CUSTOMER
    ) -> Admitted | Queued | NotRun:
        """Admit or queue a query with `left` seconds to its deadline, or refuse it."""
        if not self._queue and self.n_running < self._get_limit():
            self.n_running += 1
            return Admitted()
        call = _make_call(self._last_number + 1, precedence)
        # Little's law, from the limit and the mean time of queries. A measured arrival
        # rate would drop in a quiet hour, and the next burst of callers would be
        # refused.
        wait = (
            (self._queue.count_ahead(call) + 1) * self._mean_elapsed / self._get_limit()
        )
        if wait > left * MAX_WAIT_SHARE:
            return NotRun(
                step=Step.ADMIT,
                peer="",
                reason=Reason.OVERLOADED,
                retry_after_ms=_bound_retry_after(wait),
            )
        self._last_number = call.call_id
        progress = self._queued[call.call_id] = Progress(
            call=call, may_hedge=lambda: False
        )
        self._queue.add(progress)
        return Queued(number=call.call_id)

    def leave(self, *, now: float, started: float, is_congested: bool) -> None:
        """Record the end of a query admitted at `started`."""
        was_full = self.n_running >= self._get_limit()
        self.n_running -= 1
        # Congested queries count too: if all are congested, there are no others, and
        # waits would be underestimated.
        self._mean_elapsed += ELAPSED_GAIN * (now - started - self._mean_elapsed)
        if is_congested:
            self._cut_limit(now, started)
            return
        # The limit grows only when it was reached: an unused limit does not show that a
        # larger one would work.
        if was_full:
            # Until the first congestion the limit doubles with each round, as callers
            # may arrive all at once. After it the limit grows slowly.
            step = self.weight * LIMIT_INCREASE / self.limit
            if self._last_cut_at is None:
                step = 1.0
            self.limit = min(MAX_LIMIT, self.limit + step)

    def _cut_limit(self, now: float, started: float) -> None:
        # Queries admitted before the last cut met the old limit. If each of them cut it
        # again, one period of congestion would reduce it to the minimum.
        if self._last_cut_at is not None and started < self._last_cut_at:
            return
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
        self._last_cut_at = now

    def leave_queue(self, number: int) -> None:
        """Remove a waiting query whose caller left or whose time is up."""
        self._queue.discard(self._queued.pop(number))

    def pop_ready(self) -> int | None:
        """Return a waiting query that may start now and count it as running."""
        if not self._queue or self.n_running >= self._get_limit():
            return None
        progress = next(iter(self._queue))
        self._queue.take(progress)
        del self._queued[progress.call.call_id]
        self.n_running += 1
        return progress.call.call_id

    def _get_limit(self) -> int:
        return int(self.limit)


def _make_call(number: int, precedence: Precedence) -> Call:
    """Return a call that stands for a whole query in the queue.

    All have one deadline, so that those of one customer are first come, first served.
    """
    return Call(
        call_id=number,
        request_id="",
        service="",
        group="",
        shard="",
        version=0,
        deadline=0.0,
        body=b"",
        idempotent=True,
        priority=precedence.priority,
        customer=precedence.customer,
        weight=precedence.weight,
    )


def is_slow(times: list[float], *, limit: float) -> bool:
    """Return whether the median of the shards' times shows queueing.

    `times` and `limit` (the query's whole time) are in seconds.

    >>> is_slow([0.01, 0.02, 0.25], limit=0.28), is_slow([0.2, 0.2, 0.2], limit=0.28)
    (False, True)
    """
    if not times:
        return False
    return sorted(times)[len(times) // 2] > limit * SLOW_DEADLINE_SHARE


def _bound_retry_after(wait: float) -> int:
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, int(wait * 2_000)))
