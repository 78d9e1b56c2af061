"""Hedging: the delay, the budget, and when no hedge is sent."""

from dataclasses import replace
from random import Random

from lavendergap.coordination.budget import Budget
from lavendergap.coordination.calls import CancelAttempt, WithholdHedge
from lavendergap.coordination.hedging import (
    MAX_KINDS,
    MAX_SAMPLES,
    MIN_SAMPLES,
    KindLatencies,
    RecentLatencies,
)
from lavendergap.state.outcome import Answered, Reason
from lavendergap.state.settings import ExtraCalls, Group

from .groups import lose, make_group, make_owner, refuse


class TestRecentLatencies:
    def test_no_quantile_from_a_handful_of_calls(self):
        recent = RecentLatencies(quantile=0.95)
        for _ in range(MIN_SAMPLES - 1):
            recent.add(0.010)
        assert recent.delay is None

    def test_a_slow_spell_is_forgotten(self):
        recent = RecentLatencies(quantile=0.95)
        for latency in [1.0] * MAX_SAMPLES + [0.010] * MAX_SAMPLES:
            recent.add(latency)
        assert recent.delay == 0.010
        assert len(recent) == MAX_SAMPLES


class TestKinds:
    """Lookups of 3 ms next to searches of 10 ms, in groups with few calls."""

    def test_a_lookup_is_hedged_by_the_latency_of_lookups(self):
        # Guards against comparing a lookup with searches, so that its hedge comes too
        # late for its goal.
        kinds = KindLatencies()
        for _ in range(30):
            kinds.get("quick", quantile=0.9).add(0.003)
            kinds.get("search", quantile=0.9).add(0.010)
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="quick", goal_ms=33)
        owner.move(0.012)
        assert owner.started[-1].cause == "hedge"

    def test_a_search_is_not_hedged_for_taking_longer_than_lookups(self):
        kinds = KindLatencies()
        for _ in range(30):
            kinds.get("quick", quantile=0.9).add(0.003)
            kinds.get("search", quantile=0.9).add(0.010)
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="search")
        owner.move(0.009)
        assert [start.cause for start in owner.started] == ["first"]

    def test_a_hedge_leaves_time_for_the_second_call(self):
        # Guards against a late hedge when a third of the servers is slow and the
        # quantile is most of the goal.
        kinds = KindLatencies()
        for latency in [0.012] * 40 + [0.080] * 24:
            kinds.get("search", quantile=0.9).add(latency)
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="search", goal_ms=82)
        owner.move(0.042)
        assert owner.started[-1].cause == "hedge"

    def test_a_host_that_has_seen_no_call_hedges_by_the_goal(self):
        # Guards against no hedge at all on a host without recent latencies.
        owner = make_owner("ab")
        owner.submit(kind="lookup", goal_ms=340, in_ms=1_500)
        owner.move(0.169)
        assert len(owner.started) == 1
        owner.move(0.002)
        assert owner.started[-1].cause == "hedge"

    def test_what_other_groups_have_seen_tells_when_to_hedge(self):
        # Guards against no hedge in a group's first calls although other groups have
        # latencies of this kind.
        kinds = KindLatencies()
        seen = make_owner("ab", kinds=kinds)
        for _ in range(8):
            seen.submit(kind="search")
            seen.now += 0.010
            seen.end_last()
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="search")
        owner.move(0.030)
        assert owner.started[-1].cause == "hedge"

    def test_a_replica_with_searches_counts_as_fast_as_one_with_lookups(self):
        # Guards against comparing latencies of different kinds in seconds, which would
        # send calls to another data centre.
        group = Group(
            name="scheduler-00",
            servers=tuple(
                replace(server, data_centre=data_centre)
                for server, data_centre in zip(
                    make_group("ab").servers, ("ptl-a", "ptl-b"), strict=True
                )
            ),
        )
        owner = make_owner(group=group, data_centre="ptl-a")
        owner.scheduler._replicas[1].note_end(
            Answered(body=b""), elapsed=1.0, fresh=False, now=owner.now, rng=Random(1)
        )
        for kind, elapsed in [("quick", 0.003), ("search", 0.012)] * 16:
            owner.submit(kind=kind)
            assert owner.started[-1].server == "a"
            owner.now += elapsed
            owner.end(owner.started[-1].attempt_id, elapsed=elapsed)

    def test_only_so_many_kinds_are_kept(self):
        kinds = KindLatencies()
        first = kinds.get("0", quantile=0.9)
        for number in range(1, MAX_KINDS + 1):
            assert kinds.get(str(number), quantile=0.9) is not first
            kept = kinds.get("1", quantile=0.9)
        assert kinds.get("1", quantile=0.9) is kept
        assert kinds.get("0", quantile=0.9) is not first


