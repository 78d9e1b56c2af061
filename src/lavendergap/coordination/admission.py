"""Admission of calls to a group's queue."""

from dataclasses import dataclass
from zlib import crc32

from .hedging import RecentLatencies

# Bounds on the delay suggested to a refused caller. It should return once the queue has
# been served: an immediate return would repeat the same load.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 5.0
# Between the planned returns of two refused callers.
MIN_RETURN_INTERVAL_S = 0.001
# Longer than a deadline, as the queue absorbs shorter bursts, and short enough to
# follow a rise in load.
ARRIVAL_WINDOW_S = 0.5
# With fewer calls in two windows the rate is 0, as they may be a single burst.
MIN_ARRIVALS = 20
TARGET_WAIT_SHARE = 0.15
WAIT_SHARE_GAIN = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """The slots that can be used now, or the time until the first one can be.

    `opens_in` is in seconds, and 0 unless `n_slots` is 0. With `is_cold` all servers
    are cold and take only a few requests a second, so that calls are not queued.
    """

    n_slots: int
    opens_in: float
    is_cold: bool = False


class ArrivalRate:
    """The rate of calls a second over the last half to one second.

    It is 0 while there are too few calls to distinguish a rate from a burst.

    >>> arrivals = ArrivalRate()
    >>> for n in range(100):
    ...     arrivals.add(now=n / 100)
    >>> round(arrivals.rate, -1)
    100.0
    """

    __slots__ = ("rate", "_window_began", "_n_in_window", "_n_in_last_window")

    def __init__(self) -> None:
        self.rate = 0.0
        self._window_began = 0.0
        self._n_in_window = 0
        self._n_in_last_window = 0

    def add(self, *, now: float) -> None:
        """Count one call."""
        elapsed = now - self._window_began
        if elapsed >= ARRIVAL_WINDOW_S:
            is_next = elapsed < 2 * ARRIVAL_WINDOW_S
            self._n_in_last_window = self._n_in_window if is_next else 0
            self._n_in_window = 0
            self._window_began = (
                self._window_began + ARRIVAL_WINDOW_S if is_next else now
            )
            elapsed = now - self._window_began
        self._n_in_window += 1
        n_calls = self._n_in_last_window + self._n_in_window
        is_enough = n_calls >= MIN_ARRIVALS
        self.rate = n_calls / (ARRIVAL_WINDOW_S + elapsed) if is_enough else 0.0


def compute_admitted_share(*, demand: float, wait_share: float) -> float:
    """Return the share of calls to admit, from 0 to 1.

    `demand` is the offered load as a multiple of the capacity. `wait_share` is the
    expected wait as a share of the time that a new call has. As neither estimate is
    exact, the share that `demand` gives is corrected until the wait settles at
    `TARGET_WAIT_SHARE`: long enough to keep all slots busy, and short enough for
    admitted calls to finish in time.

    >>> compute_admitted_share(demand=0.8, wait_share=0.0)
    1.0
    >>> compute_admitted_share(demand=2.0, wait_share=TARGET_WAIT_SHARE)
    0.5
    """
    correction = 1.0 + WAIT_SHARE_GAIN * (TARGET_WAIT_SHARE - wait_share)
    return min(1.0, max(0.0, correction / max(demand, 1e-9)))


def compute_rank(request_id: str) -> float:
    """Return the rank of a request between 0 and 1, the same in every process.

    Under overload each group admits the calls with a rank below its share. If each
    group drew its calls independently, hardly any query over many groups would be
    complete: over 20 groups that each admit half, one in a million. With one rank for
    all calls of a query, the groups admit the same queries.

    >>> compute_rank("r-1") == compute_rank("r-1")
    True
    """
    return crc32(request_id.encode()) / 2**32


