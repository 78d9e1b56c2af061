"""A backend server that restarts under its name: all state of it is reset."""

from dataclasses import replace
from random import Random

import pytest
import trio

from lavendergap.coordination.calls import Call, FinishCall
from lavendergap.coordination.feeds import FeedCopy
from lavendergap.entry.batch import SubmittedCall
from lavendergap.entry.owner import Owner as CallOwner
from lavendergap.protocol.backend import Verdict
from lavendergap.state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    StorePosition,
)
from lavendergap.state.outcome import NotRun, Reason, Step, Unknown
from lavendergap.state.settings import Server, Settings, WaitForCoverage
from tests.groups import Owner, lose, make_group, make_owner, refuse
from tests.nodes import build_settings


def restart(
    owner: Owner, names: str = "ab", *, incarnation: int = 2, slots: int = 2
) -> None:
    """Apply settings in which server `a` has restarted under its name."""
    group = make_group(names, slots=slots)
    servers = [
        replace(server, incarnation=incarnation) if server.name == "a" else server
        for server in group.servers
    ]
    owner.take(
        owner.scheduler.replace(
            group=replace(group, servers=tuple(servers)),
            service=owner.scheduler.service,
            control=owner.scheduler.control,
            now=owner.now,
        )
    )


def get_replica(owner: Owner, name: str = "a"):
    return next(r for r in owner.scheduler._replicas if r.server.name == name)


class TestStateOfPreviousProcess:
    def test_an_ejected_server_is_used_again(self):
        # A failing server restarts while it is ejected. Were its new process ejected,
        # too, the group would lack its slots.
        owner = make_owner("a")
        for _ in range(4):
            owner.submit()
            owner.end_last(lose(Reason.REFUSED_CONNECTION))
        assert get_replica(owner).ejected_until > owner.now
        restart(owner, "a")
        replica = get_replica(owner)
        assert replica.ejected_until <= owner.now
        assert (replica.failure_score, replica.n_ejections, replica.is_half_open) == (
            0,
            0,
            False,
        )

    def test_draining_state_is_reset(self):
        # The old process was draining, or another server had its address. Kept for
        # the new process, this state would exclude it for a minute.
        owner = make_owner("a")
        owner.submit()
        owner.end_last(refuse(Reason.NO_REPLICA))
        assert get_replica(owner).state == "draining"
        restart(owner, "a")
        owner.submit()
        assert len(owner.started) == 2

    def test_slots_of_the_previous_process_are_free(self):
        # Two calls hang at a process that died unnoticed. They must not occupy slots
        # of the next one, which has one in slow start.
        owner = make_owner("a")
        owner.submit()
        owner.submit()
        restart(owner, "a")
        owner.now += 10.0
        owner.submit()
        owner.submit()
        assert len(owner.started) == 4

    def test_its_latency_and_load_are_unknown(self):
        owner = make_owner("a")
        owner.submit()
        owner.now += 0.2
        owner.end_last()
        assert get_replica(owner).slowness > 0.0
        restart(owner, "a")
        replica = get_replica(owner)
        assert (replica.slowness, replica.other_calls, replica.in_flight) == (0.0, 0, 0)

    def test_a_late_end_does_not_count_for_the_next_process(self):
        owner = make_owner("a")
        owner.submit(max_attempts=1)
        restart(owner, "a")
        owner.end_last(lose(Reason.LOST_CONNECTION))
        replica = get_replica(owner)
        assert (replica.failure_score, replica.in_flight) == (0.0, 0)

    def test_two_restarts_between_updates_are_distinct(self):
        owner = make_owner("a")
        owner.submit()
        restart(owner, "a", incarnation=5)
        owner.submit()
        restart(owner, "a", incarnation=3)
        assert get_replica(owner).in_flight == 0
        for attempt_id in list(owner.open):
            owner.end(attempt_id)
        assert get_replica(owner).in_flight == 0

    def test_its_state_is_kept_through_other_changes(self):
        # The old process still has a call at the group's next change. The state of the
        # two processes must not be mixed up.
        owner = make_owner("ab")
        owner.submit()
        owner.submit()
        restart(owner)
        owner.now += 10.0
        owner.submit()
        owner.submit()
        n_at_a = sum(s.server == "a" for s in owner.started[2:])
        assert n_at_a > 0
        restart(owner)
        assert get_replica(owner).in_flight == n_at_a

    def test_a_call_refused_by_the_previous_process_may_go_to_the_next(self):
        owner = make_owner("ab", slots=1)
        owner.submit()
        owner.submit()
        [at_a] = [s for s in owner.started if s.server == "a"]
        owner.end(at_a.attempt_id, refuse(Reason.WRONG_ANSWER))
        assert len(owner.started) == 2
        restart(owner, slots=1)
        assert owner.started[2:] == [replace(owner.started[2], call=at_a.call)]
        assert owner.started[2].server == "a"


class TestAtMostOnce:
    def test_a_restart_does_not_prove_that_a_call_did_not_run(self):
        # A server dies with a booking and restarts. That the new process did not run
        # it proves nothing about the old one, so it must not be sent again.
        owner = make_owner("ab")
        call = owner.submit(idempotent=False)
        server = owner.started[-1].server
        owner.end_last(lose(Reason.LOST_CONNECTION))
        restart(owner)
        assert len(owner.started) == 1, f"sent again after {server} was lost"
        assert isinstance(owner.finished[call.call_id].outcome, Unknown)


