"""The group scheduler: dispatch, queue, retries, deadlines, changes, stopping."""

from dataclasses import replace
from random import Random

import pytest

from lavendergap.coordination.attempts import MAX_ATTEMPTS
from lavendergap.coordination.calls import CancelAttempt, FinishCall, StartAttempt
from lavendergap.coordination.catalog import QUEUE_LIMIT
from lavendergap.coordination.timers import MAX_STALE_TIMERS
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.settings import Control, ExtraCalls, Group

from .groups import (
    ANSWER,
    lose,
    make_group,
    make_owner,
    make_report,
    make_service,
    refuse,
)

SHED = refuse(Reason.SHED, retry_after_ms=1)
FULL_POOL = NotRun(step=Step.CONNECT, peer="a", reason=Reason.OVERLOADED)


class TestDispatch:
    def test_a_free_slot_starts_the_call_at_once(self):
        owner = make_owner()
        call = owner.submit()
        (start,) = owner.started
        assert (start.call, start.cause) == (call, "first")
        assert start.why.endswith(f"-> {start.server}")
        assert owner.end_last() == [
            FinishCall(
                call=call,
                outcome=ANSWER,
                server=start.server,
                n_attempts=1,
                n_servers=1,
            )
        ]

    def test_calls_spread_over_the_slots_and_then_wait(self):
        owner = make_owner("ab", slots=2)
        for _ in range(5):
            owner.submit()
        assert sorted(s.server for s in owner.started) == ["a", "a", "b", "b"]
        owner.end_last()
        assert owner.started[-1].call.call_id == 5

    def test_a_call_submitted_twice_is_an_error_of_the_program(self):
        owner = make_owner()
        call = owner.submit()
        with pytest.raises(ValueError, match="already submitted"):
            owner.scheduler.submit(call, now=owner.now)

    def test_a_cancelled_attempt_keeps_its_slot_until_the_transport_ends_it(self):
        # Guards against a new call on a slot that the server still uses for a cancelled
        # one.
        owner = make_owner("a", slots=1)
        call = owner.submit()
        owner.submit()
        effects = owner.take(owner.scheduler.cancel(call.call_id, now=owner.now))
        assert CancelAttempt(attempt_id=1) in effects
        owner.submit()
        assert len(owner.started) == 1
        owner.end(1, lose(Reason.CANCELLED))
        assert owner.started[-1].call.call_id == 2
        assert owner.finished[1].outcome == Unknown(
            step=Step.RECEIVE, peer="a", reason=Reason.CANCELLED
        )

    def test_an_unknown_attempt_or_call_changes_nothing(self):
        owner = make_owner()
        owner.submit()
        owner.end(1)
        owner.open[1] = owner.started[0]
        assert owner.end(1) == []
        assert owner.scheduler.cancel(1, now=owner.now) == []