def estimate_wait(n_ahead: int, *, capacity: Capacity, service_time: float) -> float:
    """Estimate how long a new call waits for a slot, in seconds.

    While all slots are busy, one is freed every `service_time / n_slots` on average,
    and the calls ahead take the first ones.

    >>> two_slots = Capacity(n_slots=2, opens_in=0.0)
    >>> estimate_wait(3, capacity=two_slots, service_time=0.010)
    0.02
    """
    n_slots = max(1, capacity.n_slots)
    return capacity.opens_in + (n_ahead + 1) * service_time / n_slots


def compute_retry_after_ms(wait: float, spread: float) -> int:
    """Convert a wait in seconds to the milliseconds after which to try again.

    `spread` between 0 and 1 lengthens the wait by up to a half, so that callers refused
    together do not return together.

    >>> compute_retry_after_ms(0.2, 0.5)
    250
    """
    bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
    return round(bounded * (1.0 + spread / 2) * 1000)


class Admission:
    """Decides which calls may wait, from the arrival rate and recent latencies.

    `latencies` is shared with hedging. Until it has enough samples, a call is refused
    only if no slot opens before its deadline.
    """

    __slots__ = ("latencies", "arrivals", "_returns_at")

    def __init__(self, *, latencies: RecentLatencies) -> None:
        self.latencies = latencies
        self.arrivals = ArrivalRate()
        # When the caller refused last was asked to come back.
        self._returns_at = 0.0

    @property
    def needed_time(self) -> float:
        """The seconds that a call needs before its deadline to be worth starting."""
        return self.latencies.median or 0.0

    def can_finish(self, *, n_ahead: int, time_left: float, capacity: Capacity) -> bool:
        """Return whether a call can finish within `time_left` s behind `n_ahead`."""
        wait = self._estimate_wait(n_ahead, capacity)
        return wait <= time_left - self.needed_time

    def is_in_share(
        self, request_id: str, *, n_ahead: int, time_left: float, capacity: Capacity
    ) -> bool:
        """Return whether a request is in the share that is admitted under overload.

        The call has to be one that can finish.
        """
        wait = self._estimate_wait(n_ahead, capacity)
        wait_share = wait / max(time_left - self.needed_time, 1e-9)
        demand = self._measure_demand(capacity)
        admitted_share = compute_admitted_share(demand=demand, wait_share=wait_share)
        return admitted_share >= 1.0 or compute_rank(request_id) < admitted_share

    def estimate_retry_delay(self, n_waiting: int, capacity: Capacity) -> float:
        """Estimate after how many seconds a refused caller should try again."""
        # Excess load is added because admission keeps the queue short: the queue's
        # length alone would bring callers back into the same overload. A second at
        # twice the capacity takes another second to work off.
        excess = max(0.0, self._measure_demand(capacity) - 1.0)
        return self._estimate_wait(n_waiting, capacity) + excess

    def plan_return(
        self, n_waiting: int, capacity: Capacity, *, spread: float, now: float
    ) -> int:
        """Return after how many milliseconds a refused caller should return.

        Each comes back when another slot should be free, so that callers refused
        together do not return together. `spread` is as in `compute_retry_after_ms`.
        """
        wait = self.estimate_retry_delay(n_waiting, capacity)
        earliest = now + compute_retry_after_ms(wait, spread) / 1000
        pause = (self.latencies.mean or 0.0) / max(1, capacity.n_slots)
        next_at = self._returns_at + max(MIN_RETURN_INTERVAL_S, pause)
        latest = now + MAX_RETRY_AFTER_S * (1.0 + spread / 2)
        self._returns_at = max(earliest, next_at) if next_at <= latest else earliest
        return round((self._returns_at - now) * 1000)

    def _measure_demand(self, capacity: Capacity) -> float:
        return (
            self.arrivals.rate * (self.latencies.mean or 0.0) / max(1, capacity.n_slots)
        )

    def _estimate_wait(self, n_ahead: int, capacity: Capacity) -> float:
        return estimate_wait(
            n_ahead, capacity=capacity, service_time=self.latencies.mean or 0.0
        )
