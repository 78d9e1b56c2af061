"""State of replicas and the choice of one."""

from dataclasses import replace
from random import Random

import pytest

from lavendergap.coordination.choice import Chosen, NoneLeft, choose
from lavendergap.coordination.replicas import (
    ANSWER_LIFETIME_S,
    DRAIN_LIFETIME_S,
    MAX_EJECTION_S,
    ROOM_BACKOFF_S,
    SLOW_START_S,
    Replica,
)
from lavendergap.state.outcome import Reason

from .groups import ANSWER, lose, make_group, make_owner, make_report, refuse

NO_REPLICAS: frozenset[Replica] = frozenset()


def make_replicas(names: str = "ab", *, slots: int = 2) -> list[Replica]:
    return [Replica(server=s) for s in make_group(names, slots=slots).servers]


def pick(replicas, *, now=100.0, version=7, fastest_slowness=0.010):
    return choose(
        replicas,
        version=version,
        excluded=NO_REPLICAS,
        tried=NO_REPLICAS,
        fastest_slowness=fastest_slowness,
        now=now,
        rng=Random(1),
    )


def pick_name(replicas, **known):
    choice = pick(replicas, **known)
    return choice.replica.server.name if isinstance(choice, Chosen) else None


def answer(replica, state="serving", *, started=100.0, now=100.0, **report):
    replica.note_answer(
        make_report(state, **report), started=started, own_in_flight=0, now=now
    )


def fail(replica, reason=Reason.REFUSED_CONNECTION, *, now=100.0, fresh=False):
    outcome = refuse(reason) if reason is Reason.REFUSED_CONNECTION else lose(reason)
    replica.note_end(outcome, elapsed=0.01, fresh=fresh, now=now, rng=Random(1))


class TestChoice:
    def test_the_least_loaded_is_chosen_by_own_calls_and_by_reports(self):
        a, b = replicas = make_replicas()
        a.in_flight = 1
        assert pick_name(replicas) == "b"
        answer(b, in_use=2, queued=1)
        assert pick_name(replicas) == "a"
        assert pick_name(replicas, now=102.0) == "b"

    def test_a_slower_replica_is_avoided_until_its_past_fades(self):
        a, b = replicas = make_replicas()
        a.note_end(ANSWER, elapsed=0.050, fresh=False, now=100.0, rng=Random(1))
        b.note_end(ANSWER, elapsed=0.010, fresh=False, now=100.0, rng=Random(1))
        assert pick_name(replicas) == "b"
        b.in_flight = 1
        assert pick_name(replicas, now=101.0) == "b"
        assert pick_name(replicas, now=110.0) == "a"

    def test_all_replicas_ejected_means_all_are_candidates(self):
        # Guards against refusing every call when a network failure on this host's side
        # has ejected all servers.
        a, b = replicas = make_replicas()
        fail(a)
        assert pick_name(replicas) == "b"
        for _ in range(8):
            for replica in replicas:
                fail(replica, now=max(100.0, replica.ejected_until))
        choice = pick(replicas)
        assert isinstance(choice, Chosen)
        assert "failing open" in choice.why

    def test_a_version_is_looked_for_where_it_may_be(self):
        a, b = replicas = make_replicas()
        answer(a, versions=(7, 8))
        answer(b, versions=(6, 7))
        assert pick_name(replicas, version=6) == "b"
        assert pick_name(replicas, version=8) in ("a", "b")
        assert pick(replicas, version=5) == NoneLeft(reason=Reason.VERSION_GONE)


