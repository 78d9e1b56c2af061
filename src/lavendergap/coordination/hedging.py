"""When to send a hedge: recent latencies and their quantiles."""

from bisect import bisect_left, insort
from collections import deque
from math import inf

from ..state.settings import Service

# Large enough for 13 calls beyond a quantile of 0.95, and small enough that a slow
# period is forgotten within seconds at usual rates.
MAX_SAMPLES = 256
# Fewer calls give no usable quantile. With this many, the quartiles bound the effect of
# one straggler, and a new owner can hedge soon.
MIN_SAMPLES = 8
# Summing the window for each call would be too expensive.
SAMPLES_PER_REFRESH = 16
# A few more stragglers than usual would raise the quantile to a straggler's latency,
# and hedges would come too late. The median and the third quartile are robust to them,
# so a call is hedged this far beyond them whatever the quantile. Of exponentially
# distributed latencies, 8 in 1,000 are longer.
FENCE_QUARTILE_FACTOR = 5.0
FENCE_MEDIAN_FACTOR = 2.0
# More than an operator has routes in use at a time. Beyond it the least recently used
# kind is dropped.
MAX_KINDS = 256
# A call that has taken this many medians is a straggler, whatever the quantile.
STRAGGLER_MEDIAN_FACTOR = 2.0
# A call with a goal is not hedged before this share of the time to it. Most calls that
# are merely slow have answered by then, and a hedge still has enough time.
EARLIEST_HEDGE_SHARE = 0.35
# A call with a goal is hedged by this share of the time to it. The quantile alone may
# be so high that a hedge would come too late to help: with a sixth of the servers slow
# and hosts busy, it rose to 60 to 90 ms of a goal of 82 ms.
LATEST_HEDGE_SHARE = 0.5
# The share of the budget that ordinary hedges use; see docs/design/hedging.md.
BUDGET_USE_SHARE = 0.6


def choose_quantile(service: Service) -> float:
    """Return the quantile of latency after which a call is hedged.

    With a quantile of 0.95 and a budget of 0.05, calls that are slightly slower than
    most would use the whole budget and leave nothing for stragglers. So the quantile is
    high enough that ordinary hedges leave some of the budget.
    """
    return max(
        service.hedge_after_quantile, 1.0 - BUDGET_USE_SHARE * service.hedge_budget
    )


class RecentLatencies:
    """The latencies of recent calls, in seconds.

    A cancelled attempt counts with the time it had taken so far. Otherwise the
    stragglers that hedges cut short would be missing, the quantile would sink towards
    the median, and there would be ever more hedges.

    >>> recent = RecentLatencies(quantile=0.9)
    >>> recent.delay is None
    True
    >>> for n in range(1, 101):
    ...     recent.add(n / 1000)
    >>> recent.delay
    0.087
    """

    __slots__ = (
        "quantile",
        "delay",
        "median",
        "mean",
        "_samples",
        "_ordered",
        "_n_new",
    )

    def __init__(self, *, quantile: float) -> None:
        self.quantile = quantile
        self.delay: float | None = None
        self.median: float | None = None
        self.mean: float | None = None
        self._samples: deque[float] = deque()
        # The same in ascending order. Kept so, as sorting them for each refresh costs
        # more than the rest.
        self._ordered: list[float] = []
        self._n_new = 0

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, latency: float) -> None:
        """Record one latency; quantiles are updated after 8, then after every 16."""
        ordered = self._ordered
        if len(ordered) == MAX_SAMPLES:
            del ordered[bisect_left(ordered, self._samples.popleft())]
        self._samples.append(latency)
        insort(ordered, latency)
        self._n_new += 1
        if self._n_new >= SAMPLES_PER_REFRESH:
            self._n_new = 0
            self._refresh()
        elif len(self._samples) == MIN_SAMPLES:
            self._refresh()

    def _refresh(self) -> None:
        ordered = self._ordered
        n = len(ordered)
        self.mean = sum(ordered) / n
        self.median = ordered[n // 2]
        if n >= MIN_SAMPLES:
            quantile = ordered[min(n - 1, int(n * self.quantile))]
            self.delay = min(quantile, _compute_fence(self.median, ordered[3 * n // 4]))


def choose_hedge_delay(recent: RecentLatencies, *, left: float) -> float:
    """Return the seconds after the start of an attempt at which to hedge it.

    `left` is the time from that start to the goal. Without a goal (0 or less) only the
    latencies decide, and nothing is hedged while they are unknown.

    >>> recent = RecentLatencies(quantile=0.9)
    >>> choose_hedge_delay(recent, left=0.08), choose_hedge_delay(recent, left=0.0)
    (0.04, inf)
    >>> for _ in range(8):
    ...     recent.add(0.010)
    >>> round(choose_hedge_delay(recent, left=0.08), 3)
    0.028
    """
    if left <= 0.0:
        return inf if recent.delay is None else recent.delay
    latest = LATEST_HEDGE_SHARE * left
    if recent.delay is None:
        # Where each host rarely sees such a call, waiting for enough latencies would
        # mean that none is hedged. Among 77 hosts, each had a lookup of one record
        # every 12 s.
        return latest
    # If the goal is less than two usual calls away, few hedges would answer by it.
    latest = max(latest, STRAGGLER_MEDIAN_FACTOR * (recent.median or 0.0))
    return min(latest, max(recent.delay, EARLIEST_HEDGE_SHARE * left))


class KindLatencies:
    """The latencies of each kind of call, over all groups of this host.

    Shards are of similar size, so the latencies of one hold for the others. A single
    group may see too few calls, and short calls next to long ones: compared with the
    quantile of long calls, a short one would be hedged too late. Lookups of 4 ms, next
    to searches of 11 ms, were hedged after 20 to 30 ms of the 33 ms that they had.

    >>> kinds = KindLatencies()
    >>> kinds.get("quick look", quantile=0.9) is kinds.get("quick look", quantile=0.9)
    True
    """

    __slots__ = ("_kinds", "_last_kind", "_last")

    def __init__(self) -> None:
        self._kinds: dict[str, RecentLatencies] = {}
        self._last_kind = ""
        self._last: RecentLatencies | None = None

    def get(self, kind: str, *, quantile: float) -> RecentLatencies:
        """Return the latencies of a kind and mark it as the last used."""
        recent = self._last
        if recent is None or kind != self._last_kind:
            recent = self._kinds.pop(kind, None)
            if recent is None:
                recent = RecentLatencies(quantile=quantile)
                if len(self._kinds) >= MAX_KINDS:
                    del self._kinds[next(iter(self._kinds))]
            self._kinds[kind] = recent
            self._last_kind, self._last = kind, recent
        recent.quantile = quantile
        return recent


def _compute_fence(median: float, third_quartile: float) -> float:
    """Return the latency beyond which a call is a straggler."""
    fence = third_quartile + FENCE_QUARTILE_FACTOR * (third_quartile - median)
    return max(fence, FENCE_MEDIAN_FACTOR * median)