class TestHedge:
    def test_a_straggler_is_overtaken_and_cancelled(self):
        # Guards against waiting for a paused replica while another one has a free slot.
        owner = make_owner("ab")
        owner.warm_up()
        owner.submit()
        slow = owner.started[-1]
        owner.move(0.012)
        hedge = owner.started[-1]
        assert (hedge.cause, hedge.call) == ("hedge", slow.call)
        assert hedge.server != slow.server
        effects = owner.end_last()
        assert CancelAttempt(attempt_id=slow.attempt_id) in effects
        assert isinstance(owner.finished[slow.call.call_id].outcome, Answered)
        owner.end(slow.attempt_id, lose(Reason.CANCELLED))
        assert owner.scheduler.describe(now=owner.now).n_in_flight == 0

    def test_a_server_that_has_moved_may_get_the_hedge(self):
        """Guards against taking a new process for the one that holds up the call."""
        owner = make_owner("a")
        owner.warm_up()
        owner.submit()
        group = make_group("a", port=30_000)
        scheduler = owner.scheduler
        owner.take(
            scheduler.replace(
                group=group,
                service=scheduler.service,
                control=scheduler.control,
                now=owner.now,
            )
        )
        owner.move(0.012)
        assert (owner.started[-1].cause, len(owner.open)) == ("hedge", 2)

    def test_a_second_hedge_overtakes_two_slow_attempts(self):
        # Guards against waiting for a slow attempt and a slow hedge.
        owner = make_owner("ab")
        owner.warm_up()
        owner.submit()
        owner.move(0.030)
        assert [s.cause for s in owner.started[-2:]] == ["hedge", "hedge"]
        owner.move(0.100)
        assert len(owner.open) == 3

    def test_merely_slow_calls_leave_the_budget_to_stragglers(self):
        # Guards against hedges of slightly slow calls that spend the whole budget.
        owner = make_owner("ab", hedge_budget=0.05)
        rng = Random(1)
        for _ in range(3_000):
            owner.submit()
            first = owner.started[-1]
            elapsed = 0.010 * rng.lognormvariate(0.0, 0.35)
            owner.move(elapsed)
            owner.end(first.attempt_id, elapsed=elapsed)
            for attempt_id in list(owner.open):
                owner.end(attempt_id, lose(Reason.CANCELLED), elapsed=0.001)
        assert owner.scheduler.describe(now=owner.now).n_budget_denials <= 10

    def test_calls_that_take_equally_long_leave_tokens_to_stragglers(self):
        # Guards against calls of equal latency, all due for a hedge as they are
        # answered, spending every token.
        owner = make_owner("ab", hedge_budget=0.05)
        owner.warm_up(n_calls=64, elapsed=0.010)
        for _ in range(90):
            owner.submit()
            first = owner.started[-1]
            owner.move(0.0101)
            owner.end(first.attempt_id, elapsed=0.010)
            for attempt_id in list(owner.open):
                owner.end(attempt_id, lose(Reason.CANCELLED), elapsed=0.001)
        straggler = owner.submit()
        owner.move(0.025)
        hedge = owner.started[-1]
        assert (hedge.cause, hedge.call) == ("hedge", straggler)

    def test_stragglers_among_the_last_calls_do_not_put_hedges_off(self):
        # Guards against a quantile raised to a straggler's latency by a few stragglers.
        owner = make_owner("ab")
        owner.warm_up(n_calls=96, elapsed=0.010)
        owner.warm_up(n_calls=4, elapsed=0.200)
        owner.warm_up(n_calls=12, elapsed=0.010)
        owner.submit()
        owner.move(0.060)
        assert owner.started[-1].cause == "hedge"

    def test_a_hedge_takes_a_slot_soon_after_it_frees(self):
        # Guards against trying a blocked hedge again so late that the next burst has
        # taken the slots.
        owner = make_owner("ab", slots=1)
        owner.warm_up()
        slow = owner.submit()
        owner.submit()
        owner.move(0.011)
        owner.end_last()
        owner.move(0.002)
        hedge = owner.started[-1]
        assert (hedge.cause, hedge.call) == ("hedge", slow)

    def test_a_new_owner_hedges_after_its_first_calls(self):
        # Guards against a new owner waiting for many calls before it hedges.
        owner = make_owner("ab")
        owner.warm_up(n_calls=10)
        owner.submit()
        owner.move(0.030)
        assert "hedge" in [start.cause for start in owner.started]

    def test_a_refused_hedge_leaves_the_first_attempt_running(self):
        owner = make_owner("ab")
        owner.warm_up()
        call = owner.submit()
        owner.move(0.012)
        owner.end_last(refuse(Reason.SHED, retry_after_ms=50))
        assert call.call_id not in owner.finished
        owner.end(owner.started[-2].attempt_id)
        assert isinstance(owner.finished[call.call_id].outcome, Answered)

    def test_a_booking_is_never_hedged(self):
        owner = make_owner("ab")
        owner.warm_up()
        owner.submit(idempotent=False)
        owner.move(0.2)
        assert owner.started[-1].cause == "first"

    def test_a_straggler_comes_before_a_short_queue(self):
        # Guards against a straggler that delays its whole query while each free slot
        # goes to a waiting call.
        owner = make_owner("ab", slots=1)
        owner.warm_up()
        straggler = owner.submit()
        owner.submit()
        waiting = owner.submit()
        other = owner.started[-1].attempt_id
        owner.move(0.060)
        assert "hedge" not in [s.cause for s in owner.started]
        owner.end(other, elapsed=0.060)
        assert owner.started[-1].cause == "hedge"
        assert owner.started[-1].call is straggler
        owner.end_last()
        assert straggler.call_id in owner.finished
        assert owner.started[-1].call is waiting

    def test_no_hedge_while_more_calls_wait_than_there_are_slots(self):
        # Guards against hedges that make an overload worse.
        owner = make_owner("ab", slots=1)
        owner.warm_up()
        owner.submit()
        owner.submit()
        waiting = [owner.submit() for _ in range(3)]
        other = owner.started[-1].attempt_id
        owner.move(0.060)
        owner.end(other, elapsed=0.060)
        assert owner.started[-1].call is waiting[0]
        assert "hedge" not in [s.cause for s in owner.started]

    def test_no_hedge_on_a_replica_without_a_free_slot(self):
        owner = make_owner("ab", slots=1)
        owner.warm_up()
        owner.submit()
        owner.submit()
        owner.move(0.050)
        assert "hedge" not in [s.cause for s in owner.started]
        owner.end_last()
        owner.move(0.050)
        assert owner.started[-1].cause == "hedge"

    def test_when_all_calls_are_slow_the_budget_holds(self):
        # Guards against doubling the load when the whole group turns slow.
        owner = make_owner("ab", slots=2, hedge_budget=0.01)
        owner.warm_up(n_calls=256)
        for _ in range(200):
            owner.submit()
            owner.move(0.030)
            for attempt_id in sorted(owner.open):
                if attempt_id in owner.open:
                    owner.end(attempt_id, elapsed=0.100)
        n_hedges = sum(s.cause == "hedge" for s in owner.started)
        assert 0 < n_hedges <= 3 + 0.01 * 456

    def test_cancelled_stragglers_stay_in_the_quantile(self):
        # Guards against dropping cancelled attempts from the latencies, which would
        # cause ever more hedges.
        owner = make_owner("ab", hedge_budget=1.0, hedge_after_quantile=0.4)
        owner.warm_up(n_calls=64, elapsed=0.010)
        for _ in range(256):
            owner.submit()
            first = owner.started[-1]
            owner.move(0.018)
            if owner.started[-1] is not first:
                owner.end(owner.started[-1].attempt_id, elapsed=0.001)
                owner.end(first.attempt_id, lose(Reason.CANCELLED), elapsed=0.018)
                for attempt_id in list(owner.open):
                    owner.end(attempt_id, lose(Reason.CANCELLED), elapsed=0.001)
            else:
                owner.end(first.attempt_id, elapsed=0.018)
        assert (owner.scheduler._group_latencies.delay or 0.0) > 0.010


