"""Joining the answers of shards, giving up stragglers, and coverage."""

import pytest

from lavendergap.coordination.joining import Join
from lavendergap.state.outcome import Answered, NotRun, Reason, Step
from lavendergap.state.settings import GiveUpStragglers, WaitForCoverage
from lavendergap.state.snapshot import Shard, Snapshot

from .groups import lose

WAIT = WaitForCoverage()
GIVE_UP = GiveUpStragglers(min_share=0.75, patience=2.0)


def make_join(policy=GIVE_UP, n_shards=4):
    shards = tuple(
        Shard(name=f"s{n}", group=f"g{n}", share=1 / n_shards) for n in range(n_shards)
    )
    snapshot = Snapshot(service="scheduler", version=7, shards=shards)
    return Join(snapshot=snapshot, policy=policy, started=0.0, deadline=0.28)


def answer(join, *names, now=0.010):
    for name in names:
        join.add(name, Answered(body=name.encode()), f"{name}-a", now=now)


class TestJoin:
    def test_all_answers_give_full_coverage(self):
        join = make_join()
        answer(join, "s2", "s0", "s1", "s3")
        assert join.is_done
        assert join.next_wake() is None
        assert [r.body for r in join.results()] == [b"s0", b"s1", b"s2", b"s3"]
        assert join.coverage().share == 1.0
        assert join.coverage().missing == ()

    def test_a_repeated_or_unexpected_answer_is_counted_and_dropped(self):
        # Guards against coverage that counts a shard twice, when a lost owner's answer
        # arrives after the shard was asked again elsewhere.
        join = make_join()
        answer(join, "s0", "s0", "s9")
        assert join.n_ignored == 2
        assert join.coverage().n_answered == 1
        assert join.coverage().share == 0.25

    def test_a_late_answer_does_not_change_the_coverage(self):
        join = make_join()
        answer(join, "s0", "s1", "s2")
        assert join.give_up() == ["s3"]
        answer(join, "s3")
        assert join.coverage().n_answered == 3
        assert join.n_ignored == 1

    def test_a_failed_shard_is_named_with_its_reason_step_and_peer(self):
        join = make_join()
        join.add("s1", lose(Reason.LOST_CONNECTION), "a", now=0.01)
        answer(join, "s0", "s2")
        missing = {m.shard: m for m in join.coverage().missing}
        assert missing["s1"].reason is Reason.LOST_CONNECTION
        assert (missing["s1"].step, missing["s1"].peer) == (Step.RECEIVE, "a")
        assert missing["s3"].reason is Reason.STRAGGLER

    def test_a_version_gone_requires_another_snapshot(self):
        # A shard that moved to another version cannot be joined with the others; the
        # query has to start over.
        join = make_join()
        gone = NotRun(step=Step.RECEIVE, peer="a", reason=Reason.VERSION_GONE)
        join.add("s1", gone, "a", now=0.01)
        assert join.needs_newer_snapshot
        assert not join.is_done
        assert join.coverage().missing[1].reason is Reason.VERSION_GONE


class TestStragglers:
    def test_giving_up_waits_a_multiple_of_the_median(self):
        join = make_join()
        answer(join, "s0", now=0.010)
        answer(join, "s1", now=0.012)
        assert join.next_wake() == 0.28
        answer(join, "s2", now=0.020)
        assert join.next_wake() == pytest.approx(0.020 + 2 * 0.012)
        join.advance(now=0.043)
        assert not join.is_done
        join.advance(now=0.0441)
        assert join.is_done

    def test_wait_for_coverage_waits_until_the_deadline(self):
        # Guards against answers without a booking, after which a machine is booked
        # twice.
        join = make_join(WAIT)
        answer(join, "s0", "s1", "s2")
        assert join.next_wake() == 0.28
        join.advance(now=0.279)
        assert not join.is_done
        join.advance(now=0.28)
        assert join.is_done

    def test_giving_up_waits_while_coverage_is_too_low(self):
        join = make_join()
        answer(join, "s0", "s1")
        assert join.next_wake() == 0.28

    def test_shares_that_add_up_with_rounding_count_in_full(self):
        policy = GiveUpStragglers(min_share=0.8, patience=1.0)
        join = make_join(policy, n_shards=10)
        answer(join, *(f"s{n}" for n in range(8)))
        assert join.next_wake() < 0.28
