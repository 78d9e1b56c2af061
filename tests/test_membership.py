"""Failures of hosts, network paths and clocks, over a simulated network."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lab.fleet import Datagram, Fleet, build_fleet, name_hosts
from lavendergap.coordination.dissemination import Dissemination, limit_sends
from lavendergap.coordination.membership import Membership
from lavendergap.coordination.roster import MAX_TOMBSTONES, TOMBSTONE_S, Roster
from lavendergap.state.gossip import (
    Gossip,
    MemberChanged,
    Ping,
    ProbeRequest,
    Send,
    Table,
)
from lavendergap.state.member import DocumentsDigest, Member, MemberState
from lavendergap.state.settings import Address, Control

HOSTS = name_hosts(7)
FIRST, SECOND, THIRD = HOSTS[:3]


def build_member(name: str, **changes) -> Member:
    port = int(name.rsplit("-", 1)[1])
    plain = Member(
        name=name,
        data_centre="ptl-a",
        peers=Address(ip="10.0.0.1", port=port),
        incarnation=1_000,
    )
    return replace(plain, **changes)


def build_membership(name: str, **changes) -> Membership:
    own = build_member(name, **changes)
    return Membership(own=own, control=Control(), random=Random(1))


def build_gossip(source: Member, *updates: Member) -> Gossip:
    return Gossip(source=source, documents=DocumentsDigest(), updates=updates)


def receive_gossip(
    membership: Membership, source: Member, *updates: Member, now: float = 1.0
):
    gossip = build_gossip(source, *updates)
    return membership.receive(gossip, sender=source.peers, now=now)


def list_states(fleet: Fleet, name: str) -> dict[str, MemberState | None]:
    """Return the state that each other running process records for `name`."""
    views = {}
    for other, node in fleet.nodes.items():
        if other != name:
            member = node.membership.get(name)
            views[other] = member.state if member else None
    return views


class TestProbeOutOfTurn:
    def test_a_silent_member_is_suspect_within_an_interval(self):
        """Guards against a dead host that stays undetected until its turn."""
        membership = build_membership(FIRST)
        others = [build_member(f"ptl-a-{n}") for n in range(2, 60)]
        for other in others:
            receive_gossip(membership, other, now=1.0)
        pinged = {send.to for send in membership.advance(now=1.0)}
        silent = next(other for other in others if other.peers not in pinged)
        [ping] = membership.probe(silent.name, now=1.1)
        assert ping.to == silent.peers
        assert membership.probe(silent.name, now=1.2) == []
        interval = Control().probe_interval_ms / 1_000
        membership.advance(now=1.1 + interval)
        assert silent.name in membership.suspects()

    def test_an_unknown_member_is_not_probed(self):
        """Guards against a crash when a caller names a member that is gone."""
        assert build_membership(FIRST).probe("ptl-a-9", now=1.0) == []


def get_state(membership: Membership, name: str) -> MemberState | None:
    member = membership.get(name)
    return member.state if member else None


def list_updates(sends: list[Send]) -> list[tuple[Address, Member]]:
    """Return the receivers and records of the updates sent by gossip."""
    return [
        (send.to, member)
        for send in sends
        if isinstance(send.message, Gossip)
        for member in send.message.updates
    ]


def all_record(fleet: Fleet, name: str, state: MemberState) -> bool:
    return set(list_states(fleet, name).values()) == {state}


class TestJoining:
    def test_hosts_with_one_hint_find_all_others(self):
        fleet = build_fleet(HOSTS, seed=1)
        assert fleet.agree()
        nodes = fleet.nodes.values()
        assert fleet.run_until(lambda: all(n.membership.joined for n in nodes), 2.0)

    def test_a_table_over_many_datagrams_arrives_within_seconds(self):
        # Guards against a new host that knows part of the members and sends queries to
        # wrong owners: past updates are not sent again.
        fleet = build_fleet(name_hosts(120), seed=2)
        newcomer = fleet.start("ptl-a-121", hints=[FIRST])
        assert fleet.run_until(lambda: len(newcomer.live()) == 121, 3.0)
        assert newcomer.joined

    def test_all_hosts_know_a_new_host_within_seconds_of_a_mass_start(self):
        # Guards against new hosts that gossip their whole first table, behind which the
        # records of hosts that join later would wait.
        fleet = build_fleet(name_hosts(200), seed=200)
        fleet.run(10.0)
        fleet.start("ptl-a-201", hints=[FIRST])
        assert fleet.run_until(fleet.agree, 8.0)

    def test_the_first_host_serves_alone_after_a_while(self):
        fleet = Fleet(seed=3)
        first = fleet.start(FIRST)
        fleet.run(2.0)
        assert not first.joined
        fleet.run(4.0)
        assert first.joined
        assert first.live() == {FIRST}

    def test_a_host_that_is_pinged_first_is_ready_soon(self):
        # Guards against a host that stays unready because others ping it first, so that
        # it does not request a table by joining.
        fleet = Fleet(seed=3)
        names = name_hosts(3)
        for name in names:
            fleet.start(name, hints=list(fleet.nodes))
            fleet.run(0.4)
        fleet.run(6.0)
        assert all(node.membership.joined for node in fleet.nodes.values())

    @pytest.mark.parametrize("late_s", [0.0, 4.9, 60.0])
    def test_a_host_finds_the_others_among_hints_of_hosts_that_are_gone(self, late_s):
        # The others do not know the host, which gets its hints late. Guards against one
        # that is ready alone and then tries one hint in seven seconds.
        fleet = build_fleet(HOSTS, seed=6)
        fleet.run(10.0)
        late = fleet.start("ptl-a-9")
        fleet.run(late_s)
        gone = [Address(ip="10.9.9.9", port=port) for port in range(1, 121)]
        n_tried = 120 if late_s < 4.0 else 6
        late.join([*gone[:n_tried], fleet.nodes[FIRST].address])
        fleet.wake("ptl-a-9")
        assert fleet.run_until(lambda: len(late.live()) == 8, 2.0)
        assert fleet.run_until(fleet.agree, 8.0)

    def test_a_hint_changes_no_member(self):
        # The platform's list may contain a host that is gone and lack one that is live;
        # neither may change the owners.
        fleet = build_fleet(HOSTS, seed=4)
        gone = Address(ip="10.9.9.9", port=8101)
        for node in fleet.nodes.values():
            node.membership.join([gone])
        fleet.run(60.0)
        assert fleet.agree()


class TestCapacity:
    @pytest.mark.parametrize("has_relayed_first", [False, True])
    def test_it_survives_hosts_that_leave_it_out(self, has_relayed_first):
        # Guards against owners that move each time a host of an earlier release passes
        # a record on without the capacity.
        membership = build_membership(FIRST)
        stated = build_member(SECOND, capacity=3)
        left_out = replace(stated, capacity=0)
        third = build_member(THIRD)
        if has_relayed_first:
            receive_gossip(membership, third, left_out)
        receive_gossip(membership, stated)
        receive_gossip(membership, third, left_out)
        receive_gossip(membership, third, replace(left_out, refutations=1))
        assert membership.get_capacities()[SECOND] == 3


class TestDetection:
    @pytest.mark.parametrize("loss", [0.0, 0.05])
    def test_a_killed_host_is_dead_everywhere(self, loss):
        fleet = build_fleet(HOSTS, seed=5, loss=loss)
        fleet.stop(THIRD)
        assert fleet.run_until(fleet.agree, 20.0)
        assert all_record(fleet, THIRD, MemberState.DEAD)

    def test_a_path_cut_in_one_direction_makes_no_member_dead(self):
        # Guards against a suspicion over one cut path: without indirect probes SECOND
        # would lose its work and get it back repeatedly.
        fleet = build_fleet(HOSTS, seed=6)
        fleet.cut.add((FIRST, SECOND))
        fleet.run(60.0)
        changes = [e for n in fleet.nodes.values() for t, e in n.events if t > 1_005]
        assert [e for e in changes if isinstance(e, MemberChanged)] == []
        assert fleet.n_sent["ProbeRequest"] > 0

    def test_a_suspect_keeps_its_work_until_confirmed(self):
        fleet = build_fleet(HOSTS, seed=7)
        fleet.stop(SECOND)
        first = fleet.nodes[FIRST].membership
        assert fleet.run_until(
            lambda: get_state(first, SECOND) is MemberState.SUSPECT, 20.0
        )
        assert SECOND in first.live()

    def test_a_failed_probe_does_not_make_the_successor_suspect(self):
        # A probe sent to a killed process fails after the record of its successor
        # arrived; it must not make the successor suspect.
        membership = build_membership(FIRST)
        receive_gossip(membership, build_member(SECOND))
        sends = membership.advance(now=1.0)
        assert [s for s in sends if isinstance(s.message, Ping)]
        receive_gossip(membership, build_member(SECOND, incarnation=2_000), now=1.1)
        for tick in range(12, 25):
            membership._probe_at = 10.0  # No second probe.
            membership.advance(now=tick / 10)
        assert get_state(membership, SECOND) is MemberState.LIVE


class TestRefutation:
    def test_a_process_that_resumes_is_live_again(self):
        # Guards against a live process that stays dead for the others: it has to
        # refute, since it has no other update to send.
        fleet = build_fleet(HOSTS, seed=8)
        fleet.pause(THIRD)
        fleet.run(300.0)
        assert all_record(fleet, THIRD, MemberState.DEAD)
        fleet.resume(THIRD)
        assert fleet.run_until(fleet.agree, 15.0)
        assert fleet.nodes[THIRD].membership.own.refutations > 0

    def test_a_process_that_resumes_declares_nobody_dead(self):
        # Guards against expired timers that declare live members dead after a pause.
        fleet = build_fleet(HOSTS, seed=9)
        fleet.cut.add((SECOND, FIRST))  # A probe of THIRD's waits when it stops.
        fleet.run(2.0)
        for pause in (3.0, 10.0, 300.0):
            fleet.pause(THIRD)
            fleet.run(pause)
            resumed = fleet.nodes[THIRD]
            resumed.events.clear()
            fleet.resume(THIRD)
            fleet.run(15.0)
            states = {
                event.member.state
                for _, event in resumed.events
                if isinstance(event, MemberChanged) and event.member.name != THIRD
            }
            assert states <= {MemberState.LIVE}

    def test_a_process_that_resumes_among_unknown_hosts_joins_them(self):
        # All members that the paused host knew are replaced meanwhile. It ignores older
        # gossip and gets no answers; only unknown hosts ping it.
        fleet = build_fleet(HOSTS[:3], seed=19)
        fleet.pause(THIRD)
        for old, new in ((FIRST, "ptl-a-8"), (SECOND, "ptl-a-9")):
            fleet.start(new, hints=[THIRD, old])
            fleet.run(2.0)
            fleet.stop(old)
        fleet.run(1.0)
        fleet.resume(THIRD)
        assert fleet.run_until(fleet.agree, 15.0)

    def test_a_pause_reverts_no_known_state(self):
        # Guards against work for a leaving host: only FIRST received that SECOND
        # leaves, is paused, and then receives an older record of SECOND.
        fleet = build_fleet([FIRST, THIRD], seed=20)
        first = fleet.nodes[FIRST].membership
        third = fleet.nodes[THIRD].membership.own
        fleet.cut_between([FIRST], [THIRD])
        leaving = build_member(SECOND, state=MemberState.LEAVING, refutations=2)
        receive_gossip(first, third, leaving, now=fleet.now)
        fleet.pause(FIRST)
        fleet.run(10.0)
        fleet.cut.clear()
        fleet.resume(FIRST)
        fleet.run(20.0)
        receive_gossip(first, third, build_member(SECOND), now=fleet.now)
        assert first.live() == {FIRST, THIRD}

    def test_a_suspect_is_notified_before_the_others(self):
        membership = build_membership(FIRST)
        receive_gossip(membership, build_member(SECOND), now=0.0)
        membership.advance(now=0.0)
        membership.advance(now=0.3)
        to, suspect = list_updates(membership.advance(now=1.0))[0]
        assert to == build_member(SECOND).peers
        assert suspect.state is MemberState.SUSPECT

    def test_refutes_at_once_with_a_higher_order(self):
        accused = build_membership(SECOND)
        suspect = build_member(SECOND, state=MemberState.SUSPECT, refutations=3)
        [answer] = receive_gossip(accused, build_member(FIRST), suspect)
        assert answer.message.source.refutations == 4
        assert answer.message.source.order > suspect.order


class TestIncarnations:
    def test_a_restart_is_live_before_the_old_process_was_missed(self):
        fleet = build_fleet(HOSTS, seed=10)
        fleet.stop(THIRD)
        fleet.run(1.0)
        fleet.start(THIRD, hints=[FIRST])
        assert fleet.run_until(fleet.agree, 5.0)
        fleet.run(30.0)
        assert fleet.agree()

    def test_a_late_dead_record_does_not_affect_the_successor(self):
        # Guards against a late record of the old process's death that would stop the
        # work of its successor.
        membership = build_membership(FIRST)
        receive_gossip(membership, build_member(SECOND, incarnation=2_000))
        late = build_member(SECOND, state=MemberState.DEAD, refutations=9)
        receive_gossip(membership, build_member(THIRD), late)
        assert get_state(membership, SECOND) is MemberState.LIVE
        assert SECOND in membership.live()

    def test_messages_of_a_replaced_process_are_ignored(self):
        # A replaced process that was paused resumes and sends suspicions from its old
        # table.
        membership = build_membership(FIRST)
        receive_gossip(membership, build_member(SECOND, incarnation=2_000))
        receive_gossip(membership, build_member(THIRD))
        accusation = build_member(THIRD, state=MemberState.DEAD)
        reply = receive_gossip(membership, build_member(SECOND), accusation)
        assert get_state(membership, THIRD) is MemberState.LIVE
        [(_, record)] = list_updates(reply)
        assert record.incarnation == 2_000

    def test_a_replaced_process_sends_nothing(self):
        # Guards against two processes of one name that refute each other for ever and
        # both own the same groups.
        old = build_membership(SECOND)
        receive_gossip(old, build_member(FIRST), now=0.0)
        receive_gossip(
            old, build_member(FIRST), build_member(SECOND, incarnation=2_000), now=100.0
        )
        assert old.superseded
        assert old.advance(now=101.0) == []
        assert receive_gossip(old, build_member(FIRST), now=102.0) == []

    def test_a_clock_that_was_set_back_does_not_silence_a_restart(self):
        # Guards against a restarted host that is ignored because its clock was set back
        # and its incarnation is lower than before.
        fleet = build_fleet(HOSTS, seed=11)
        before = fleet.nodes[THIRD].membership.own.incarnation
        fleet.stop(THIRD)
        fleet.run(20.0)
        restarted = fleet.start(THIRD, hints=[FIRST], incarnation=before - 3_600_000)
        assert fleet.run_until(fleet.agree, 15.0)
        assert restarted.own.incarnation > before


class TestLeaving:
    def test_gets_no_new_work_within_two_seconds_and_still_answers(self):
        fleet = build_fleet(HOSTS, seed=12, loss=0.05)
        leaving = fleet.nodes[THIRD].membership
        fleet.send(THIRD, leaving.leave(now=fleet.now))
        assert fleet.run_until(fleet.agree, 2.0)
        fleet.run(60.0)
        assert all_record(fleet, THIRD, MemberState.LEAVING)
        assert THIRD not in leaving.live()

    def test_a_suspicion_gives_a_leaving_host_no_work(self):
        # Guards against new work for a leaving host that becomes suspect, as suspects
        # keep their work.
        fleet = build_fleet(HOSTS, seed=13)
        leaving = fleet.nodes[THIRD].membership
        fleet.send(THIRD, leaving.leave(now=fleet.now))
        fleet.run_until(fleet.agree, 2.0)
        fleet.cut_between([THIRD], [h for h in HOSTS if h != THIRD])
        for _ in range(40):
            fleet.run(0.5)
            assert not any(
                THIRD in view for name, view in fleet.views().items() if name != THIRD
            )
        assert all_record(fleet, THIRD, MemberState.DEAD)

    def test_departing_needs_no_detection(self):
        fleet = build_fleet(HOSTS, seed=14)
        fleet.send(THIRD, fleet.nodes[THIRD].membership.depart(now=fleet.now))
        fleet.stop(THIRD)
        assert fleet.run_until(lambda: all_record(fleet, THIRD, MemberState.DEAD), 2.0)


class TestReplacement:
    def test_all_hosts_are_replaced_one_by_one(self):
        # Each host is replaced by one of another name and address that has one hint
        # only; in the end none of the configured hosts is left.
        fleet = build_fleet(HOSTS, seed=21, loss=0.05)
        for number, old in enumerate(HOSTS, 11):
            membership = fleet.nodes[old].membership
            fleet.send(old, membership.leave(now=fleet.now))
            fleet.run(10.0)
            fleet.send(old, membership.depart(now=fleet.now))
            fleet.stop(old)
            fleet.start(f"ptl-a-{number}", hints=[max(fleet.nodes)])
            assert fleet.run_until(fleet.agree, 10.0)
        assert not set(HOSTS) & set(fleet.nodes)

    def test_a_host_that_could_only_receive_is_live_once_it_can_send(self):
        # Guards against a host that needs a restart after all that it sends, its
        # refutations included, was dropped for a time.
        fleet = build_fleet(HOSTS, seed=22)
        fleet.cut.update((THIRD, other) for other in HOSTS)
        fleet.run(120.0)
        assert all_record(fleet, THIRD, MemberState.DEAD)
        fleet.cut.clear()
        assert fleet.run_until(fleet.agree, 15.0)


class TestCutRegions:
    NAMES = name_hosts(30)

    def build_cut(self, seconds: float) -> Fleet:
        fleet = build_fleet(self.NAMES, seed=15)
        fleet.cut_between(self.NAMES[:10], self.NAMES[10:])
        fleet.run(seconds)
        return fleet

    def test_both_sides_serve_and_merge_after_an_hour(self):
        # Guards against regions that stay partitioned after the path is restored,
        # because dead members are not probed.
        fleet = self.build_cut(3_600.0)
        views = fleet.views()
        assert views[self.NAMES[0]] == frozenset(self.NAMES[:10])
        assert views[self.NAMES[-1]] == frozenset(self.NAMES[10:])
        fleet.cut.clear()
        assert fleet.run_until(fleet.agree, 30.0)

    def test_healing_keeps_hosts_live_in_their_own_region(self):
        # Guards against hosts that lose their work within their own region while the
        # tables of both are merged.
        fleet = self.build_cut(60.0)
        fleet.cut.clear()
        for _ in range(300):
            fleet.run(0.1)
            for name, view in fleet.views().items():
                is_first = name in self.NAMES[:10]
                side = self.NAMES[:10] if is_first else self.NAMES[10:]
                assert view >= frozenset(side)

    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (MemberState.LIVE, MemberState.SUSPECT),
            (MemberState.LEAVING, MemberState.LEAVING),
        ],
    )
    def test_dead_members_of_a_received_table_become_suspects(self, state, expected):
        # Guards against a received table that ends the work of live hosts until they
        # refute, or turns a leaving host into a suspect, which gets work.
        membership = build_membership(FIRST)
        receive_gossip(membership, build_member(SECOND, state=state))
        may_own = SECOND in membership.live()
        dead = build_member(SECOND, state=MemberState.DEAD)
        table = Table(source=build_member(THIRD), members=(dead,))
        membership.receive(table, sender=build_member(THIRD).peers, now=1.0)
        assert get_state(membership, SECOND) is expected
        assert (SECOND in membership.live()) is may_own
        membership.advance(now=3.0)
        membership.advance(now=5.0)
        assert get_state(membership, SECOND) is MemberState.DEAD

    def test_updates_missed_during_a_short_cut_are_found_by_comparing_tables(self):
        # Guards against updates that are lost for good: a record is sent a bounded
        # number of times, and the cut is too short to be detected.
        fleet = build_fleet(self.NAMES, seed=16)
        cut_off = self.NAMES[5]
        fleet.cut_between([cut_off], [n for n in self.NAMES if n != cut_off])
        for name in self.NAMES[20:25]:
            leaving = fleet.nodes[name].membership
            fleet.send(name, leaving.leave(now=fleet.now))
        fleet.run(2.0)
        fleet.cut.clear()
        for name in self.NAMES[20:25]:
            # Direct probes, one in each round, would deliver the records, too.
            fleet.cut.add((name, cut_off))
        assert fleet.run_until(fleet.agree, 45.0)


class TestTombstones:
    def test_old_gossip_does_not_bring_back_the_dead(self):
        membership = build_membership(FIRST)
        receive_gossip(membership, build_member(SECOND))
        receive_gossip(
            membership,
            build_member(THIRD),
            build_member(SECOND, state=MemberState.DEAD),
        )
        receive_gossip(membership, build_member(THIRD), build_member(SECOND))
        assert SECOND not in membership.live()

    def test_tombstones_are_bounded_in_time_and_number(self):
        roster = Roster()
        for number in range(MAX_TOMBSTONES + 10):
            dead = build_member(f"ptl-a-{number}", state=MemberState.DEAD)
            roster.merge(dead, now=float(number))
        roster.forget_dead(now=5_000.0)
        assert len(roster.dead_since(0.0)) == MAX_TOMBSTONES
        assert roster.get("ptl-a-0") is None
        roster.forget_dead(now=5_000.0 + TOMBSTONE_S)
        assert roster.dead_since(0.0) == []

    def test_a_process_paused_for_days_brings_back_no_dead_member(self):
        # Guards against a dead member brought back by a process that was paused until
        # the others dropped its tombstone.
        fleet = build_fleet(HOSTS, seed=17)
        fleet.pause(FIRST)
        fleet.stop(THIRD)
        fleet.run(60.0)
        for node in fleet.nodes.values():
            if node.name != FIRST:
                node.membership._roster.forget_dead(now=fleet.now + TOMBSTONE_S)
                assert node.membership.get(THIRD) is None
        fleet.start("ptl-a-8", hints=[SECOND])
        fleet.run(5.0)
        fleet.resume(FIRST)
        for _ in range(100):
            fleet.run(0.5)
            for name, node in fleet.nodes.items():
                if name != FIRST:
                    assert THIRD not in node.membership.live()
        assert fleet.agree()

    def test_tables_do_not_pass_tombstones_on(self):
        # Guards against tombstones that new hosts pass on to each other for ever.
        membership = build_membership(FIRST)
        dead = build_member(THIRD, state=MemberState.DEAD)
        table = Table(source=build_member(SECOND), members=(dead,))
        membership.receive(table, sender=build_member(SECOND).peers, now=0.0)
        assert membership.get(THIRD) is None


class TestCost:
    def test_each_record_is_sent_a_bounded_number_of_times(self):
        dissemination = Dissemination()
        for number in range(20):
            dissemination.add(build_member(f"ptl-a-{number}"))
        taken = [member.name for _ in range(200) for member in dissemination.take(550)]
        assert {taken.count(name) for name in set(taken)} == {limit_sends(550)}
        assert len(set(taken)) == 20
        assert not dissemination

    def test_an_idle_fleet_sends_a_probe_each_second_for_any_size(self):
        rates = []
        for n_hosts in (10, 100):
            fleet = build_fleet(name_hosts(n_hosts), seed=18)
            fleet.run(30.0)
            fleet.n_sent.clear()
            fleet.run(60.0)
            rates.append(fleet.n_sent.total() / n_hosts / 60)
        assert rates == pytest.approx([2.0, 2.0], abs=0.1)

    def test_relays_are_bounded(self):
        membership = build_membership(FIRST)
        source = build_member(SECOND)
        for sequence in range(1_000):
            request = ProbeRequest(
                source=source, sequence=sequence, target=build_member(THIRD)
            )
            membership.receive(request, sender=source.peers, now=0.0)
        assert len(membership._probes._relays) <= 256


class TestTiming:
    def test_an_edit_of_the_timing_is_in_force_without_a_restart(self):
        # Guards against timing settings that are read at the start only, although the
        # host reports them as in force.
        fleet = build_fleet(HOSTS, seed=1)
        control = Control(probe_interval_ms=100, probe_timeout_ms=30, suspect_ms=200)
        for node in fleet.nodes.values():
            node.membership.replace_control(control)
        fleet.run(2.0)
        fleet.stop(SECOND)
        assert fleet.run_until(fleet.agree, 1.5)


class Machine(RuleBasedStateMachine):
    """Hosts start, stop, sleep, leave and lose each other in any order."""

    names = name_hosts(5)
    name = st.sampled_from(names)

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(seed=seed, watch=self.note)
        self.fleet.now = 1_000.0
        self.orders: dict[tuple[Membership, str], tuple[int, int, int]] = {}
        self.own_orders: dict[Membership, tuple[int, int, int]] = {}
        for name in self.names:
            self.fleet.start(name, hints=[n for n in self.names if n in self.nodes])
        self.fleet.run(2.0)

    @property
    def nodes(self):
        return self.fleet.nodes

    def note(self, datagram: Datagram) -> None:
        """Hold that no process ever speaks with a lower order than before."""
        membership = self.nodes[datagram.sender].membership
        order = datagram.message.source.order
        assert order >= self.own_orders.get(membership, order)
        self.own_orders[membership] = order

    @rule(name=name)
    def restart(self, name: str) -> None:
        if name in self.nodes:
            self.fleet.stop(name)
        self.fleet.run(0.01)
        self.fleet.start(name, hints=[n for n in self.names if n in self.nodes])

    @precondition(lambda self: len(self.nodes) > 2)
    @rule(data=st.data())
    def stop(self, data) -> None:
        self.fleet.stop(data.draw(st.sampled_from(sorted(self.nodes))))

    @rule(data=st.data())
    def pause_or_resume(self, data) -> None:
        name = data.draw(st.sampled_from(sorted(self.nodes)))
        if self.nodes[name].paused:
            self.fleet.resume(name)
        else:
            self.fleet.pause(name)

    @rule(data=st.data())
    def leave(self, data) -> None:
        name = data.draw(st.sampled_from(sorted(self.nodes)))
        if not self.nodes[name].paused:
            membership = self.nodes[name].membership
            self.fleet.send(name, membership.leave(now=self.fleet.now))

    @rule(sender=name, receiver=name)
    def cut(self, sender: str, receiver: str) -> None:
        self.fleet.cut.add((sender, receiver))

    @rule()
    def heal(self) -> None:
        self.fleet.cut.clear()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose(self, loss: float) -> None:
        self.fleet.loss = loss

    @rule(seconds=st.sampled_from([0.05, 0.7, 5.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @invariant()
    def versions_never_go_back(self) -> None:
        for node in getattr(self, "fleet", Fleet(seed=0)).nodes.values():
            for name in self.names:
                member = node.membership.get(name)
                if member is not None:
                    key = (node.membership, name)
                    assert member.order >= self.orders.get(key, member.order)
                    self.orders[key] = member.order

    def teardown(self) -> None:
        """After healing and a quiet time all agree on just who runs."""
        if not hasattr(self, "fleet"):
            return
        self.fleet.cut.clear()
        self.fleet.loss = 0.0
        for name, node in list(self.nodes.items()):
            if node.paused:
                self.fleet.resume(name)
        assert self.fleet.run_until(self.fleet.agree, 90.0), self.fleet.views()
        self.fleet.run(30.0)
        assert self.fleet.agree(), self.fleet.views()
        self.versions_never_go_back()


TestMachine = Machine.TestCase
TestMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=25
)