class TestChangingHedgeBudget:
    """An owner whose share of a group's hedge budget changes.

    Until the route is known the owner assumes that all hosts call the group, and that
    its share is small. After that the share is that of one of a few owners.
    """

    def test_a_larger_share_is_spent(self):
        """Guards against an owner that keeps the small share it started with."""
        owner = make_owner(extra=ExtraCalls(hedge_burst=1.0, hedges_per_second=0.08))
        owner.warm_up()
        scheduler = owner.scheduler
        extra = ExtraCalls(hedge_burst=16.0, hedges_per_second=1.6)
        service = replace(scheduler.service, extra=extra)
        owner.take(
            scheduler.replace(
                group=scheduler.group,
                service=service,
                control=scheduler.control,
                now=owner.now,
            )
        )
        for _ in range(10):
            owner.submit()
            owner.move(0.030)
            for attempt_id in list(owner.open):
                owner.end(attempt_id, elapsed=0.030)
        hedges = [start for start in owner.started if start.cause == "hedge"]
        assert len(hedges) >= 10

    def test_a_smaller_share_drops_tokens(self):
        """Guards against an owner that keeps tokens beyond its smaller share."""
        budget = Budget(share=0.1, burst=16.0, per_second=1.0)
        budget.replace(share=0.1, burst=2.0, per_second=0.1)
        assert [budget.try_spend(now=0.0) for _ in range(3)] == [True, True, False]

    def test_a_changing_share_adds_up_to_its_largest(self):
        """Guards against new tokens each time a data centre is lost and back."""
        budget = Budget(share=0.1, burst=2.0, per_second=0.0)
        n_spent = 0
        for burst in (8.0, 2.0) * 20:
            budget.replace(share=0.1, burst=burst, per_second=0.0)
            while budget.try_spend(now=0.0):
                n_spent += 1
        assert n_spent == 8