class TestRetry:
    def test_a_refusal_goes_to_another_replica_also_for_a_booking(self):
        # Guards against failing a booking that was refused before any of it was sent.
        owner = make_owner("ab", retry_budget=0.0)
        owner.submit(idempotent=False)
        first = owner.started[0].server
        owner.end_last(refuse(Reason.REFUSED_CONNECTION))
        assert owner.started[-1].cause == "retry"
        assert owner.started[-1].server != first
        owner.end_last()
        assert isinstance(owner.finished[1].outcome, Answered)

    def test_a_booking_that_may_have_run_is_never_sent_again(self):
        # Guards against running a booking twice after its connection was lost.
        owner = make_owner("ab")
        owner.submit(idempotent=False)
        owner.end_last(lose(Reason.LOST_CONNECTION))
        assert len(owner.started) == 1
        assert owner.finished[1].outcome == lose(Reason.LOST_CONNECTION)

    @pytest.mark.parametrize(
        "reason", [Reason.SILENT_CONNECTION, Reason.LOST_CONNECTION]
    )
    def test_a_silent_connection_is_retried_on_a_fresh_one(self, reason):
        # Guards against a retry on another pooled connection that has died in the same
        # way.
        owner = make_owner("a")
        owner.submit()
        assert not owner.started[-1].fresh_connection
        owner.end_last(lose(reason))
        assert owner.started[-1].fresh_connection
        assert owner.started[-1].server == "a"

    def test_a_query_that_failed_prefers_another_replica(self):
        owner = make_owner("ab")
        owner.submit()
        owner.end_last(lose(Reason.SERVER_ERROR))
        assert {s.server for s in owner.started} == {"a", "b"}

    def test_an_outage_is_not_amplified(self):
        # Guards against retries that multiply the load when every server fails.
        owner = make_owner("ab", retry_budget=0.1)
        for _ in range(400):
            owner.submit()
            while owner.open:
                owner.end_last(lose(Reason.SERVER_ERROR))
        n_extra = len(owner.started) - 400
        assert n_extra <= ExtraCalls().retry_burst + 0.1 * 400
        assert owner.scheduler.describe(now=owner.now).n_budget_denials > 0

    def test_unknown_outlasts_a_later_refusal(self):
        # Guards against reporting "not run" when the first of two attempts may have
        # run.
        owner = make_owner("ab")
        owner.submit()
        owner.end_last(lose(Reason.LOST_CONNECTION))
        owner.end_last(refuse(Reason.VERSION_GONE))
        while owner.open:
            owner.end_last(refuse(Reason.VERSION_GONE))
        assert owner.finished[1].outcome == lose(Reason.LOST_CONNECTION)

    def test_a_version_gone_everywhere_ends_as_version_gone(self):
        # Guards against another refusal hiding from the coordinator that the version is
        # gone.
        owner = make_owner("ab")
        owner.submit(version=7)
        owner.end_last(refuse(Reason.VERSION_GONE))
        owner.end_last(refuse(Reason.REFUSED_CONNECTION))
        assert owner.get_refusal(1).reason is Reason.VERSION_GONE
        assert owner.finished[1].n_attempts == 2

    def test_a_call_waits_out_the_backoff_of_the_only_replica(self):
        owner = make_owner("a")
        owner.submit(in_ms=280)
        owner.end_last(refuse(Reason.SHED, retry_after_ms=100))
        assert len(owner.started) == 1
        owner.move(0.099)
        assert len(owner.started) == 1
        owner.move(0.002)
        assert owner.started[-1].cause == "retry"

    def test_a_backoff_beyond_the_deadline_ends_the_call_at_once(self):
        owner = make_owner("a")
        owner.submit(in_ms=280)
        owner.end_last(refuse(Reason.SHED, retry_after_ms=1_000))
        assert owner.get_refusal(1).retry_after_ms == 1_000
        owner.submit(in_ms=280)
        refusal = owner.get_refusal(2)
        assert refusal.reason is Reason.OVERLOADED
        assert refusal.retry_after_ms >= 1_000


class TestDeadline:
    def test_a_late_call_is_refused_before_it_costs_anything(self):
        owner = make_owner()
        owner.submit(in_ms=0)
        assert owner.get_refusal(1).reason is Reason.DEADLINE
        assert owner.started == []

    def test_a_running_call_ends_at_its_deadline_and_frees_the_slot(self):
        owner = make_owner("a")
        owner.submit(in_ms=280)
        owner.move(0.281)
        assert owner.finished[1].outcome == Unknown(
            step=Step.RECEIVE, peer="a", reason=Reason.DEADLINE
        )

    def test_a_queued_call_that_can_not_finish_is_not_started(self):
        # Guards against starting a call that is late anyway and delays the calls behind
        # it.
        owner = make_owner("a", slots=1)
        owner.warm_up(elapsed=0.100)
        owner.submit(in_ms=1_000)
        owner.submit(in_ms=250)
        owner.move(0.200)
        assert owner.finished[66].outcome == NotRun(
            step=Step.QUEUE,
            peer="scheduler-00",
            reason=Reason.DEADLINE,
            retry_after_ms=owner.get_refusal(66).retry_after_ms,
        )
        assert owner.finished[66].n_attempts == 0

    def test_long_deadlines_do_not_fill_the_memory(self):
        owner = make_owner("a", idempotent=False)
        for _ in range(2_000):
            owner.submit(in_ms=3_600_000, idempotent=False)
            owner.end_last()
        assert len(owner.scheduler._timers) <= MAX_STALE_TIMERS + 2


class TestChange:
    def test_a_removed_server_gets_nothing_new_and_its_call_goes_on(self):
        owner = make_owner("ab")
        owner.submit()
        owner.submit()
        on_a = next(s for s in owner.started if s.server == "a")
        self.replace(owner, "b")
        for _ in range(3):
            owner.submit()
        assert [s.server for s in owner.started[2:]] == ["b"]
        owner.end(on_a.attempt_id)
        assert isinstance(owner.finished[on_a.call.call_id].outcome, Answered)

    def test_a_server_taken_out_and_put_back_has_its_slots_once(self):
        # Guards against more calls than slots after a server was removed and added
        # again.
        owner = make_owner("a", slots=2)
        owner.submit()
        owner.submit()
        self.replace(owner, "b")
        self.replace(owner, "a")
        owner.submit()
        assert len(owner.started) == 2

    def test_an_added_server_takes_calls_that_wait(self):
        owner = make_owner("a", slots=1)
        owner.submit()
        owner.submit()
        self.replace(owner, "ab", slots=1)
        assert [s.server for s in owner.started] == ["a", "b"]

    def replace(self, owner, names, slots=2):
        group = make_group(names, slots=slots)
        owner.take(
            owner.scheduler.replace(
                group=group,
                service=make_service(group),
                control=Control(),
                now=owner.now,
            )
        )


