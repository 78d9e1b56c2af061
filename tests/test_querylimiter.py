"""Admission of whole queries on a host."""

from random import Random

import pytest
import trio
import trio.testing

from lavendergap.coordination.querylimiter import (
    MIN_LIMIT,
    Admitted,
    QueryLimiter,
    Queued,
    is_slow,
)
from lavendergap.entry.admission import QueryAdmission
from lavendergap.state.customers import Precedence
from lavendergap.state.outcome import NotRun, Reason

DEADLINE_S = 0.28


class TestQueryLimiter:
    def test_refuses_at_once_what_cannot_start_in_time(self):
        # Guards against queueing queries that could only start after most of their
        # deadline.
        limiter = QueryLimiter()
        verdicts = [limiter.enter(now=0.0, left=DEADLINE_S) for _ in range(500)]
        refused = [v for v in verdicts if isinstance(v, NotRun)]
        assert len(refused) > 400
        assert all(v.reason is Reason.OVERLOADED for v in refused)
        assert all(v.retry_after_ms > 0 for v in refused)

    def test_a_quiet_hour_does_not_lower_the_limit(self):
        # Guards against estimating capacity from arrivals, which would refuse the first
        # burst after a quiet hour.
        limiter = QueryLimiter()
        for turn in range(50):
            limiter.enter(now=turn * 0.02, left=DEADLINE_S)
            limiter.leave(
                now=turn * 0.02 + 0.015, started=turn * 0.02, is_congested=False
            )
        verdicts = [limiter.enter(now=3_600.0, left=DEADLINE_S) for _ in range(20)]
        assert not any(isinstance(v, NotRun) for v in verdicts)

    def test_one_burst_of_late_queries_shrinks_the_limit_once(self):
        # Guards against a cut for each query of one burst, which would reduce the limit
        # to its minimum.
        limiter = QueryLimiter()
        limiter.limit = 10.0
        for _ in range(10):
            assert limiter.enter(now=0.0, left=DEADLINE_S) == Admitted()
        for _ in range(10):
            limiter.leave(now=0.2, started=0.0, is_congested=True)
        assert limiter.limit == 8.5

    def test_settles_where_the_slots_are_busy(self):
        # Guards against a limit at its minimum or far above the 4 slots, under twice
        # the load that they can serve.
        limits = run_overload(n_slots=4, service_s=0.01, rate=800.0, duration=20.0)
        settled = limits[len(limits) // 2 :]
        mean = sum(settled) / len(settled)
        assert 4.0 <= mean <= 40.0
        assert min(settled) > MIN_LIMIT

    def test_learns_how_long_queries_take_from_congested_ones(self):
        # Guards against a mean time from uncongested queries only, with which callers
        # would be refused late.
        limiter = QueryLimiter()
        limiter.limit = 1.0
        for turn in range(30):
            limiter.enter(now=turn * 0.2, left=DEADLINE_S)
            limiter.leave(now=(turn + 1) * 0.2, started=turn * 0.2, is_congested=True)
        assert limiter.enter(now=6.0, left=DEADLINE_S) == Admitted()
        assert isinstance(limiter.enter(now=6.0, left=DEADLINE_S), NotRun)

    def test_service_time_is_not_taken_for_a_queue(self):
        # Guards against taking calls that are slow on idle servers for queueing.
        assert not is_slow([0.09] * 20, limit=DEADLINE_S)
        assert is_slow([0.2] * 20, limit=DEADLINE_S)


class TestOrder:
    @pytest.mark.parametrize(
        ("customers", "order"),
        [
            ("", "0123456789"),  # Without customers: first come, first served.
            ("b", "0123456789"),
            # The urgent customer's first, then those of equal weight in turn.
            ("bbbbccbbau", "9048152367"),
            # Three of the heavy customer for one of each other.
            ("bbbbhhhhhh", "0456178923"),
        ],
    )
    def test_waiting_queries_are_served_by_priority_and_share(self, customers, order):
        """Guards against a customer that fills the queue and starves the others."""
        limiter = QueryLimiter()
        limiter.limit = 1.0
        assert limiter.enter(now=0.0, left=9.0) == Admitted()
        for number in range(10):
            name = customers[number % len(customers)] if customers else ""
            precedence = Precedence(
                customer=name,
                weight=3.0 if name == "h" else 1.0,
                priority=0 if name in "u" else 1,
            )
            verdict = limiter.enter(now=0.0, left=9.0, precedence=precedence)
            assert verdict == Queued(number=number + 1)
        served = ""
        for _ in order:
            limiter.leave(now=0.0, started=0.0, is_congested=True)
            limiter.limit = 1.0
            served += str((limiter.pop_ready() or 0) - 1)
        assert served == order

    def test_only_queries_ahead_count_for_the_wait(self):
        """Guards against refusing a customer for another one's waiting queries."""
        limiter = QueryLimiter()
        heavy = Precedence(customer="heavy")
        while not isinstance(
            limiter.enter(now=0.0, left=DEADLINE_S, precedence=heavy), NotRun
        ):
            pass
        light = Precedence(customer="light")
        verdict = limiter.enter(now=0.0, left=DEADLINE_S, precedence=light)
        assert isinstance(verdict, Queued)
        limiter.leave_queue(verdict.number)
        limiter.leave(now=0.0, started=0.0, is_congested=False)
        assert limiter.pop_ready() == 1


class TestWeights:
    def test_services_share_a_busy_host_by_their_weights(self):
        # Guards against shares that follow the number of callers instead of the
        # weights.
        light, heavy = share_pool(weights=(1.0, 3.0))
        assert 2.0 <= heavy / light <= 4.5
        even = share_pool(weights=(1.0, 1.0))
        assert 0.6 <= even[0] / even[1] <= 1.6


def share_pool(*, weights: tuple[float, float]) -> list[int]:
    """Return how many queries of each service one pool of 8 places served.

    Both services are always at their limit, and their order is random. A query is late
    if it waited too long for a place.
    """
    limiters = [QueryLimiter(weight=weight) for weight in weights]
    random = Random(3)
    free_at = [0.0] * 8
    running: list[tuple[float, float, bool, int]] = []
    n_served = [0, 0]
    now = 0.0

    def draw() -> float:
        return random.expovariate(1 / 0.05)

    while now < 60.0:
        for which in random.sample(range(2), 2):
            while limiters[which].enter(now=now, left=DEADLINE_S) == Admitted():
                running.append((*place(free_at, now, draw()), which))
        running.sort()
        end, started, late, which = running.pop(0)
        now = end
        n_served[which] += not late
        limiters[which].leave(now=end, started=started, is_congested=late)
        while limiters[which].pop_ready() is not None:
            running.append((*place(free_at, now, draw()), which))
    return n_served


def run_overload(
    *, n_slots: int, service_s: float, rate: float, duration: float
) -> list[float]:
    """Return the limits over time for a first-come-first-served pool under overload."""
    limiter = QueryLimiter()
    random = Random(7)
    free_at = [0.0] * n_slots
    ends: list[tuple[float, float, bool]] = []
    limits = []
    now = 0.0
    while now < duration:
        now += random.expovariate(rate)
        for end, started, late in [e for e in ends if e[0] <= now]:
            limiter.leave(now=end, started=started, is_congested=late)
            ends.remove((end, started, late))
            while (limiter.pop_ready()) is not None:
                ends.append(place(free_at, end, service_s))
        if limiter.enter(now=now, left=DEADLINE_S) == Admitted():
            ends.append(place(free_at, now, service_s))
        limits.append(limiter.limit)
    return limits


def place(
    free_at: list[float], now: float, service_s: float
) -> tuple[float, float, bool]:
    """Return the end, start and lateness of a query in the first free slot."""
    slot = min(range(len(free_at)), key=free_at.__getitem__)
    free_at[slot] = max(now, free_at[slot]) + service_s
    return free_at[slot], now, free_at[slot] - now > 0.3 * DEADLINE_S


class TestQueryAdmission:
    async def test_the_place_of_a_caller_that_left_goes_to_the_next(
        self, autojump_clock
    ):
        # Guards against losing a place when a caller leaves just as its query is
        # admitted.
        admission = QueryAdmission()
        admission.limiter.limit = 1.0
        assert await admission.enter(deadline=trio.current_time() + 10) is None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_and_leave, admission)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
            admission.leave(started=trio.current_time(), is_congested=False)
        assert admission.limiter.n_running == 0
        assert await admission.enter(deadline=trio.current_time() + 10) is None

    async def test_late_place_is_refused_before_the_deadline(self, autojump_clock):
        # Guards against a refusal at the deadline, too late for the caller to try
        # elsewhere.
        admission = QueryAdmission()
        admission.limiter.limit = 1.0
        start = trio.current_time()
        assert await admission.enter(deadline=start + 10) is None
        refusal = await admission.enter(deadline=start + 1.0)
        assert isinstance(refusal, NotRun)
        assert trio.current_time() - start < 1.0

    async def test_late_place_is_refused_with_most_of_the_time_left(
        self, autojump_clock
    ):
        # Guards against a refusal that leaves too little time for another host to
        # answer.
        admission = QueryAdmission()
        admission.limiter.limit = 1.0
        start = trio.current_time()
        assert await admission.enter(deadline=start + 10) is None
        assert isinstance(await admission.enter(deadline=start + 1.0), NotRun)
        assert trio.current_time() - start <= 0.3

    def test_waiting_comes_before_refusing(self):
        limiter = QueryLimiter()
        limiter.limit = 1.0
        assert limiter.enter(now=0.0, left=DEADLINE_S) == Admitted()
        assert isinstance(limiter.enter(now=0.0, left=DEADLINE_S), Queued)


async def wait_and_leave(admission: QueryAdmission) -> None:
    await admission.enter(deadline=trio.current_time() + 10)