class TestEjection:
    def test_it_grows_with_each_failure_and_is_bounded(self):
        (a,) = make_replicas("a")
        now = 100.0
        spans = []
        for _ in range(12):
            fail(a, now=now)
            spans.append(a.ejected_until - now)
            now = a.ejected_until
        assert spans[3] > 4 * spans[0]
        assert max(spans) <= MAX_EJECTION_S * 1.2

    def test_one_lost_connection_is_no_proof_against_the_server(self):
        (a,) = make_replicas("a")
        fail(a, Reason.SILENT_CONNECTION)
        assert a.ejected_until <= 100.0
        fail(a, Reason.SILENT_CONNECTION)
        assert a.ejected_until > 100.0

    def test_a_fresh_connection_that_is_silent_is_proof(self):
        (a,) = make_replicas("a")
        fail(a, Reason.SILENT_CONNECTION, fresh=True)
        assert a.ejected_until > 100.0

    def test_a_server_comes_back_gradually(self):
        # Guards against filling all slots of a server with cold caches, which would
        # make its answers late and eject it again.
        a, b = replicas = make_replicas("ab", slots=6)
        fail(a)
        back = a.ejected_until
        assert pick_name(replicas, now=back) == "b"
        limits = [a.limit(back + SLOW_START_S * share) for share in (0, 0.5, 1)]
        assert limits == [1, 1, 1]
        a.note_end(ANSWER, elapsed=0.01, fresh=False, now=back, rng=Random(1))
        limits = [a.limit(back + SLOW_START_S * share) for share in (0, 0.5, 1)]
        assert limits == [1, 3, 6]

    def test_a_server_back_on_trial_is_ejected_by_one_failure(self):
        (a,) = make_replicas("a")
        fail(a)
        back = a.ejected_until
        assert a.limit(back + 2 * SLOW_START_S) == 1
        a.note_end(
            refuse(Reason.VERSION_GONE),
            elapsed=0,
            fresh=False,
            now=back,
            rng=Random(1),
        )
        assert a.ejected_until == back
        fail(a, Reason.DEADLINE, now=back)
        assert a.ejected_until > back
        end = a.ejected_until
        a.note_end(ANSWER, elapsed=0.01, fresh=False, now=end, rng=Random(1))
        fail(a, Reason.DEADLINE, now=end)
        assert a.ejected_until == end

    def test_a_hanging_server_is_ejected_though_hedges_save_its_calls(self):
        # Guards against a server that never answers and spends the hedge budget, as no
        # call fails.
        owner = make_owner("ab", hedge_budget=0.3)
        owner.warm_up()
        was_ejected = False
        for _ in range(20):
            owner.now += 10.0
            owner.submit()
            if owner.started[-1].server == "a":
                owner.move(0.025)
            owner.end_last()
            for attempt_id in list(owner.open):
                owner.end(attempt_id, lose(Reason.CANCELLED), elapsed=0.025)
            servers = owner.scheduler.describe(now=owner.now).servers
            was_ejected = was_ejected or servers[0].ejected_ms > 0
        assert was_ejected

    def test_a_hanging_server_is_ejected_by_its_deadlines(self):
        # Guards against a server that never answers but whose attempts are only
        # reported as cancelled.
        owner = make_owner("ab", slots=1)
        owner.observe("b", make_report("draining"))
        for _ in range(3):
            owner.submit()
            owner.move(0.3)
            owner.end_last(lose(Reason.CANCELLED))
        servers = owner.scheduler.describe(now=owner.now).servers
        assert servers[0].ejected_ms > 0


class TestShedding:
    def test_a_server_that_sheds_is_left_alone_as_long_as_it_asks(self):
        a, b = replicas = make_replicas()
        shed = refuse(Reason.SHED, retry_after_ms=200)
        a.note_end(shed, elapsed=0.001, fresh=False, now=100.0, rng=Random(1))
        b.in_flight = 1
        assert pick_name(replicas, now=100.19) == "b"
        assert pick_name(replicas, now=100.21) == "a"


class TestDrain:
    def test_a_draining_server_gets_nothing_new(self):
        a, b = replicas = make_replicas()
        a.note_health(make_report("draining"), now=100.0)
        b.in_flight = 1
        assert pick_name(replicas) == "b"

    def test_a_wrong_health_endpoint_brings_no_calls_to_a_draining_server(self):
        # Guards against new calls to a draining server whose health endpoint still
        # reports "serving".
        a, _ = make_replicas()
        answer(a, "draining")
        for second in range(1, int(DRAIN_LIFETIME_S)):
            a.note_health(make_report("serving"), now=100.0 + second)
            assert a.state == "draining"
        a.note_health(make_report("serving"), now=100.0 + DRAIN_LIFETIME_S)
        assert a.state == "serving"

    def test_a_restarted_server_is_taken_back(self):
        a, _ = make_replicas()
        answer(a, "draining")
        a.note_no_health(now=101.0, rng=Random(1))
        a.note_health(make_report("starting"), now=102.0)
        assert (a.state, a.limit(102.0)) == ("starting", 1)
        a.note_health(make_report("serving"), now=103.0)
        assert a.state == "serving"

    def test_an_answer_from_before_the_drain_does_not_undo_it(self):
        # Guards against an older answer that arrives after the one that reported the
        # drain.
        a, _ = make_replicas()
        answer(a, "draining", started=99.9, now=100.0)
        answer(a, "serving", started=99.8, now=100.1)
        assert a.state == "draining"

    def test_fails_open_when_only_health_endpoints_report_draining(self):
        # Guards against losing a shard when all health endpoints wrongly report
        # "draining".
        a, b = replicas = make_replicas()
        a.note_health(make_report("draining"), now=100.0)
        b.note_health(make_report("draining"), now=100.0)
        assert "all reported draining" in pick(replicas).why
        answer(a, "draining", started=100.1, now=100.2)
        answer(b, "draining", started=100.1, now=100.2)
        assert pick(replicas) == NoneLeft(reason=Reason.NO_REPLICA)


