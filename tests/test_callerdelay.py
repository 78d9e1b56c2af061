"""Estimates of the callers' wait before a request is read and after its answer.

Callers 3 ms away give a search 3,024 ms, with a goal of 248. A request on a kept
connection states 3,023, one on a new connection 3,017 or 3,016, since opening it took a
round trip.
"""

import pytest

from lavendergap.coordination.callerdelay import (
    DEFAULT_ROUND_TRIP_MS,
    TIME_LEFT_PERIOD_S,
    CallerDelay,
    CallerDelays,
    compute_goal,
)
from lavendergap.state.routes import OneOf, Route

RESERVE_MS = 9.0
GOAL_MS = 248


def make_route(goal_ms: int, timeout_ms: int) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        target=OneOf(groups=()),
        idempotent=True,
        max_attempts=1,
        timeout_ms=timeout_ms,
        goal_ms=goal_ms,
        priority=0,
    )


class Host:
    """A host that receives requests, each on a new connection or a kept one."""

    def __init__(self) -> None:
        self.delays = CallerDelays()
        self.n_connections = 0

    def take(
        self, left_ms: float, *, is_new: bool = False, route="search", now: float = 0.0
    ) -> CallerDelay:
        if is_new:
            self.n_connections += 1
        return self.delays.note(
            route,
            left_ms=left_ms,
            goal_ms=GOAL_MS,
            connection=self.n_connections,
            now=now,
        )

    def settle(self) -> None:
        for _ in range(8):
            self.take(3_017, is_new=True)
            self.take(3_023)


class TestTimeSpent:
    def test_a_new_connection_has_cost_its_request_a_trip(self):
        # Guards against answers that miss the goal by the time it took to open the
        # connection.
        host = Host()
        host.settle()
        opened = host.take(3_017, is_new=True)
        kept = host.take(3_023)
        assert (opened.spent_ms, kept.spent_ms) == (6.0, 0.0)
        assert opened.round_trip_ms == kept.round_trip_ms == 6.0

    def test_a_request_that_was_refused_before_has_spent_what_it_waited(self):
        host = Host()
        host.settle()
        assert host.take(2_963, is_new=True).spent_ms == 60.0

    def test_a_caller_that_gives_less_time_has_spent_nothing(self):
        # Guards against taking another program's shorter time limit for time spent,
        # which would cut its answers short.
        host = Host()
        host.settle()
        assert host.take(1_000, is_new=True).spent_ms == 0.0
        assert host.take(3_017, is_new=True).round_trip_ms == 6.0

    def test_callers_that_gave_more_time_are_forgotten(self):
        host = Host()
        host.settle()
        host.take(15_000, is_new=True)
        host.take(15_000)
        assert host.take(3_023, now=1.0).spent_ms == 0.0
        for second in range(1, 100):
            host.take(3_023, now=TIME_LEFT_PERIOD_S + second)
        assert (
            host.take(3_017, is_new=True, now=TIME_LEFT_PERIOD_S + 101).spent_ms == 6.0
        )

    def test_routes_have_times_of_their_own(self):
        host = Host()
        host.settle()
        host.take(1_217, route="look")
        assert host.take(1_211, is_new=True, route="look").spent_ms == 6.0


class TestRoundTrip:
    def test_it_is_assumed_until_it_is_measured(self):
        host = Host()
        host.take(3_023, is_new=True)
        assert host.take(3_023).round_trip_ms == DEFAULT_ROUND_TRIP_MS

    def test_near_callers(self):
        host = Host()
        for _ in range(8):
            host.take(398, is_new=True)
            host.take(400)
        assert host.take(400).round_trip_ms == 2.0

    def test_connections_that_waited_for_a_busy_host_do_not_decide(self):
        host = Host()
        host.settle()
        host.take(2_960, is_new=True)
        assert host.take(3_023).round_trip_ms == 6.0


class TestGoal:
    CALLER_DELAY = CallerDelay(spent_ms=2.0, round_trip_ms=5.0)

    def compute(self, route: Route) -> float:
        return compute_goal(route, self.CALLER_DELAY, reserve_ms=RESERVE_MS)

    @pytest.mark.parametrize(
        ("goal_ms", "timeout_ms", "expected"),
        [
            (90, 400, 90 - 7 - RESERVE_MS),
            (10, 400, 5),
            (90, 60, 60),
        ],
    )
    def test_it_leaves_time_for_the_answer(self, goal_ms, timeout_ms, expected):
        assert self.compute(make_route(goal_ms, timeout_ms)) == expected