class TestStop:
    def test_waiting_calls_end_as_not_run_and_running_ones_go_on(self):
        owner = make_owner("a", slots=1)
        owner.submit()
        owner.submit()
        owner.take(owner.scheduler.stop(now=owner.now))
        owner.submit()
        reasons = [owner.get_refusal(call_id).reason for call_id in (2, 3)]
        assert reasons == [Reason.STOPPING, Reason.STOPPING]
        owner.end_last()
        assert isinstance(owner.finished[1].outcome, Answered)

    def test_a_summary_tells_what_is_under_way(self):
        owner = make_owner("ab", slots=1)
        for _ in range(3):
            owner.submit()
        owner.observe("b", make_report("draining"))
        summary = owner.scheduler.describe(now=owner.now)
        assert (summary.n_running, summary.n_waiting) == (2, 1)
        assert {s.name: s.state for s in summary.servers} == {
            "a": "serving",
            "b": "draining",
        }
        assert isinstance(owner.started[0], StartAttempt)


class TestLimits:
    def test_a_call_is_sent_to_no_more_servers_than_it_allows(self):
        # Guards against a retry or a hedge beyond `max_attempts`.
        owner = make_owner("abc")
        owner.warm_up()
        call = owner.submit(max_attempts=2)
        owner.end_last(lose(Reason.SERVER_ERROR))
        owner.move(0.2)
        owner.end_last(lose(Reason.SERVER_ERROR))
        assert owner.finished[call.call_id].n_attempts == 2

    @pytest.mark.parametrize(
        ("max_attempts", "share"), [(1, 0.98), (2, 0.98), (4, 0.98), (0, 0.87)]
    )
    def test_rejections_do_not_use_up_the_servers_of_a_call(self, max_attempts, share):
        # Guards against giving up a call after as many rejections as it may be sent to
        # servers, and against sending it to more. Servers reject 0.6 of all calls.
        owner = make_owner("abcd", hedge_budget=0.0)
        rng = Random(1)
        for _ in range(500):
            owner.move(0.1)
            call = owner.submit(in_ms=5_000, max_attempts=max_attempts)
            while call.call_id not in owner.finished:
                if owner.open:
                    owner.end_last(SHED if rng.random() < 0.6 else ANSWER)
                else:
                    owner.move(0.01)
        servers: dict[int, set[str]] = {}
        for start in owner.started:
            servers.setdefault(start.call.call_id, set()).add(start.server)
        assert max(map(len, servers.values())) <= (max_attempts or MAX_ATTEMPTS)
        n_answered = sum(f.outcome == ANSWER for f in owner.finished.values())
        assert n_answered / 500 == pytest.approx(share, abs=0.03)

    def test_a_rejected_call_waits_for_its_servers_and_delays_no_other(self):
        # Guards against a second try within the backoff of the server, at another one
        # than the limit allows, and against calls stuck behind such tries.
        owner = make_owner("ab", slots=50)
        for _ in range(20):
            owner.submit(in_ms=1_000, max_attempts=1, idempotent=False)
        at_a = [s.attempt_id for s in owner.started if s.server == "a"]
        for attempt_id in at_a:
            owner.end(attempt_id, refuse(Reason.SHED, retry_after_ms=200))
        owner.submit(in_ms=2_000)
        assert owner.started[-1].server == "b"
        assert len(owner.started) == 21
        owner.move(0.21)
        assert [s.server for s in owner.started[21:]] == ["a"] * len(at_a)

    def test_a_repeat_is_paid_for_like_a_retry(self):
        # Guards against repeats from a lost owner that double the load outside the
        # retry budget.
        owner = make_owner(extra=ExtraCalls(retry_burst=2.0, retries_per_second=0.0))
        for _ in range(5):
            owner.submit(is_repeat=True)
        assert len(owner.started) == 2
        refused = [f for f in owner.finished.values() if isinstance(f.outcome, NotRun)]
        assert len(refused) == 3

    def test_retries_of_refusals_count_where_the_platform_counts_them(self):
        owner = make_owner(
            extra=ExtraCalls(
                retry_burst=1.0, retries_per_second=0.0, counts_refusals=True
            ),
            retry_budget=0.01,
        )
        n_attempts = []
        for _ in range(3):
            call = owner.submit()
            while call.call_id not in owner.finished:
                owner.end_last(refuse(Reason.WRONG_ANSWER))
            n_attempts.append(owner.finished[call.call_id].n_attempts)
        assert n_attempts == [2, 1, 1]


