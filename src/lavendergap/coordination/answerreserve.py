"""Estimate of the time a host needs before the goal to join and write an answer."""

from collections import deque
from statistics import quantiles

ANSWER_RESERVE_MS = 9.0
PART_RESERVE_MS = 0.07
"""Milliseconds kept for waking up, joining and writing an answer, and the addition for
each part of it.

More parts take longer to join and make a longer answer. If the reserve is too short,
answers miss the goal; if it is too long, stragglers are given up early. With 135 parts,
10 ms in all was too short at any time, and 26 ms was worse than 18 ms while a sixth of
the servers was slow.
"""

REFERENCE_CORES = 0.5
"""The cores of a host for which the reserve above holds. A weaker host needs more in
proportion; a stronger one keeps as much, as half of it made quick queries of hosts with
one core late and improved nothing.
"""

MAX_SAMPLES = 16
"""Recent answers that are kept."""

MIN_SAMPLES = 4
"""With fewer samples, one answer at a busy moment would determine the reserve."""

MAX_SAMPLE_AGE_S = 30.0
"""Older answers are ignored: what made the host slow then, other processes or a burst
of callers, has passed.
"""

THIRD_QUARTILE = 2
"""Index of the third quartile: three of four answers that wait for stragglers should be
in time. With a higher quantile, a few slow answers would shorten the wait of all.
"""


class AnswerReserve:
    """Measures the time from the end of the wait for stragglers to the last byte.

    The time is spent on this host: joining, writing, and whatever else runs there.
    While there are too few samples, it is estimated from the number of parts and the
    host's cores, as most hosts rarely send such answers: with one time for all, hosts
    of an eighth of a core sent nearly all joined answers after their goal. The reserve
    is never less than that estimate.

    >>> reserve = AnswerReserve(cores=0.5)
    >>> round(reserve.get_ms(n_parts=50, now=0.0), 1)
    12.5
    >>> for elapsed_ms in (40, 41, 44, 60):
    ...     reserve.note(elapsed_ms=elapsed_ms, now=0.0)
    >>> [round(reserve.get_ms(n_parts=50, now=now), 1) for now in (1.0, 31.0)]
    [48.0, 12.5]
    """

    def __init__(self, *, cores: float) -> None:
        self._core_factor = max(1.0, REFERENCE_CORES / cores)
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._measured_ms = 0.0
        self._measured_at = float("-inf")

    def note(self, *, elapsed_ms: float, now: float) -> None:
        """Record the time one joined answer took, in milliseconds; `now` in seconds."""
        self._samples.append((now, elapsed_ms))
        recent = [took for at, took in self._samples if now - at <= MAX_SAMPLE_AGE_S]
        self._measured_at = now
        self._measured_ms = 0.0
        if len(recent) >= MIN_SAMPLES:
            quartiles = quantiles(recent, n=4, method="inclusive")
            self._measured_ms = quartiles[THIRD_QUARTILE]

    def get_ms(self, *, n_parts: int, now: float) -> float:
        """Return the reserve for an answer of `n_parts`, in milliseconds.

        The samples are of joined answers; an answer of one server needs less.
        """
        reference_ms = ANSWER_RESERVE_MS + PART_RESERVE_MS * n_parts
        expected = reference_ms * self._core_factor
        if n_parts == 1 or now - self._measured_at > MAX_SAMPLE_AGE_S:
            return expected
        return max(expected, self._measured_ms)
