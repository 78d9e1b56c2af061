"""How long before the goal a host has to stop waiting, from its own answers."""

from collections import deque
from statistics import quantiles

ANSWER_RESERVE_MS = 9.0
PART_RESERVE_MS = 0.07
"""Milliseconds kept for waking up, joining and writing an answer, and the further ones
for each part that it may hold.

With 20 to 30 parts, 6 and 10 ms in all were not told apart on six days. One play each:
with 135, callers of 73 hosts, half of them of half a core, got 0.72 of all credit in
calm seconds with 10 ms, 0.93 with 18 and 0.96 with 26, and 0.31, 0.67 and 0.57 while a
sixth of the servers was slow.
"""

USUAL_CORES = 0.5
"""The host for which the above holds; a weaker one takes longer in proportion. A
stronger one keeps as much: with half of it, hosts of one core lost 0.013 +- 0.008 of
the credit of quick looks on two days of trouble, two seeds each, and won nothing."""

SAMPLES = 16
"""Answers that are remembered: on a host with one search a second, some ten seconds."""

MIN_SAMPLES = 4
"""With fewer of them, one answer that met a busy moment would decide."""

MEMORY_S = 30.0
"""Older answers say nothing: what made the host slow, its neighbours or a burst of
callers, has passed by then."""

QUARTILE = 2
"""The third quartile: three of four answers that wait for stragglers are to be in time,
and a longer reserve would give up shards of all of them for the slowest."""


class AnswerReserve:
    """Learns what it takes from the end of the wait for stragglers to the last byte.

    That is the host's own: joining, writing, and whatever else it does at the moment.
    Where little is known yet, it is taken to be what such an answer takes a host of
    its strength: with one time for all, hosts of an eighth of a core answered 54 of 57
    searches after their goal, of which most hosts get one in some seconds.

    >>> reserve = AnswerReserve(cores=0.5)
    >>> round(reserve.get_ms(n_parts=50, now=0.0), 1)
    12.5
    >>> for took_ms in (40, 41, 44, 60):
    ...     reserve.note(took_ms=took_ms, now=0.0)
    >>> [round(reserve.get_ms(n_parts=50, now=now), 1) for now in (1.0, 31.0)]
    [48.0, 12.5]
    """

    def __init__(self, *, cores: float) -> None:
        self._weakness = max(1.0, USUAL_CORES / cores)
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES)
        self._learned_ms = 0.0
        self._learned_at = float("-inf")

    def note(self, *, took_ms: float, now: float) -> None:
        """Take what one joined answer took, in milliseconds; `now` is in seconds."""
        self._samples.append((now, took_ms))
        recent = [took for at, took in self._samples if now - at <= MEMORY_S]
        self._learned_at = now
        self._learned_ms = 0.0
        if len(recent) >= MIN_SAMPLES:
            quartiles = quantiles(recent, n=4, method="inclusive")
            self._learned_ms = quartiles[QUARTILE]

    def get_ms(self, *, n_parts: int, now: float) -> float:
        """Return the reserve for an answer of `n_parts`, in milliseconds.

        What was learned is of answers that are joined: one server's own needs less.
        """
        usual = ANSWER_RESERVE_MS + PART_RESERVE_MS * n_parts
        expected = usual * self._weakness
        if n_parts == 1 or now - self._learned_at > MEMORY_S:
            return expected
        return max(expected, self._learned_ms)
