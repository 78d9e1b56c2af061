"""Order of the waiting calls of one priority: fair among customers, then by deadline.

Start-time fair queueing (Goyal, Vin and Cheng 1996) with every call as long as any
other. See docs/design/queue-order.md.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from heapq import heapify, heappop, heappush, heapreplace
from math import ceil

from .calls import Call
from .progress import Progress

# A weight from another host is at least this, so that it can be divided by.
MIN_WEIGHT = 1e-6

_Entry = tuple[float, int, Progress]


def _make_entry(progress: Progress) -> _Entry:
    # Call ids are unique, so a comparison never reaches the `Progress`.
    return progress.call.deadline, progress.call.call_id, progress


def _get_deadline(entry: _Entry) -> float:
    return entry[0]


class CustomerQueue:
    """The waiting calls of one customer, by deadline.

    `start_tag` is that of the next call to be served; each later one starts `step`, the
    inverse of the weight, after the one before it.
    """

    __slots__ = ("customer", "start_tag", "step", "entries")

    def __init__(self, *, customer: str, start_tag: float) -> None:
        self.customer = customer
        self.start_tag = start_tag
        self.step = 1.0
        self.entries: list[_Entry] = []

    def find(self, progress: Progress) -> int:
        """Return the position of a waiting call."""
        call = progress.call
        return bisect_left(self.entries, (call.deadline, call.call_id))

    def count_before(self, tag: float, deadline: float) -> int:
        """Count the calls that are served before one of another customer."""
        n_before = max(0, ceil((tag - self.start_tag) / self.step))
        if n_before >= len(self.entries):
            return len(self.entries)
        is_tied = self.start_tag + n_before * self.step == tag
        return n_before + (is_tied and self.entries[n_before][0] <= deadline)

    def measure_load(self, n_more: int = 0) -> float:
        """Return the waiting calls and `n_more` others, over the customer's weight."""
        return (len(self.entries) + n_more) * self.step


class FairQueue:
    """The waiting calls of one priority.

    The virtual time is the start tag of the call served last. A customer whose first
    call arrives starts there, or where its calls served before have ended, whichever is
    later. Customers without waiting calls are forgotten once the virtual time has
    reached that end. With one customer the order is that of the deadlines.
    """

    __slots__ = ("_queues", "_virtual_time", "_finish_tags", "_finish_heap", "_n_calls")

    def __init__(self) -> None:
        self._queues: dict[str, CustomerQueue] = {}
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._finish_heap: list[tuple[float, str]] = []
        self._n_calls = 0

    def __len__(self) -> int:
        return self._n_calls

    def __iter__(self) -> Iterator[Progress]:
        """Yield the calls in order; the one yielded last may be removed meanwhile."""
        if len(self._queues) == 1:
            [queue] = self._queues.values()
            index = 0
            while index < len(queue.entries):
                entry = queue.entries[index]
                yield entry[2]
                index += _is_at(queue, index, entry)
            return
        heap = [(q.start_tag, q.entries[0], 0, q) for q in self._queues.values()]
        heapify(heap)
        while heap:
            tag, entry, index, queue = heap[0]
            yield entry[2]
            index += _is_at(queue, index, entry)
            if index < len(queue.entries):
                later = (tag + queue.step, queue.entries[index], index, queue)
                heapreplace(heap, later)
            else:
                heappop(heap)

    def add(self, progress: Progress) -> None:
        """Add a call at the place given by its customer's share and its deadline."""
        call = progress.call
        queue = self._queues.get(call.customer)
        if queue is None:
            queue = self._queues[call.customer] = CustomerQueue(
                customer=call.customer, start_tag=self._find_start_tag(call.customer)
            )
        queue.step = _get_step(call)
        insort(queue.entries, _make_entry(progress))
        self._n_calls += 1

    def remove(self, progress: Progress, *, is_served: bool) -> None:
        """Remove a waiting call; if it is served, its customer's share is charged."""
        queue = self._queues[progress.call.customer]
        del queue.entries[queue.find(progress)]
        self._n_calls -= 1
        if is_served:
            self._virtual_time = max(self._virtual_time, queue.start_tag)
            queue.start_tag += queue.step
            self._forget_past()
        if not queue.entries:
            del self._queues[queue.customer]
            if queue.start_tag > self._virtual_time:
                self._finish_tags[queue.customer] = queue.start_tag
                heappush(self._finish_heap, (queue.start_tag, queue.customer))

    def count_ahead(self, call: Call) -> int:
        """Count the waiting calls that would be served before a new one."""
        own = self._queues.get(call.customer)
        n_own = 0
        tag = self._find_start_tag(call.customer)
        if own is not None:
            n_own = bisect_right(own.entries, call.deadline, key=_get_deadline)
            if len(self._queues) == 1:
                return n_own
            tag = own.start_tag + n_own * own.step
        others = (queue for queue in self._queues.values() if queue is not own)
        return n_own + sum(q.count_before(tag, call.deadline) for q in others)

    def sort_by_load(self) -> list[CustomerQueue]:
        """Return the customers' queues, that with most calls for its weight first."""
        return sorted(self._queues.values(), key=lambda q: -q.measure_load())

    def measure_load_with(self, call: Call) -> float:
        """Return the load of a call's customer if the call waited too."""
        queue = self._queues.get(call.customer)
        return _get_step(call) if queue is None else queue.measure_load(1)

    def _find_start_tag(self, customer: str) -> float:
        return max(self._virtual_time, self._finish_tags.get(customer, 0.0))

    def _forget_past(self) -> None:
        heap = self._finish_heap
        while heap and heap[0][0] <= self._virtual_time:
            tag, customer = heappop(heap)
            if self._finish_tags.get(customer) == tag:
                del self._finish_tags[customer]


def _is_at(queue: CustomerQueue, index: int, entry: _Entry) -> bool:
    return index < len(queue.entries) and queue.entries[index] is entry


def _get_step(call: Call) -> float:
    return 1.0 / max(MIN_WEIGHT, call.weight)
