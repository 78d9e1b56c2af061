"""Admission of whole queries where callers arrive: few at once, the rest refused."""

from collections import deque
from dataclasses import dataclass

from ..state.outcome import NotRun, Reason, Step

# A query touches every group. If each group refused on its own, at twice the
# capacity each would refuse another half of the calls and no query would be whole.
# So queries are admitted as a whole, and the groups' refusals only steer how many.
FIRST_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 10_000.0
INCREASE = 0.5
DECREASE = 0.85
# A median shard that took this share of the deadline has waited in queues. A lower
# share would take the service time of slow services for a queue.
SLOW_SHARE = 0.5
# A query may expect to wait at the gate for this share of its time. With more, it
# would enter too late, and whoever has to be refused after all is told too late.
WAIT_SHARE = 0.25
FIRST_ELAPSED = 0.02
ELAPSED_GAIN = 0.1
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Entered:
    """The query may start now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """The query is in the queue; `pop_ready` will name it, or `leave_queue` it goes."""

    number: int


class Gate:
    """How many queries of one service run at once from this host.

    The limit grows slowly while queries come back whole and in time, and shrinks
    when a group refused part of one or its shards were slow in the median, which is
    the sign of queues and not of one straggler. All hosts do so alone; together they
    settle where the slots are busy and queues are short, without talking to each
    other (additive increase, multiplicative decrease).

    Services of one host share its processor. When that is what is short, all their
    gates shrink alike and grow in the proportion of their `weight`, so that their
    shares come to stand as their weights do, whoever has more callers.

    >>> gate = Gate()
    >>> gate.enter(now=0.0, left=0.28)
    Entered()
    >>> gate.leave(now=0.02, started=0.0, is_congested=False)
    >>> gate.n_running
    0
    """

    def __init__(self, *, weight: float = 1.0) -> None:
        self.weight = weight
        self.n_running = 0
        self.limit = FIRST_LIMIT
        self._elapsed = FIRST_ELAPSED
        self._queue: deque[int] = deque()
        self._gone: set[int] = set()
        self._last_number = 0
        self._shrunk_at: float | None = None

    def enter(self, *, now: float, left: float) -> Entered | Waiting | NotRun:
        """Take a query with `left` seconds to its deadline, or refuse it at once."""
        n_ahead = len(self._queue) - len(self._gone)
        if n_ahead == 0 and self.n_running < self._get_room():
            self.n_running += 1
            return Entered()
        # Little's law; counting arrivals instead would forget during a quiet hour
        # what the slots can do, and refuse the callers who then come all at once.
        wait = (n_ahead + 1) * self._elapsed / self._get_room()
        if wait > left * WAIT_SHARE:
            return NotRun(
                step=Step.ADMIT,
                peer="",
                reason=Reason.OVERLOADED,
                retry_after_ms=_bound_retry_after(wait),
            )
        self._last_number += 1
        self._queue.append(self._last_number)
        return Waiting(number=self._last_number)

    def leave(self, *, now: float, started: float, is_congested: bool) -> None:
        """Note the end of a query that had entered at `started`."""
        was_full = self.n_running >= self._get_room()
        self.n_running -= 1
        # Also from congested ones: when all are, nothing else tells how long a place
        # is held, and callers would wait for one that does not come in time.
        self._elapsed += ELAPSED_GAIN * (now - started - self._elapsed)
        if is_congested:
            self._shrink(now, started)
            return
        # An unused limit proves nothing about a larger one.
        if was_full:
            # Until the first sign of queues the limit doubles with each round, since
            # callers come all at once; from then on it feels its way.
            step = self.weight * INCREASE / self.limit
            if self._shrunk_at is None:
                step = 1.0
            self.limit = min(MAX_LIMIT, self.limit + step)

    def _shrink(self, now: float, started: float) -> None:
        # Queries that entered before the last cut tell of the time before it; each
        # of them would cut again, down to nothing.
        if self._shrunk_at is not None and started < self._shrunk_at:
            return
        self.limit = max(MIN_LIMIT, self.limit * DECREASE)
        self._shrunk_at = now

    def leave_queue(self, number: int) -> None:
        """Forget a waiting query, whose caller left or whose time is up."""
        self._gone.add(number)

    def pop_ready(self) -> int | None:
        """Return a waiting query that may start now, counted as running."""
        while self._queue and self.n_running < self._get_room():
            number = self._queue.popleft()
            if number in self._gone:
                self._gone.discard(number)
                continue
            self.n_running += 1
            return number
        return None

    def _get_room(self) -> int:
        return int(self.limit)


def is_slow(times: list[float], *, limit: float) -> bool:
    """Tell whether the median of the shards' times speaks of queues.

    `times` and `limit` (the query's whole time) are in seconds.

    >>> is_slow([0.01, 0.02, 0.25], limit=0.28), is_slow([0.2, 0.2, 0.2], limit=0.28)
    (False, True)
    """
    if not times:
        return False
    return sorted(times)[len(times) // 2] > limit * SLOW_SHARE


def _bound_retry_after(wait: float) -> int:
    return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, int(wait * 2_000)))
