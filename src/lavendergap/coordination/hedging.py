"""When a second attempt is worth its cost: recent latencies and their quantiles."""

from collections import deque
from math import inf

from ..state.settings import Service

# 256 calls see a quantile of 0.95 from 13 of them, and forget a slow spell within
# seconds at the rates that our users run.
WINDOW = 256
# Fewer calls than this tell nothing. With them, quartiles bound what the quantile of
# so few makes of one straggler, and a new owner hedges within its first moments.
MIN_SAMPLES = 8
# Sorting the window for each call would cost more than the rest of the decision.
REFRESH_EVERY = 16
# With a few stragglers more than usual among the last calls, the quantile is the time
# of a straggler, and hedging would wait for what it is there to avoid. Neither the
# median nor the third quartile is moved by them. So far beyond these a call is hedged
# whatever the quantile; of exponential service times 8 in 1,000 are longer.
FENCE_DISTANCES = 5.0
FENCE_MEDIANS = 2.0
# Kinds that are measured at a time; more than an operator has routes with calls in one
# minute. Beyond it the one that was used longest ago is measured anew.
MAX_KINDS = 256
# A call that has taken this many medians straggles, whatever the quantile says.
STRAGGLER_RATIO = 2.0
# Before this share of the time to its goal has passed, a call with one is not hedged:
# most of those that are merely slow answer by themselves by then, and from then on a
# second call has twice the time that it needs.
HEDGE_GOAL_SHARE = 0.35
# By this share of it a call is hedged, if that is ever to help: a second call has as
# long as the first has had. With a sixth of the servers slow and hosts busy, the
# quantile rose to 60 to 90 ms of a goal of 82, and hedges came when nothing was left.
LATEST_HEDGE_SHARE = 0.5
# The share of the budget that hedges use on average; see docs/design/hedging.md.
BUDGET_USE = 0.6


def choose_quantile(service: Service) -> float:
    """Choose the quantile of latency after which a call is hedged.

    A quantile of 0.95 and a budget of 0.05 would spend the budget to the last token
    on calls that are merely slower than most, and a real straggler would find it
    empty. So the delay is long enough that ordinary hedges leave some of it over.
    """
    return max(service.hedge_after_quantile, 1.0 - BUDGET_USE * service.hedge_budget)


class RecentLatencies:
    """The latencies of the last calls of a group, in seconds.

    A cancelled attempt counts with the time it had taken so far. Without it the
    stragglers that hedging cuts short would be missing from the window, the quantile
    would sink towards the median, and hedging would feed itself.

    >>> recent = RecentLatencies(quantile=0.9)
    >>> recent.delay is None
    True
    >>> for n in range(1, 101):
    ...     recent.add(n / 1000)
    >>> recent.delay
    0.087
    """

    __slots__ = ("quantile", "delay", "median", "mean", "_samples", "_n_new")

    def __init__(self, *, quantile: float) -> None:
        self.quantile = quantile
        self.delay: float | None = None
        self.median: float | None = None
        self.mean: float | None = None
        self._samples: deque[float] = deque(maxlen=WINDOW)
        self._n_new = 0

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, latency: float) -> None:
        """Count one attempt's latency; the quantiles follow after 8, then every 16."""
        self._samples.append(latency)
        self._n_new += 1
        if self._n_new >= REFRESH_EVERY:
            self._n_new = 0
            self._refresh()
        elif len(self._samples) == MIN_SAMPLES:
            self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._samples)
        n = len(ordered)
        self.mean = sum(ordered) / n
        self.median = ordered[n // 2]
        if n >= MIN_SAMPLES:
            quantile = ordered[min(n - 1, int(n * self.quantile))]
            self.delay = min(quantile, _compute_fence(self.median, ordered[3 * n // 4]))


def choose_hedge_delay(recent: RecentLatencies, *, left: float) -> float:
    """Return how long an attempt may take, with `left` seconds to its call's goal.

    Without a goal (`left` of 0 or less) the latencies decide alone, and nothing is
    hedged while they are unknown.

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
        # Among 77 hosts each sees a lookup of one record in 12 s. Waiting for eight of
        # them, none was hedged, and a slow server held some to the end.
        return latest
    # Where the goal is shorter than two calls, no hedge is of help to most.
    latest = max(latest, STRAGGLER_RATIO * (recent.median or 0.0))
    return min(latest, max(recent.delay, HEDGE_GOAL_SHARE * left))


class KindLatencies:
    """The latencies of each kind of call, of all groups of this host together.

    A library's shards are cut alike, so that what one of them takes tells what the
    others will. A group by itself sees few calls where there are many groups, and
    short ones beside long ones: a quick look of 4 ms was held against the quantile of
    searches of 11 ms, and hedged after 20 to 30 ms of the 33 that it had.

    >>> kinds = KindLatencies()
    >>> kinds.get("quick look", quantile=0.9) is kinds.get("quick look", quantile=0.9)
    True
    """

    __slots__ = ("_kinds",)

    def __init__(self) -> None:
        self._kinds: dict[str, RecentLatencies] = {}

    def get(self, kind: str, *, quantile: float) -> RecentLatencies:
        """Return the latencies of a kind, and note that it is in use."""
        recent = self._kinds.pop(kind, None)
        if recent is None:
            recent = RecentLatencies(quantile=quantile)
            if len(self._kinds) >= MAX_KINDS:
                del self._kinds[next(iter(self._kinds))]
        recent.quantile = quantile
        self._kinds[kind] = recent
        return recent


def _compute_fence(median: float, third_quartile: float) -> float:
    """Return the time beyond which a call is a straggler, whatever the quantile."""
    fence = third_quartile + FENCE_DISTANCES * (third_quartile - median)
    return max(fence, FENCE_MEDIANS * median)