class TestAddressTaken:
    """A server is gone and another service's has its address; the registry is late."""

    def test_one_refusal_is_enough(self):
        # Guards against further calls to the new server, beyond its group's budget of
        # extra calls.
        owner = make_owner("ab")
        for _ in range(20):
            owner.submit()
            server = owner.started[-1].server
            owner.now += 0.010
            if server == "a":
                owner.end_last(refuse(Reason.NO_REPLICA))
            for attempt_id in list(owner.open):
                owner.end(attempt_id)
        assert [s.server for s in owner.started].count("a") == 1

    def test_a_new_process_at_the_address_is_used(self):
        owner = make_owner("a")
        owner.submit()
        owner.end_last(refuse(Reason.NO_REPLICA))
        [server] = make_group("a").servers
        owner.take(
            owner.scheduler.replace(
                group=replace(make_group("a"), servers=(replace(server, name="a2"),)),
                service=owner.scheduler.service,
                control=owner.scheduler.control,
                now=owner.now,
            )
        )
        owner.submit()
        assert owner.started[-1].server == "a2"


class TestHealth:
    def test_versions_from_answers_outweigh_the_endpoint(self):
        (a,) = make_replicas("a")
        answer(a, versions=(6, 7))
        a.note_health(make_report(versions=(8,)), now=100.1)
        assert a.may_serve(7)
        late = 100.1 + ANSWER_LIFETIME_S
        a.note_health(make_report(versions=(8,)), now=late)
        assert not a.may_serve(7)

    def test_missed_probes_count_unless_answers_come(self):
        (a,) = make_replicas("a")
        for second in range(10):
            now = 100.0 + second
            a.note_no_health(now=now, rng=Random(1))
            a.note_end(ANSWER, elapsed=0.01, fresh=False, now=now, rng=Random(1))
        assert a.ejected_until <= 100.0
        a.note_no_health(now=120.0, rng=Random(1))
        a.note_no_health(now=121.0, rng=Random(1))
        assert a.ejected_until > 121.0


class TestRejections:
    """Load: servers that reject most of what they get although they have free slots."""

    @pytest.mark.parametrize(
        ("in_use", "left_out_s"), [(0, ROOM_BACKOFF_S), (1, ROOM_BACKOFF_S), (2, 5.0)]
    )
    def test_retry_after_counts_where_the_report_shows_no_room(
        self, in_use, left_out_s
    ):
        """Guards against shards whose servers are all left out while slots are free."""
        [replica] = replicas = make_replicas("a")
        answer(replica, in_use=in_use)
        rejected = refuse(Reason.SHED, retry_after_ms=5_000)
        replica.note_end(rejected, elapsed=0.0, fresh=False, now=100.0, rng=Random(1))
        assert pick_name(replicas, now=100.0 + left_out_s - 0.001) is None
        assert pick_name(replicas, now=100.0 + left_out_s + 0.001) == "a"

    def test_calls_go_where_they_are_not_rejected_and_return_later(self):
        rng = Random(1)
        replicas = make_replicas("abc")
        now, n_calls, n_rejected = 100.0, 400, 0
        for _ in range(n_calls):
            now += 0.05
            chosen = pick(replicas, now=now).replica
            is_rejected = chosen.server.name != "b" and rng.random() < 0.6
            answer(chosen, in_use=0, started=now, now=now)
            outcome = refuse(Reason.SHED) if is_rejected else ANSWER
            chosen.note_end(outcome, elapsed=1.0, fresh=False, now=now, rng=rng)
            n_rejected += is_rejected
        assert n_rejected / n_calls < 0.1  # 0.4 if each server got a third.
        a, b, _ = replicas
        b.in_flight = 1
        assert pick(replicas, now=now + 10.0).replica is not b
