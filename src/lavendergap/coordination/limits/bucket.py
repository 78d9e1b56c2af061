"""What a counting host may still grant: a token bucket and a reserve above the limit.

The load that they answer is a customer that sends several times its limit to one host
or to all of them; the failures are a change of the limit under way, and two hosts that
count for the same customer because neither can know that the other does.
"""

from collections import deque

_EPSILON = 1e-9
"""Sums of fractions of a token may be below a whole one by a rounding error."""

PEAK_EPOCH_S = 1.0
"""Returned tokens are compared with the level of this long to twice as long."""


class Bucket:
    """A token bucket whose limit may change; it starts empty.

    >>> bucket = Bucket(rate=2.0, burst=4.0, now=0.0)
    >>> bucket.take(5, now=1.0), bucket.take(5, now=10.0)
    (2, 4)
    """

    __slots__ = ("rate", "burst", "level", "_at", "_peaks", "_peak_at")

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self._at = now
        self._peaks = (0.0, 0.0)
        self._peak_at = now

    def replace(self, *, rate: float, burst: float, now: float) -> None:
        """Apply another limit; tokens above a lower burst are dropped."""
        if rate == self.rate and burst == self.burst:
            return
        self.fill(now=now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def fill(self, *, now: float) -> None:
        """Add the tokens due by `now`."""
        elapsed = max(0.0, now - self._at)
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self._at = max(now, self._at)
        if now - self._peak_at >= PEAK_EPOCH_S:
            is_old = now - self._peak_at >= 2 * PEAK_EPOCH_S
            self._peaks = (self.level if is_old else self._peaks[1], self.level)
            self._peak_at = now
        elif self.level > self._peaks[1]:
            self._peaks = (self._peaks[0], self.level)

    def start(self, *, level: float, now: float) -> None:
        """Start counting at a level; earlier levels no longer matter."""
        self.level = max(0.0, min(self.burst, level))
        self._at = now
        self._peaks = (self.level, self.level)
        self._peak_at = now

    def take(self, n_wanted: int, *, now: float) -> int:
        """Take up to `n_wanted` whole tokens and return how many."""
        self.fill(now=now)
        n = min(n_wanted, int(self.level + _EPSILON))
        self.level = max(0.0, self.level - n)
        return n

    def give_back(self, n: int, *, now: float) -> int:
        """Return tokens of requests that did not run; return how many did not fit.

        Adds no more than fits above the highest recent level. Otherwise the bucket
        could refill in place of the tokens that are out and then get them back too:
        more than the burst would be granted within one window.
        """
        self.fill(now=now)
        room = self.burst - max(self._peaks)
        added = max(0.0, min(float(n), room, self.burst - self.level))
        self.level += added
        return int(n - added + _EPSILON)

    def add(self, n: int, *, now: float) -> None:
        """Add tokens up to the burst, whatever the recent levels."""
        self.fill(now=now)
        self.level = min(self.burst, self.level + n)

    def estimate_wait(self, *, now: float) -> float:
        """Return the seconds until a whole token is there."""
        self.fill(now=now)
        missing = max(0.0, 1.0 - self.level)
        return missing / self.rate if self.rate > 0.0 else float("inf")


class WindowReserve:
    """Grants above the limit, at most a given number in each sliding window.

    A bucket would allow its capacity at once and its refill in addition; the reserve
    that hosts share is a number for each window, so the single grants are kept.

    >>> reserve = WindowReserve(window_s=5.0)
    >>> reserve.take(3, capacity=2.5, now=0.0), reserve.take(1, capacity=2.5, now=4.9)
    (2, 0)
    >>> reserve.take(1, capacity=2.5, now=5.1)
    1
    """

    __slots__ = ("window_s", "_grants", "_n_used")

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._grants: deque[tuple[float, int]] = deque()
        self._n_used = 0

    def take(self, n_wanted: int, *, capacity: float, now: float) -> int:
        """Take up to `n_wanted` and return how many fit into the window."""
        n = max(0, min(n_wanted, int(capacity - self.count_used(now=now))))
        if n:
            self._grants.append((now, n))
            self._n_used += n
        return n

    def give_back(self, n: int) -> int:
        """Return up to `n` of the newest grants, which did not run; return the rest."""
        while n and self._grants:
            at, granted = self._grants.pop()
            n_back = min(n, granted)
            n -= n_back
            self._n_used -= n_back
            if granted > n_back:
                self._grants.append((at, granted - n_back))
        return n

    def count_used(self, *, now: float) -> int:
        """Return how many were taken within the window that ends now."""
        while self._grants and now - self._grants[0][0] > self.window_s:
            self._n_used -= self._grants.popleft()[1]
        return self._n_used

    def estimate_wait(self, *, now: float) -> float:
        """Return the seconds until the oldest grant leaves the window."""
        self.count_used(now=now)
        if not self._grants:
            return self.window_s
        return max(0.0, self._grants[0][0] + self.window_s - now)


class WindowCount:
    """About how many events there were within the last window, in constant space.

    >>> count = WindowCount(window_s=1.0)
    >>> for at in (0.0, 0.25, 0.5, 0.75, 1.0, 1.25):
    ...     count.add(1, now=at)
    >>> count.read(now=1.25)
    5.0
    """

    __slots__ = ("window_s", "_epoch", "_current", "_previous")

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._epoch = 0
        self._current = 0
        self._previous = 0

    def add(self, n: int, *, now: float) -> None:
        """Count `n` events."""
        self._advance(now)
        self._current += n

    def read(self, *, now: float) -> float:
        """Return the events of this epoch and a part of those of the one before."""
        self._advance(now)
        left = 1.0 - (now / self.window_s - self._epoch)
        return self._current + self._previous * left

    def _advance(self, now: float) -> None:
        epoch = int(now // self.window_s)
        if epoch != self._epoch:
            is_next = epoch == self._epoch + 1
            self._previous = self._current if is_next else 0
            self._current = 0
            self._epoch = epoch
