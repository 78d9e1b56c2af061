"""Limit on the requests to a backend server whose caches are cold."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

WINDOW_S = 1.0
"""Seconds over which the requests to a cold server are counted."""

MAX_SENDERS = 3
"""Number of parts into which the limit for a cold server is divided.

One host sends to a cold server: the first ranked one of the server's data centre. Hosts
with different views of the fleet may choose different ones, for example while a lost
host is replaced; this many stay within the limit together.
"""

OTHER_HOST_WAIT_S = 3.0
"""Seconds until a cold server that another host warms up is considered again.

It should be warm by then. Calls that cannot wait so long are refused at once.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class WarmupBound:
    """The platform's limit on requests to a cold server, over all hosts.

    In each second `factor` times the rate that the service tolerates while cold, plus
    `slack` requests.

    >>> WarmupBound(factor=1.5, slack=5).divide(10.0)
    6
    """

    factor: float
    slack: float

    def divide(self, rate: float) -> int:
        """Return one host's part of the limit, in requests a second."""
        return int((rate * self.factor + self.slack) / MAX_SENDERS)


class WarmupLimit:
    """Counts the requests that this host has sent to a cold server.

    `may_warm` returns whether this is the host that warms the server up.
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
        """Record a request."""
        self._sent.append(now)

    def get_reopen_time(self, limit: int, now: float) -> float:
        """Return when the next request may be sent; call it only if none may be now."""
        if limit <= 0 or not self._may_warm():
            return now + OTHER_HOST_WAIT_S
        self._forget(now)
        return self._sent[-limit] + WINDOW_S if len(self._sent) >= limit else now

    def _forget(self, now: float) -> None:
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
