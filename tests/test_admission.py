"""Admission of calls to a group: which may wait, in what order, which are refused."""

from random import Random

import pytest

from lavendergap.coordination.admission import (
    MAX_RETRY_AFTER_S,
    TARGET_WAIT_SHARE,
    ArrivalRate,
    compute_admitted_share,
    compute_retry_after_ms,
)
from lavendergap.state.outcome import NotRun, Reason

from .groups import make_owner


class TestAdmission:
    def test_a_call_that_can_not_finish_is_refused_at_once(self):
        # Guards against queueing twice the calls that the slots can serve, which would
        # all be started too late.
        owner = make_owner("a", slots=1, queue_limit=100)
        owner.warm_up(elapsed=0.100)
        for _ in range(8):
            owner.submit(in_ms=490)
        refused = [owner.get_refusal(k) for k in owner.finished if k > 64]
        assert len(refused) == 4
        assert {r.reason for r in refused} == {Reason.OVERLOADED}
        assert all(300 <= r.retry_after_ms <= 900 for r in refused)

    def test_the_queue_limit_holds_while_nothing_is_known_of_service_times(self):
        owner = make_owner("a", slots=1, queue_limit=3)
        for _ in range(6):
            owner.submit(in_ms=60_000)
        assert sorted(owner.finished) == [5, 6]

    def test_the_earliest_deadline_is_served_first(self):
        owner = make_owner("a", slots=1)
        for in_ms in (500, 400, 300, 350):
            owner.submit(in_ms=in_ms)
        for _ in range(4):
            owner.end_last()
        assert [s.call.call_id for s in owner.started] == [1, 3, 4, 2]

    def test_the_most_urgent_is_served_first_whatever_its_deadline(self):
        # Guards against a short deadline going before a higher priority.
        owner = make_owner("a", slots=1)
        for in_ms, priority in ((500, 2), (300, 2), (500, 1), (400, 1)):
            owner.submit(in_ms=in_ms, priority=priority)
        for _ in range(4):
            owner.end_last()
        assert [s.call.call_id for s in owner.started] == [1, 4, 3, 2]

    def test_what_is_late_is_refused_wherever_it_stands(self):
        owner = make_owner("a", slots=1)
        owner.submit(in_ms=1_000)
        owner.submit(in_ms=1_000, priority=1)
        late = owner.submit(in_ms=50, priority=2)
        owner.move(0.06)
        assert isinstance(owner.finished[late.call_id].outcome, NotRun)

    def test_a_cancelled_call_leaves_the_queue(self):
        owner = make_owner("a", slots=1)
        for _ in range(3):
            owner.submit()
        owner.take(owner.scheduler.cancel(2, now=owner.now))
        assert isinstance(owner.finished[2].outcome, NotRun)
        owner.end_last()
        assert owner.started[-1].call.call_id == 3

    def test_a_call_for_a_missing_version_does_not_block_the_others(self):
        owner = make_owner("ab", slots=1)
        owner.submit()
        owner.submit()
        owner.submit(in_ms=100)
        owner.submit(in_ms=200)
        owner.submit(in_ms=300)
        owner.end_last()
        assert owner.started[-1].call.call_id == 3

    def test_the_time_to_come_back_is_bounded(self):
        assert compute_retry_after_ms(3_600.0, 0.0) == MAX_RETRY_AFTER_S * 1_000
        assert compute_retry_after_ms(0.0, 0.0) == 20


class TestArrivals:
    def test_a_rise_is_seen_within_a_second_and_a_pause_is_forgotten(self):
        arrivals = ArrivalRate()
        for n in range(200):
            arrivals.add(now=n / 100)
        for n in range(1_000):
            arrivals.add(now=2.0 + n / 1_000)
        assert arrivals.rate == pytest.approx(1_000, rel=0.05)
        for n in range(50):
            arrivals.add(now=60.0 + n / 100)
        assert arrivals.rate == pytest.approx(50, rel=0.05)

    def test_a_few_calls_at_once_are_no_rate(self):
        arrivals = ArrivalRate()
        for _ in range(19):
            arrivals.add(now=1.0)
        assert arrivals.rate == 0.0


class TestLevel:
    def test_a_longer_queue_admits_fewer_and_an_empty_one_more(self):
        levels = [
            compute_admitted_share(demand=2.0, wait_share=wait_share)
            for wait_share in (0.0, TARGET_WAIT_SHARE, 0.5, 9.0)
        ]
        assert levels == sorted(levels, reverse=True)
        assert (levels[1], levels[-1]) == (0.5, 0.0)

    def test_groups_under_overload_admit_the_same_queries(self):
        # Guards against groups that each refuse other queries, so that hardly any query
        # over many groups is complete.
        first, second = self.serve(seed=1), self.serve(seed=2)
        assert len(first & second) > 0.9 * len(first)
        assert 85 < len(first) < 115

    def serve(self, seed):
        """Serve 400 calls that come every 5 ms on one slot that takes about 10."""
        owner = make_owner("a", slots=1, seed=seed, hedge_budget=0.0)
        owner.warm_up()
        rng = Random(seed)
        ends_at = 0.0
        answered = set()
        for n in range(400):
            arrives_at = owner.now + 0.005
            while owner.open and ends_at <= arrives_at:
                owner.move(ends_at - owner.now)
                (start,) = owner.open.values()
                answered.add(start.call.request_id)
                owner.end(start.attempt_id, elapsed=rng.uniform(0.008, 0.012))
                ends_at += rng.uniform(0.008, 0.012)
            owner.move(arrives_at - owner.now)
            was_idle = not owner.open
            owner.submit(request_id=f"r-{n}")
            if was_idle:
                ends_at = owner.now + 0.010
        return {name for name in answered if int(name[2:]) >= 200}
