"""How many requests a backend server gets while its caches are cold."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

WINDOW = 1.0
"""Over which a cold server's requests are counted, in seconds."""

MAX_SENDERS = 3
"""Into how many parts the bound on a cold server's requests is divided.

One host sends to a cold server: the first ranked of the server's data centre. Hosts
whose views of the fleet differ may take different ones for it, as while one is lost and
another takes over; the parts of so many are within the bound together.
"""

FOREIGN_WAIT = 3.0
"""Seconds until a cold server may be asked that another host warms up.

It is warm by then; whoever needs it sooner is refused at once.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class WarmupBound:
    """What the platform allows to be sent to a cold server, by all hosts together.

    In each second `factor` times the rate that the server's service tolerates while
    cold, and `slack` requests more.

    >>> WarmupBound(factor=1.5, slack=5).divide(10.0)
    6
    """

    factor: float
    slack: float

    def divide(self, rate: float) -> int:
        """Return the part of one host, in requests a second."""
        return int((rate * self.factor + self.slack) / MAX_SENDERS)


class WarmupLimit:
    """Counts the requests that one host has sent to a cold server.

    `may_warm` tells whether this is the host that warms the server up.
    """

    __slots__ = ("_may_warm", "_sent")

    def __init__(self, may_warm: Callable[[], bool]) -> None:
        self._may_warm = may_warm
        self._sent: deque[float] = deque()

    def count_left(self, limit: int, now: float) -> int:
        """Return how many more requests may be sent now."""
        if not self._may_warm():
            return 0
        self._forget(now)
        return limit - len(self._sent)

    def note_sent(self, now: float) -> None:
        """Count a request."""
        self._sent.append(now)

    def get_opening(self, limit: int, now: float) -> float:
        """Return when the next request may be sent, for one that may not be now."""
        if limit <= 0 or not self._may_warm():
            return now + FOREIGN_WAIT
        self._forget(now)
        return self._sent[-limit] + WINDOW if len(self._sent) >= limit else now

    def _forget(self, now: float) -> None:
        while self._sent and self._sent[0] <= now - WINDOW:
            self._sent.popleft()