class TestConnections:
    def test_calls_of_a_burst_wait_for_a_connection(self):
        # Guards against starting more attempts at a server than this host may have
        # connections to it, which are then refused although slots are free.
        group = make_group("ab", slots=16, connections=3)
        owner = make_owner(group=group, queue_limit=QUEUE_LIMIT)
        owner.warm_up(elapsed=0.005)
        for _ in range(200):
            owner.submit(in_ms=1_000)
        while owner.open:
            assert len(owner.open) <= 6
            owner.now += 0.005
            for attempt_id in list(owner.open):
                owner.end(attempt_id, elapsed=0.005)
        assert all(f.outcome == ANSWER for f in owner.finished.values())

    def test_a_call_that_meets_a_full_pool_waits(self):
        # Guards against refusing a call, or charging a retry for it, because a health
        # probe or a liveness check holds the last connection.
        owner = make_owner("a", retry_budget=0.0)
        owner.submit(idempotent=False)
        owner.end_last(FULL_POOL)
        assert owner.finished == {} and len(owner.open) == 0
        owner.move(0.01)
        owner.end_last()
        assert owner.finished[1].outcome == ANSWER
        assert owner.finished[1].n_attempts == 1

    def test_a_pool_that_stays_full_ends_the_call_in_time(self):
        owner = make_owner("a")
        owner.submit(in_ms=100)
        owner.end_last(FULL_POOL)
        while owner.now < 100.2:
            owner.move(0.001)
            if owner.open:
                owner.end_last(FULL_POOL)
        assert isinstance(owner.finished[1].outcome, NotRun)
        assert len(owner.started) < 30


class TestStalls:
    def test_a_server_that_pauses_gets_nothing_until_it_answers(self):
        # Guards against calls that wait for the end of a server's pause or cost a
        # hedge.
        owner = make_owner()
        owner.warm_up()
        owner.submit()
        paused = owner.started[-1]
        owner.move(0.04)
        n_before = len(owner.started)
        for _ in range(4):
            owner.submit()
            owner.end_last()
            owner.now += 0.005
        assert {s.server for s in owner.started[n_before:]} != {paused.server}
        assert all(s.server != paused.server for s in owner.started[n_before:])

    def test_a_group_whose_servers_all_pause_is_used_all_the_same(self):
        owner = make_owner("a")
        owner.warm_up()
        owner.submit()
        owner.move(0.04)
        owner.submit()
        assert len(owner.open) == 2


class TestNearServers:
    def make_group(self) -> Group:
        group = make_group("ab")
        far = replace(group.servers[1], data_centre="ptl-b")
        return replace(group, servers=(group.servers[0], far))

    def test_the_near_server_is_taken_while_it_has_a_slot_to_spare(self):
        # Guards against paid traffic between data centres while a near slot is free.
        owner = make_owner(group=self.make_group(), data_centre="ptl-a")
        for _ in range(10):
            owner.submit()
            owner.submit()
            assert [s.server for s in owner.started[-2:]] == ["a", "a"]
            for attempt_id in list(owner.open):
                owner.end(attempt_id)

    def test_a_full_or_failing_near_server_is_no_reason_to_wait(self):
        owner = make_owner(group=self.make_group(), data_centre="ptl-a")
        for _ in range(3):
            owner.submit()
        assert [s.server for s in owner.started] == ["a", "a", "b"]

    def test_one_long_answer_is_no_reason_to_go_elsewhere(self):
        # Guards against leaving a near server after one pause, and against staying when
        # all its answers are slow.
        owner = make_owner(group=self.make_group(), data_centre="ptl-a")
        owner.warm_up()
        owner.submit()
        owner.now += 0.1
        owner.end(owner.started[-1].attempt_id, elapsed=0.1)
        for _ in range(10):
            owner.submit()
            owner.submit()
            assert [s.server for s in owner.started[-2:]] == ["a", "a"]
            for attempt_id in list(owner.open):
                owner.end(attempt_id)
        owner.submit()
        owner.submit()
        owner.submit()
        for attempt_id in list(owner.open):
            owner.end(attempt_id)
        for _ in range(60):
            owner.submit()
            slow = 0.06 if owner.started[-1].server == "a" else 0.01
            owner.end(owner.started[-1].attempt_id, elapsed=slow)
        assert [s.server for s in owner.started[-5:]].count("b") >= 4
