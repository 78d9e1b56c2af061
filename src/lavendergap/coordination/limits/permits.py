"""The permits that a host holds for one customer, and what it may refuse by itself.

Answers load from one customer to one host with one message for several requests, and
load beyond the limit with refusals that cost no message at all.
"""

from collections import deque
from dataclasses import dataclass
from random import Random

from .bucket import WindowCount
from .retries import RetryTimes

PREFETCH_S = 0.1
"""Permits are asked for in advance for this much of the recent demand.

More would save few messages and hold back more from hosts that need permits.
"""

DEMAND_WINDOW_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """What the counting host last refused.

    A permit is expected at `until`; the refused request may come back at `retry_at`.
    """

    until: float
    retry_at: float
    host: str
    at: float
    n_used: int


class Permits:
    """The permits and the last refusal of one customer at a host that asks.

    >>> permits = Permits()
    >>> permits.add(2, host="ptl-a-1", expires_at=0.5)
    >>> permits.take(now=0.1), permits.take_expired(now=0.6)
    (True, [('ptl-a-1', 1)])
    """

    __slots__ = ("refused", "used_at", "_held", "_demand", "_retries", "_valid_s")

    def __init__(self) -> None:
        self.refused: Refused | None = None
        self.used_at = 0.0
        self._held: deque[tuple[float, str, int]] = deque()
        self._demand = WindowCount(window_s=DEMAND_WINDOW_S)
        self._retries = RetryTimes()
        self._valid_s = PREFETCH_S

    def note_demand(self, *, now: float) -> None:
        """Count a request of the customer."""
        self._demand.add(1, now=now)
        self.used_at = now

    def take(self, *, now: float) -> bool:
        """Take a valid permit; return False if there is none."""
        for index, (expires_at, host, n) in enumerate(self._held):
            if expires_at <= now:
                continue
            if n > 1:
                self._held[index] = (expires_at, host, n - 1)
            else:
                del self._held[index]
            return True
        return False

    def add(self, n: int, *, host: str, expires_at: float) -> None:
        """Keep permits granted by `host`."""
        if n > 0:
            self._held.append((expires_at, host, n))

    def note_validity(self, valid_s: float) -> None:
        """Record how long permits are valid, which bounds what is asked for."""
        self._valid_s = valid_s

    def take_expired(self, *, now: float) -> list[tuple[str, int]]:
        """Remove the expired permits and return them, with the host of each."""
        expired = [(host, n) for at, host, n in self._held if at <= now]
        if expired:
            self._held = deque(each for each in self._held if each[0] > now)
        return expired

    def count_held(self, *, now: float) -> int:
        """Return how many valid permits are held."""
        return sum(n for at, _, n in self._held if at > now)

    def choose_n_wanted(self, n_waiting: int, *, now: float) -> int:
        """Return how many permits to ask for, for those waiting and the next ones."""
        rate = self._demand.read(now=now) / DEMAND_WINDOW_S
        return n_waiting + int(rate * min(PREFETCH_S, self._valid_s))

    def note_refusal(self, refused: Refused) -> None:
        """Refuse by itself until a permit is expected."""
        self.refused = refused

    def find_refusal(
        self, *, rate: float, now: float, random: Random
    ) -> tuple[Refused, float] | None:
        """Return the refusal in force, and when this request should come back."""
        refused = self.refused
        if refused is None or now >= refused.until:
            self.refused = None
            return None
        after = self._retries.take(
            wait_s=refused.retry_at - now + 1.0 / rate,
            rate=rate,
            now=now,
            random=random,
        )
        return refused, after
