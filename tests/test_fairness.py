"""Order of waiting calls among customers, and which give way when the queue is full."""

from random import Random

import pytest

from lavendergap.coordination.fairness import FairQueue
from lavendergap.coordination.progress import Progress
from lavendergap.coordination.waiting import WaitingCalls
from lavendergap.state.outcome import NotRun, Reason

from .groups import Owner, lose, make_owner, refuse

SERVICE_S = 0.010


def make_progress(owner: Owner, **options) -> Progress:
    """Return a call that is not submitted."""
    owner.take(owner.scheduler.stop(now=owner.now))
    return Progress(call=owner.submit(**options), may_hedge=lambda: True)


def list_served(owner: Owner) -> list[int]:
    """End all attempts, one after the other; return the calls in the order served."""
    while owner.open:
        owner.end(next(iter(owner.open)))
    return [start.call.call_id for start in owner.started]


class TestOrder:
    @pytest.mark.parametrize(
        ("calls", "expected"),
        [
            # Customer, weight, priority and ms left of each; the first takes the slot.
            ([("x", 1, 0, 500)] * 4 + [("y", 1, 0, 500)] * 2, [1, 2, 5, 3, 6, 4]),
            ([("x", 1, 0, 500)] * 4 + [("y", 2, 0, 500)] * 3, [1, 2, 5, 6, 3, 7, 4]),
            ([("x", 1, 0, 500)] * 3 + [("y", 1, 0, 400)], [1, 4, 2, 3]),
            ([("x", 1, 0, 500)] * 3 + [("y", 1, 1, 100)], [1, 2, 3, 4]),
            ([("x", 1, 1, 500)] * 3 + [("x", 1, 0, 900)], [1, 4, 2, 3]),
            ([("x", 1, 0, 500), ("x", 1, 0, 500), ("x", 1, 0, 400)], [1, 3, 2]),
        ],
    )
    def test_by_priority_then_share_then_deadline(self, calls, expected):
        owner = make_owner("a", slots=1)
        for customer, weight, priority, in_ms in calls:
            owner.submit(
                customer=customer, weight=weight, priority=priority, in_ms=in_ms
            )
        assert list_served(owner) == expected

    @pytest.mark.parametrize("customers", [("",), ("x",), ("", "x", "y", "z")])
    def test_the_place_of_a_call_is_known_before_it_waits(self, customers):
        # Guards against admitting a call by a wait that it will not have, and against
        # another order than by priority and deadline where no customers compete.
        owner, rng, waiting = make_owner(), Random(1), WaitingCalls()
        weights = {"": 1.0, "x": 2.0, "y": 0.5, "z": 1.0}
        for _ in range(300):
            customer = rng.choice(customers)
            progress = make_progress(
                owner,
                customer=customer,
                weight=weights[customer],
                priority=rng.randrange(3),
                in_ms=rng.randrange(100, 120),
            )
            n_ahead = waiting.count_ahead(progress.call)
            waiting.add(progress)
            assert list(waiting).index(progress) == n_ahead
            for served in list(waiting)[: rng.randrange(3)]:
                waiting.take(served)
            if len(customers) == 1:
                calls = [each.call for each in waiting]
                assert calls == sorted(
                    calls, key=lambda c: (c.priority, c.deadline, c.call_id)
                )

    def test_customers_without_calls_are_forgotten(self):
        # Guards against state that grows with the number of customers.
        owner, queue = make_owner(), FairQueue()
        for n in range(2_000):
            queue.add(make_progress(owner, customer=f"c{n}"))
            queue.add(make_progress(owner, customer="x"))
            for progress in list(queue)[:2]:
                queue.remove(progress, is_served=True)
            assert len(queue._finish_tags) <= len(queue._finish_heap) <= 3


