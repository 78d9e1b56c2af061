"""How much of the time to its goal a request has used up before a host sees it."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from statistics import median

from ..state.routes import GreatestOfAll, OneOf, Route

TRIP_SAMPLES = 64
"""First requests of connections that are remembered. On a host with one of them a
second that is about a minute, in which the way to its callers does not change."""

MIN_TRIP_SAMPLES = 4
"""With fewer of them one connection that waited in a queue would decide."""

DEFAULT_TRIP_MS = 6.0
"""Assumed until it is measured: callers 3 ms away, as far as any that we have met."""

MAX_SPENT_SHARE = 0.5
"""Who states less by more than this share of the goal has been refused before, or
gives its requests less time; neither says anything of the way."""

MEMORY_S = 30.0
"""What callers of a route gave their requests is forgotten after one to two times this
many seconds: they may be other callers by then. Two requests of a route that a host
gets once in ten seconds come within it."""

MIN_GOAL_SHARE = 0.5
"""A goal so short that the reserve is most of it keeps this share for the servers."""

MAX_ROUTES = 256
MAX_CONNECTIONS = 4_096
"""More than a host serves at a time; the one that was used longest ago goes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """What a request has used up of its goal, and what its answer's way will take.

    In milliseconds. `spent` is 0 where it cannot be told.
    """

    spent_ms: float
    trip_ms: float

    @property
    def unseen_ms(self) -> float:
        """Milliseconds of the caller's wait that no clock of this host shows."""
        return self.spent_ms + self.trip_ms


@dataclass(slots=True)
class _MostLeft:
    """The most that requests of a route stated, in the present and the last period."""

    since: float
    present_ms: float
    last_ms: float = 0.0

    def add(self, left_ms: float, now: float) -> None:
        if now - self.since > MEMORY_S:
            self.last_ms, self.present_ms, self.since = self.present_ms, 0.0, now
        self.present_ms = max(self.present_ms, left_ms)

    def get(self) -> float:
        return max(self.present_ms, self.last_ms)


class Arrivals:
    """Learns what callers wait before their requests are read and after the answer.

    A caller counts its wait from before it opens a connection, and states with each
    request what is left of the time that it gives it. Callers of a route give the same
    time, so what one states below the most is what it had spent. For the first request
    of a connection that is the time to open it, one trip there and back.

    Without it, answers that are held for stragglers until just before the goal reached
    their callers just after it. At 73 hosts, 3 ms from their callers, a calm day with
    eight seconds of slow servers was worth 0.79 of all credit, and 0.96 with it.

    >>> arrivals = Arrivals()
    >>> def note(left_ms, port):
    ...     return arrivals.note(
    ...         "search", left_ms=left_ms, goal_ms=248, connection=port, now=0.0)
    >>> for port in range(8):
    ...     opened, used_again = note(3_017, port), note(3_023, port)
    >>> opened, used_again.unseen_ms
    (Arrival(spent_ms=6, trip_ms=6), 6.0)
    """

    def __init__(self) -> None:
        self._most_left: OrderedDict[str, _MostLeft] = OrderedDict()
        self._trips_ms: deque[float] = deque(maxlen=TRIP_SAMPLES)
        self._connections: OrderedDict[object, None] = OrderedDict()

    def note(
        self,
        route: str,
        *,
        left_ms: float,
        goal_ms: float,
        connection: object,
        now: float,
    ) -> Arrival:
        """Take a request that states `left_ms`, and tell what it has used up.

        `connection` is whatever tells connections apart; `now` is in seconds.
        """
        is_first = self._note_connection(connection)
        if not is_first:
            # Only a request that opened nothing shows the whole time of its route.
            self._note_most(route, left_ms, now)
        known = self._most_left.get(route)
        spent = 0.0 if known is None else max(0.0, known.get() - left_ms)
        if spent > MAX_SPENT_SHARE * goal_ms:
            spent = 0.0
        elif is_first and known is not None:
            self._trips_ms.append(spent)
        return Arrival(spent_ms=spent, trip_ms=self._get_trip())

    def _note_connection(self, connection: object) -> bool:
        """Tell whether this is a connection's first request."""
        is_first = connection not in self._connections
        self._connections[connection] = None
        self._connections.move_to_end(connection)
        if len(self._connections) > MAX_CONNECTIONS:
            self._connections.popitem(last=False)
        return is_first

    def _note_most(self, route: str, left_ms: float, now: float) -> None:
        known = self._most_left.get(route)
        if known is None:
            known = self._most_left[route] = _MostLeft(since=now, present_ms=left_ms)
        known.add(left_ms, now)
        self._most_left.move_to_end(route)
        if len(self._most_left) > MAX_ROUTES:
            self._most_left.popitem(last=False)

    def _get_trip(self) -> float:
        if len(self._trips_ms) < MIN_TRIP_SAMPLES:
            return DEFAULT_TRIP_MS
        return median(self._trips_ms)


def compute_goal(route: Route, arrival: Arrival, *, reserve_ms: float) -> float:
    """Return the milliseconds after which an answer without stragglers goes out.

    `reserve_ms` is what this host takes from there to the answer's last byte.
    """
    goal_ms = route.goal_ms - arrival.unseen_ms - reserve_ms
    return min(max(goal_ms, MIN_GOAL_SHARE * route.goal_ms), route.timeout_ms)


def count_parts(route: Route) -> int:
    """Return of how many servers' parts an answer of the route is joined."""
    match route.target:
        case GreatestOfAll(groups=groups):
            return len(groups)
        case OneOf():
            return 1