class TestWithheld:
    def test_it_is_told_once_why_a_slow_call_is_not_hedged(self):
        # Guards against a log that does not show why a late call was not hedged.
        withheld: list[WithholdHedge] = []

        def note(effects):
            withheld.extend(e for e in effects if isinstance(e, WithholdHedge))

        owner = make_owner("ab", slots=1)
        owner.warm_up()
        owner.check = note
        owner.submit()
        slow = owner.submit()
        owner.move(0.200)
        assert {(e.call.call_id, e.why) for e in withheld} == {
            (slow.call_id - 1, "no free slot"),
            (slow.call_id, "no free slot"),
        }
        assert len(withheld) == 2


class TestGoal:
    def test_a_call_with_time_to_its_goal_is_not_hedged_for_being_slow(self):
        # Guards against a hedge too early for a call that takes twice the usual time,
        # and too late for one that hangs.
        owner = make_owner()
        owner.warm_up()
        owner.submit(goal_ms=80)
        owner.move(0.020)
        assert len(owner.open) == 1
        owner.end_last()
        owner.submit(goal_ms=80)
        owner.move(0.030)
        assert len(owner.open) == 2

    def test_a_goal_that_is_near_does_not_put_a_hedge_off(self):
        owner = make_owner()
        owner.warm_up()
        owner.submit(goal_ms=15)
        owner.move(0.012)
        assert len(owner.open) == 2