class FakeClient:
    """Connections that refuse each call and record that they were closed."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.is_closed = False

    async def call(self, call, *, attempt: bytes, fresh: bool) -> Verdict:
        outcome = NotRun(step=Step.SEND, peer=self.server.name, reason=Reason.SHED)
        return Verdict(outcome=outcome, report=None)

    async def probe(self):
        return None

    async def close_idle(self, *, now: float) -> None:
        pass

    async def close(self) -> None:
        self.is_closed = True


def change_servers(settings: Settings, **changes) -> Settings:
    [service] = settings.services
    [group] = service.groups
    servers = tuple(replace(server, **changes) for server in group.servers)
    group = replace(group, servers=servers)
    return replace(settings, services=(replace(service, groups=(group,)),))


class TestConnections:
    @pytest.fixture
    async def owned(self, nursery, autojump_clock):
        clients: list[FakeClient] = []

        def make_client(server: Server, idle_timeout_s: float) -> FakeClient:
            clients.append(FakeClient(server))
            return clients[-1]

        settings = build_settings(n_hosts=1, n_groups=1, stragglers=WaitForCoverage())
        owner = CallOwner(
            settings=settings,
            nursery=nursery,
            random=Random(1),
            attempt_prefix="t",
            make_client=make_client,
        )
        [service] = settings.services

        call = Call(
            call_id=owner.make_call_id(),
            request_id="r",
            service=service.name,
            group=service.groups[0].name,
            shard="s",
            version=1,
            deadline=trio.current_time() + 1.0,
            body=b"",
            idempotent=True,
        )
        ended: list[FinishCall] = []
        owner.submit(
            [SubmittedCall(call=call, finish=lambda end, _: ended.append(end))]
        )
        return owner, settings, clients

    async def test_those_to_the_previous_process_are_closed(self, owned):
        owner, settings, clients = owned
        before = list(clients)
        owner.replace(change_servers(settings, incarnation=7))
        await trio.sleep(0.01)
        assert all(client.is_closed for client in before)
        assert len(clients) == 2 * len(before)

    async def test_those_whose_limit_changes_are_kept(self, owned):
        # A host's share of a server's connections changes as hosts come and go. New
        # connections beside the old ones would exceed the server's limit.
        owner, settings, clients = owned
        before = list(clients)
        owner.replace(change_servers(settings, connections=3))
        await trio.sleep(0.01)
        assert clients == before
        assert not any(client.is_closed for client in clients)
        assert {client.server.connections for client in clients} == {3}


def entry(name: str, started_at_ms: int) -> FeedEntry:
    return FeedEntry(name=name, body=str(started_at_ms).encode())


def change(revision: int, *bodies: bytes | None) -> FeedChanges:
    changes = tuple(FeedChange(name="a", body=body) for body in bodies)
    return FeedChanges(position=StorePosition(revision=revision), changes=changes)


class TestFeedCopies:
    def test_a_restart_is_news_and_changes_the_fingerprint(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(
            FeedListing(position=StorePosition(revision=1), entries=(entry("a", 1),)),
            now=0.0,
        )
        before = copy.fingerprint
        assert copy.alters_fingerprint(FeedChange(name="a", body=b"2"))
        assert copy.apply_changes(change(3, None, b"2"), now=1.0)
        assert copy.entries == {"a": b"2"}
        assert copy.fingerprint != before

    def test_a_late_removal_does_not_undo_a_start(self):
        # One peer's removal of the old entry arrives after another's new entry.
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(
            FeedListing(position=StorePosition(revision=1), entries=(entry("a", 1),)),
            now=0.0,
        )
        copy.apply_changes(change(3, b"2"), now=1.0)
        copy.apply_changes(change(2, None), now=1.1)
        assert copy.entries == {"a": b"2"}

    def test_changes_and_listing_agree_on_two_restarts(self):
        changed = FeedCopy(lapse_grace_s=2.0)
        listed = FeedCopy(lapse_grace_s=2.0)
        for copy in (changed, listed):
            first = FeedListing(
                position=StorePosition(revision=1), entries=(entry("a", 1),)
            )
            copy.apply_listing(first, now=0.0)
        changed.apply_changes(change(5, None, b"2", None, b"3"), now=1.0)
        listed.apply_listing(
            FeedListing(position=StorePosition(revision=5), entries=(entry("a", 3),)),
            now=1.0,
        )
        assert changed.entries == listed.entries == {"a": b"3"}
        assert changed.fingerprint == listed.fingerprint

    def test_an_entry_renewed_during_a_store_outage_is_kept(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(
            FeedListing(position=StorePosition(revision=1), entries=(entry("a", 1),)),
            now=0.0,
        )
        copy.record_store_return(now=1.0)
        copy.apply_changes(change(2, None), now=1.1)
        copy.apply_changes(change(3, b"2"), now=1.2)
        copy.drop_lapsed(now=9.0)
        assert copy.entries == {"a": b"2"}
