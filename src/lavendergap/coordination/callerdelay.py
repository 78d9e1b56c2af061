"""Estimates of how much of the time to a request's goal passes outside this host."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from statistics import median

from ..state.routes import GreatestOfAll, OneOf, Route

MAX_ROUND_TRIP_SAMPLES = 64
"""First requests of connections whose round trips are kept. At one new connection a
second that is about a minute, in which network paths rarely change.
"""

MIN_ROUND_TRIP_SAMPLES = 4
"""With fewer samples, one delayed connection would determine the median."""

DEFAULT_ROUND_TRIP_MS = 6.0
"""Assumed until enough round trips are measured: that of callers 3 ms away."""

MAX_SPENT_SHARE = 0.5
"""The largest share of the goal that counts as time spent on the network. If more is
missing, the request was refused before, or its caller gives less time.
"""

TIME_LEFT_PERIOD_S = 30.0
"""The most time left that a route's requests stated is kept for one to two of these
periods, as the callers may change. Long enough for routes with few requests.
"""

MIN_GOAL_SHARE = 0.5
"""The share of a goal that is left to the servers even if the reserve takes more."""

MAX_ROUTES = 256
MAX_CONNECTIONS = 4_096
"""More than a host serves at a time; the least recently used one is dropped."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerDelay:
    """Time that a request has used up of its goal, and the round trip to its caller.

    In milliseconds. `spent_ms` is 0 if it is not known.
    """

    spent_ms: float
    round_trip_ms: float

    @property
    def outside_ms(self) -> float:
        """Milliseconds of the caller's wait that pass outside this host."""
        return self.spent_ms + self.round_trip_ms


@dataclass(slots=True)
class _MaxTimeLeft:
    """The most time left that requests of a route stated, over two periods."""

    since: float
    present_ms: float
    last_ms: float = 0.0

    def add(self, left_ms: float, now: float) -> None:
        if now - self.since > TIME_LEFT_PERIOD_S:
            self.last_ms, self.present_ms, self.since = self.present_ms, 0.0, now
        self.present_ms = max(self.present_ms, left_ms)

    def get(self) -> float:
        return max(self.present_ms, self.last_ms)


class CallerDelays:
    """Estimates the caller's wait before a request is read and after its answer.

    A caller counts its wait from before it opens a connection, and states with each
    request the time left. Callers of a route give the same time, so the difference from
    the most that any of them stated is what a request has used up. For the first
    request of a connection that is the time to open it, one round trip.

    Without the estimate, answers held for stragglers until just before the goal would
    reach their callers just after it.

    >>> delays = CallerDelays()
    >>> def note(left_ms, port):
    ...     return delays.note(
    ...         "search", left_ms=left_ms, goal_ms=248, connection=port, now=0.0)
    >>> for port in range(8):
    ...     opened, used_again = note(3_017, port), note(3_023, port)
    >>> opened, used_again.outside_ms
    (CallerDelay(spent_ms=6, round_trip_ms=6), 6.0)
    """

    def __init__(self) -> None:
        self._max_time_left: OrderedDict[str, _MaxTimeLeft] = OrderedDict()
        self._round_trips_ms: deque[float] = deque(maxlen=MAX_ROUND_TRIP_SAMPLES)
        self._connections: OrderedDict[object, None] = OrderedDict()

    def note(
        self,
        route: str,
        *,
        left_ms: float,
        goal_ms: float,
        connection: object,
        now: float,
    ) -> CallerDelay:
        """Record a request that states `left_ms`, and return what it has used up.

        `connection` is any key that identifies the connection; `now` is in seconds.
        """
        is_first = self._note_connection(connection)
        if not is_first:
            # The first request's time includes opening the connection, so only later
            # ones show the whole time that the route's callers give.
            self._note_time_left(route, left_ms, now)
        known = self._max_time_left.get(route)
        spent = 0.0 if known is None else max(0.0, known.get() - left_ms)
        if spent > MAX_SPENT_SHARE * goal_ms:
            spent = 0.0
        elif is_first and known is not None:
            self._round_trips_ms.append(spent)
        return CallerDelay(spent_ms=spent, round_trip_ms=self._get_round_trip())

    def _note_connection(self, connection: object) -> bool:
        """Record a request and return whether it is its connection's first."""
        is_first = connection not in self._connections
        self._connections[connection] = None
        self._connections.move_to_end(connection)
        if len(self._connections) > MAX_CONNECTIONS:
            self._connections.popitem(last=False)
        return is_first

    def _note_time_left(self, route: str, left_ms: float, now: float) -> None:
        known = self._max_time_left.get(route)
        if known is None:
            known = self._max_time_left[route] = _MaxTimeLeft(
                since=now, present_ms=left_ms
            )
        known.add(left_ms, now)
        self._max_time_left.move_to_end(route)
        if len(self._max_time_left) > MAX_ROUTES:
            self._max_time_left.popitem(last=False)

    def _get_round_trip(self) -> float:
        if len(self._round_trips_ms) < MIN_ROUND_TRIP_SAMPLES:
            return DEFAULT_ROUND_TRIP_MS
        return median(self._round_trips_ms)


def compute_goal(route: Route, delay: CallerDelay, *, reserve_ms: float) -> float:
    """Return the milliseconds after which to answer without the stragglers.

    `reserve_ms` is the time this host needs from then to the last byte of the answer.
    """
    goal_ms = route.goal_ms - delay.outside_ms - reserve_ms
    return min(max(goal_ms, MIN_GOAL_SHARE * route.goal_ms), route.timeout_ms)


def count_parts(route: Route) -> int:
    """Return how many servers' parts are joined into an answer of the route."""
    match route.target:
        case GreatestOfAll(groups=groups):
            return len(groups)
        case OneOf():
            return 1
