"""Which calls wait for a slot, in which order, and which are refused at once."""

from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass

from .progress import Progress

# A refused caller comes back when the queue that it met has been served: not at
# once, which would be the same load again, and not after a long silence.
SHORTEST_RETRY_AFTER = 0.02
LONGEST_RETRY_AFTER = 5.0


def _get_deadline(entry: tuple[float, int, Progress]) -> float:
    return entry[0]


class WaitingCalls:
    """Calls that wait for a slot, the earliest deadline first.

    With one deadline for all calls this is first come, first served, and a retry
    keeps the place that its deadline gives it. See docs/design/admission.md for the
    orders that were weighed.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        # Call ids are unique, so a comparison never reaches the third member.
        self._entries: list[tuple[float, int, Progress]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, index: int) -> Progress:
        return self._entries[index][2]

    def add(self, progress: Progress) -> None:
        """Add a call at the place that its deadline gives it."""
        call = progress.call
        insort(self._entries, (call.deadline, call.call_id, progress))

    def discard(self, progress: Progress) -> None:
        """Remove a call if it waits here."""
        key = (progress.call.deadline, progress.call.call_id)
        index = bisect_left(self._entries, key)
        if index < len(self._entries) and self._entries[index][2] is progress:
            del self._entries[index]

    def count_ahead(self, deadline: float) -> int:
        """Count the calls that would be served before a new one."""
        return bisect_right(self._entries, deadline, key=_get_deadline)

    def pop_late(self, *, now: float, needed: float) -> list[Progress]:
        """Remove and return the calls with less than `needed` seconds left."""
        late = []
        while self._entries and self._entries[0][0] - needed <= now:
            late.append(self._entries.pop(0)[2])
        return late

    @property
    def first_deadline(self) -> float | None:
        """The deadline of the call at the head, in seconds, or None."""
        return self._entries[0][0] if self._entries else None


@dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """The slots that can be used now, or the time until the first one can be.

    `opens_in` is in seconds and 0 while `n_slots` is not.
    """

    n_slots: int
    opens_in: float


def estimate_wait(n_ahead: int, *, capacity: Capacity, service_time: float) -> float:
    """Estimate how long a new call waits for a slot, in seconds.

    While all slots are busy one of them frees every `service_time / n_slots` on
    average, and the calls ahead take the first ones.

    >>> two_slots = Capacity(n_slots=2, opens_in=0.0)
    >>> estimate_wait(3, capacity=two_slots, service_time=0.010)
    0.02
    """
    n_slots = max(1, capacity.n_slots)
    return capacity.opens_in + (n_ahead + 1) * service_time / n_slots


def suggest_retry_after(wait: float, spread: float) -> int:
    """Turn a wait into the milliseconds that a refused caller is told.

    `spread` between 0 and 1 lengthens it by up to a half, so that callers refused
    together do not return together.

    >>> suggest_retry_after(0.2, 0.5)
    250
    """
    bounded = min(LONGEST_RETRY_AFTER, max(SHORTEST_RETRY_AFTER, wait))
    return round(bounded * (1.0 + spread / 2) * 1000)