class TestShares:
    """One server with two slots, that is, 200 calls a second."""

    def run(self, rates: dict[str, float], *, are_named: bool = True, **options):
        """Send calls at these rates for 4 s; return waits in seconds by customer."""
        owner = make_owner("a", slots=2, hedge_budget=0.0, **options)
        owner.warm_up(elapsed=SERVICE_S)
        rng = Random(1)
        arrivals = sorted(
            (owner.now + rng.uniform(0.0, 4.0), name)
            for name, rate in rates.items()
            for _ in range(int(4.0 * rate))
        )
        names: dict[int, str] = {}
        arrived: dict[int, float] = {}
        waits: dict[str, list[float]] = {name: [] for name in rates}
        ends: dict[int, float] = {}
        n_started = len(owner.started)
        while arrivals or owner.open:
            next_end = min(ends.values(), default=1e9)
            if arrivals and arrivals[0][0] < next_end:
                at, name = arrivals.pop(0)
                owner.move(at - owner.now)
                call_id = owner.n_calls + 1
                names[call_id], arrived[call_id] = name, at
                owner.submit(
                    request_id=f"r-{call_id}",
                    customer=name if are_named else "",
                    in_ms=1_000,
                )
            else:
                owner.move(next_end - owner.now)
                attempt_id = min(ends, key=lambda each: ends[each])
                del ends[attempt_id]
                owner.end(attempt_id, elapsed=SERVICE_S)
            for start in owner.started[n_started:]:
                call_id = start.call.call_id
                ends[start.attempt_id] = owner.now + SERVICE_S
                waits[names[call_id]].append(owner.now - arrived[call_id])
            n_started = len(owner.started)
        return waits

    def test_a_surge_of_one_customer_leaves_the_others_as_they_were(self):
        # Guards against a customer at 7.5 times its usual rate that delays the others
        # or has them refused.
        usual = dict.fromkeys("abcde", 20.0)
        surge = usual | {"a": 150.0}
        before, after = self.run(usual), self.run(surge)
        unfair = self.run(surge, are_named=False)
        for name in "bcde":
            assert len(after[name]) == len(before[name]) == 80
            assert mean(after[name]) < mean(before[name]) + SERVICE_S
            assert max(after[name]) < max(before[name]) + 4 * SERVICE_S
            assert mean(unfair[name]) > 4 * mean(after[name])
        # What the others leave, the surge may use.
        assert sum(map(len, after.values())) > 0.93 * 800

    def test_none_starves_and_shares_follow_weights(self):
        owner = make_owner("a", slots=1, queue_limit=1_000)
        for customer, weight, n_calls in (("x", 1, 99), ("y", 10, 99), ("z", 89, 99)):
            for _ in range(n_calls):
                owner.submit(customer=customer, weight=weight, in_ms=60_000)
        served = list_served(owner)
        first = [owner.finished[call_id].call.customer for call_id in served[:100]]
        assert first.count("x") in (1, 2, 3)
        assert first.count("y") == pytest.approx(10, abs=2)

    def test_a_customer_whose_calls_come_singly_gets_no_more_than_its_share(self):
        # Guards against starving a customer with waiting calls by one that has none
        # between its calls.
        owner = make_owner("a", slots=1, queue_limit=100)
        for _ in range(60):
            owner.submit(customer="x", in_ms=60_000)
        for _ in range(40):
            if not any(p.call.customer == "y" for p in owner.scheduler._waiting):
                owner.submit(customer="y", in_ms=60_000)
            owner.end_last()
        served = [start.call.customer for start in owner.started]
        assert served.count("y") == pytest.approx(20, abs=1)


class TestFullQueue:
    def test_urgent_calls_take_the_room_of_bulk_calls(self):
        # Guards against refusing urgent calls for less urgent ones that wait, and
        # against bulk callers that all return at once.
        owner = make_owner("a", slots=1, queue_limit=8)
        bulk = [owner.submit(customer="b", priority=5, in_ms=900) for _ in range(9)]
        urgent = [owner.submit(customer="u", in_ms=500) for _ in range(8)]
        refusals = [owner.get_refusal(call.call_id) for call in bulk[1:]]
        assert {r.reason for r in refusals} == {Reason.OVERLOADED}
        assert len({r.retry_after_ms for r in refusals}) == 8
        assert min(r.retry_after_ms for r in refusals) >= 20
        owner.submit(customer="b", priority=5)
        assert isinstance(owner.finished[owner.n_calls].outcome, NotRun)
        assert list_served(owner) == [1, *(call.call_id for call in urgent)]

    def test_groups_displace_the_same_queries(self):
        # Guards against groups that each displace other bulk queries, so that hardly
        # any is complete.
        kept = []
        for names in ("abcdefgh", "hgfedcba"):
            owner = make_owner("a", slots=1, queue_limit=8)
            owner.submit(customer="b")
            for name in names:
                owner.submit(customer="b", priority=5, request_id=name)
            for _ in range(4):
                owner.submit(customer="u", request_id="u")
            kept.append({p.call.request_id for p in owner.scheduler._waiting})
        assert kept[0] == kept[1]
        assert len(kept[0]) == 5

    def test_the_customer_with_most_work_for_its_weight_gives_way(self):
        owner = make_owner("a", slots=1, queue_limit=6)
        for customer in "xxyxyyy":
            owner.submit(customer=customer, weight=4 if customer == "y" else 1)
        owner.submit(customer="z")
        assert list(owner.finished) == [2]
        owner.submit(customer="z")  # No customer has more waiting than this one now.
        assert list(owner.finished) == [2, 9]

    def test_a_call_that_may_have_run_is_not_displaced(self):
        # Guards against the outcome "not run" for a call whose first attempt may have
        # run.
        owner = make_owner("a", slots=2, queue_limit=1)
        owner.submit(customer="b", priority=5)
        owner.submit(customer="b", priority=5)
        owner.end(2, refuse(Reason.SHED, retry_after_ms=100))
        owner.end(1, lose(Reason.SERVER_ERROR))
        owner.submit(customer="u")
        owner.submit(customer="u")
        assert list(owner.finished) == [2, 4]

    def test_nothing_is_displaced_without_customers(self):
        # Guards against a change for deployments whose manifest has no customers.
        owner = make_owner("a", slots=1, queue_limit=1)
        for priority in (5, 5, 0):
            owner.submit(priority=priority)
        assert sorted(owner.finished) == [3]

    def test_a_call_that_urgent_ones_make_late_is_refused_at_once(self):
        owner = make_owner("a", slots=1, queue_limit=100)
        owner.warm_up(elapsed=0.100)
        owner.submit(customer="b", priority=5, in_ms=900)
        late = owner.submit(customer="b", priority=5, in_ms=450)
        for _ in range(3):
            owner.submit(customer="u", in_ms=900)
        assert owner.get_refusal(late.call_id).reason is Reason.OVERLOADED


def mean(values: list[float]) -> float:
    return sum(values) / len(values)
