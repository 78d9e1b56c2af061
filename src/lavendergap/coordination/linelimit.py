"""Limits the number of log lines about events that callers can cause at any rate."""


class LineLimit:
    """Allows `n_lines` in each interval of `interval_s` and counts the others.

    >>> limit = LineLimit(n_lines=1, interval_s=1.0)
    >>> [limit.admit(now=at) for at in (0.0, 0.1, 0.2, 1.0)]
    [0, None, None, 2]
    """

    def __init__(self, *, n_lines: int, interval_s: float = 1.0) -> None:
        self._n_lines = n_lines
        self._interval_s = interval_s
        self._began = -interval_s
        self._n_admitted = 0
        self._n_dropped = 0

    def admit(self, *, now: float) -> int | None:
        """Return how many lines were dropped since the last one; None to drop this."""
        if now - self._began >= self._interval_s:
            self._began = now
            self._n_admitted = 0
        if self._n_admitted >= self._n_lines:
            self._n_dropped += 1
            return None
        self._n_admitted += 1
        n_dropped, self._n_dropped = self._n_dropped, 0
        return n_dropped
