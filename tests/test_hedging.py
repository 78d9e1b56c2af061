"""Hedging: the delay, the budget, and when it must not happen."""

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
    """Quick looks of 3 ms beside searches of 10 ms, over 90 groups.

    A group gets a few calls a second, one in four a quick look. The figures are those
    of a signage operator with 90 shards of three servers.
    """

    def test_a_quick_look_is_hedged_by_the_time_of_quick_looks(self):
        # Its server has turned slow. Held against searches, it was hedged when too
        # little of its 33 ms was left for the second server.
        kinds = KindLatencies()
        for _ in range(30):
            kinds.get("quick", quantile=0.9).add(0.003)
            kinds.get("search", quantile=0.9).add(0.010)
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="quick", goal_ms=33)
        owner.move(0.012)
        assert owner.started[-1].cause == "hedge"

    def test_a_search_is_not_hedged_for_taking_longer_than_quick_looks(self):
        kinds = KindLatencies()
        for _ in range(30):
            kinds.get("quick", quantile=0.9).add(0.003)
            kinds.get("search", quantile=0.9).add(0.010)
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="search")
        owner.move(0.009)
        assert [start.cause for start in owner.started] == ["first"]

    def test_a_hedge_leaves_time_for_the_second_call(self):
        # A third of the servers is slow: the quantile, and what is far beyond the
        # third quartile, is most of the goal. Hedged then, a call would be late.
        kinds = KindLatencies()
        for latency in [0.012] * 40 + [0.080] * 24:
            kinds.get("search", quantile=0.9).add(latency)
        owner = make_owner("ab", kinds=kinds)
        owner.submit(kind="search", goal_ms=82)
        owner.move(0.042)
        assert owner.started[-1].cause == "hedge"

    def test_a_host_that_has_seen_no_call_hedges_by_the_goal(self):
        # A lookup comes to one of 77 hosts, which has seen none for a minute, and its
        # server is slow. It was waited for until the caller's deadline.
        owner = make_owner("ab")
        owner.submit(kind="lookup", goal_ms=340, in_ms=1_500)
        owner.move(0.169)
        assert len(owner.started) == 1
        owner.move(0.002)
        assert owner.started[-1].cause == "hedge"

    def test_what_other_groups_have_seen_tells_when_to_hedge(self):
        # A group's first call, at a server that is slow: eight calls of its own, that
        # it has not seen, would take it several seconds.
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

    def test_a_near_replica_that_had_searches_is_as_fast_as_one_that_had_looks(self):
        # The remote replica's last call was a quick look, the near one's a search.
        # In seconds the near one would be over three times as slow, and its group
        # would be asked across data centres for nothing.
        group = Group(
            name="scheduler-00",
            servers=tuple(
                replace(server, data_centre=place)
                for server, place in zip(
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
        # One replica pauses for a collection of garbage. The caller would wait for
        # it, although the other replica has a free slot and answers in 10 ms.
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
        """Guards against taking another process for the one that holds up the call."""
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
        # With 85 shards a query meets a call whose hedge straggles too in 3 of 100
        # cases if 1 of 50 attempts does. Without another one it waits for both.
        owner = make_owner("ab")
        owner.warm_up()
        owner.submit()
        owner.move(0.030)
        assert [s.cause for s in owner.started[-2:]] == ["hedge", "hedge"]
        owner.move(0.100)
        assert len(owner.open) == 3

    def test_merely_slow_calls_leave_the_budget_to_stragglers(self):
        # Hedged after the quantile of 0.95, one call in twenty would take the whole
        # budget of 0.05, and a real straggler would find it empty.
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
        # All calls take 10 ms, so the quantile is 10 ms too and each of them is due
        # for a hedge just as it is answered. They took every token, and one call in
        # 50 that took 20 times as long was not hedged: as slow as without hedging.
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
        # Chance brought four stragglers among a hundred calls. The quantile is then
        # their time, and each of the next stragglers was waited for to its end.
        owner = make_owner("ab")
        owner.warm_up(n_calls=96, elapsed=0.010)
        owner.warm_up(n_calls=4, elapsed=0.200)
        owner.warm_up(n_calls=12, elapsed=0.010)
        owner.submit()
        owner.move(0.060)
        assert owner.started[-1].cause == "hedge"

    def test_a_hedge_takes_a_slot_soon_after_it_frees(self):
        # Bursts keep all slots busy when a hedge is due. It looked again after half
        # the delay only, by when the next burst had come.
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
        # A group had not been asked for in 15 s, so its owner starts anew. Its first
        # 32 calls were not hedged: of the queries of the first second a third met a
        # straggler and waited for it.
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
        # All slots are taken, one by a straggler, and a call waits. Given to that
        # call, each slot that comes free would pass the straggler by for as long as
        # anybody waits, and its whole query with it; the call loses one slot's time.
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
        # Under overload every call is slow. Hedges would take the slots that the
        # waiting calls need, and make the overload worse.
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
        # The whole group turns ten times slower. Each call is now beyond the old
        # quantile, and without a budget the load would double at the worst time.
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

    def test_cut_stragglers_stay_in_the_quantile(self):
        # Each hedge cancels the slow attempt. Left out, only fast answers would be
        # seen, the delay would sink, and ever more calls would be hedged.
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


class TestShareOfTheAllowance:
    """An owner that is asked for a group's calls before it knows the route.

    It takes the group for one that all hosts call, and its part of the allowance for a
    seventy-eighth. Once it knows, its part is that of one owner of a few.
    """

    def test_a_part_that_grows_is_spent(self):
        """Guards against groups that hardly hedge for as long as an owner has them."""
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

    def test_a_part_that_shrinks_is_not_spent_twice(self):
        """Guards against an owner that goes on with the part of one of a few."""
        budget = Budget(share=0.1, burst=16.0, per_second=1.0)
        budget.replace(share=0.1, burst=2.0, per_second=0.1)
        assert [budget.spend(now=0.0) for _ in range(3)] == [True, True, False]

    def test_a_part_that_grows_and_shrinks_by_turns_adds_up_to_the_largest(self):
        """Guards against tokens that each lost and regained data centre would bring."""
        budget = Budget(share=0.1, burst=2.0, per_second=0.0)
        n_spent = 0
        for burst in (8.0, 2.0) * 20:
            budget.replace(share=0.1, burst=burst, per_second=0.0)
            while budget.spend(now=0.0):
                n_spent += 1
        assert n_spent == 8


class TestWithheld:
    def test_it_is_told_once_why_a_slow_call_is_not_hedged(self):
        # A caller's answer came late. Its log shows the slow server; without this line
        # nobody could tell whether a second one was forgotten or not allowed.
        told: list[WithholdHedge] = []

        def note(effects):
            told.extend(e for e in effects if isinstance(e, WithholdHedge))

        owner = make_owner("ab", slots=1)
        owner.warm_up()
        owner.check = note
        owner.submit()
        slow = owner.submit()
        owner.move(0.200)
        assert {(e.call.call_id, e.why) for e in told} == {
            (slow.call_id - 1, "no free slot"),
            (slow.call_id, "no free slot"),
        }
        assert len(told) == 2


class TestGoal:
    def test_a_call_with_time_to_its_goal_is_not_hedged_for_being_slow(self):
        # Calls take 10 ms and are wanted within 80. One that takes 20 ms answers by
        # itself; one that hangs is hedged early enough for twice the usual time.
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
