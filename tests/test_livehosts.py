"""Bursts of member changes, applied on a gateway host."""

from dataclasses import replace
from random import Random

import pytest
import trio

from lavendergap.coordination.membership import Membership
from lavendergap.coordination.placement import Placement
from lavendergap.entry.fleet import Fleet
from lavendergap.entry.livehosts import APPLY_INTERVAL_S, LiveHosts
from lavendergap.state.gossip import Gossip
from lavendergap.state.member import DocumentsDigest, Member, MemberState
from lavendergap.state.settings import Address, Control, Settings

SETTINGS = Settings(
    deployment="test",
    version=0,
    platform=Address(ip="127.0.0.1", port=1),
    hosts=(),
    services=(),
    control=Control(),
)


def make_member(number: int, *, incarnation: int = 1) -> Member:
    return Member(
        name=f"host-{number}",
        data_centre=f"dc-{number % 6}",
        incarnation=incarnation,
        peers=Address(ip="127.0.0.1", port=8_000 + number),
    )


class Host:
    """One host, which receives members as if from datagrams."""

    def __init__(self) -> None:
        self.n_applied = 0
        own = make_member(0)
        self.membership = Membership(own=own, control=Control(), random=Random(1))
        self.placement = Placement(own_data_centre=own.data_centre)
        self.fleet = Fleet(
            own_name=own.name, settings=SETTINGS, placement=self.placement
        )
        self.live = LiveHosts(
            membership=self.membership,
            fleet=self.fleet,
            placement=self.placement,
            apply=self._apply,
        )

    def _apply(self) -> None:
        self.n_applied += 1

    def receive_member(self, member: Member) -> None:
        gossip = Gossip(source=member, documents=DocumentsDigest(), updates=())
        self.membership.receive(gossip, sender=member.peers, now=trio.current_time())
        for event in self.membership.take_events():
            self.live.handle_event(event)

    def receive_suspect(self, suspect: Member) -> None:
        """Receive from another host that `suspect` is suspect."""
        source = make_member(1 if suspect.name != "host-1" else 2)
        gossip = Gossip(source=source, documents=DocumentsDigest(), updates=(suspect,))
        self.membership.receive(gossip, sender=source.peers, now=trio.current_time())
        for event in self.membership.take_events():
            self.live.handle_event(event)


class TestManyAtOnce:
    # Guards against ranking owners and building groups for each change of a burst,
    # which keeps a small host busy while callers wait.

    @pytest.mark.parametrize("n_hosts", [195, 550])
    async def test_changes_of_a_starting_fleet_are_applied_in_batches(
        self, autojump_clock, nursery, n_hosts
    ):
        host = Host()
        nursery.start_soon(host.live.run)
        for number in range(1, n_hosts):
            host.receive_member(make_member(number))
            await trio.sleep(2.0 / n_hosts)
        await trio.sleep(2 * APPLY_INTERVAL_S)
        assert host.n_applied <= 2.0 / APPLY_INTERVAL_S + 2
        assert len(host.fleet.live) == n_hosts

    async def test_the_first_change_is_applied_at_once(self, autojump_clock, nursery):
        host = Host()
        nursery.start_soon(host.live.run)
        host.receive_member(make_member(1))
        await trio.testing.wait_all_tasks_blocked()
        assert host.fleet.live == {"host-0", "host-1"}

    async def test_the_last_change_of_a_burst_is_applied(self, autojump_clock, nursery):
        host = Host()
        nursery.start_soon(host.live.run)
        for number in range(1, 4):
            host.receive_member(make_member(number))
            await trio.testing.wait_all_tasks_blocked()
        host.receive_member(replace(make_member(3), state=MemberState.LEAVING))
        await trio.sleep(2 * APPLY_INTERVAL_S)
        assert host.fleet.live == {"host-0", "host-1", "host-2"}
        assert "host-3" not in host.placement.rank("some group")


class TestSuspects:
    async def test_a_suspect_is_ranked_last_and_keeps_its_groups(
        self, autojump_clock, nursery
    ):
        """Guards against each host losing a query of its own to a lost host."""
        host = Host()
        nursery.start_soon(host.live.run)
        for number in range(1, 4):
            host.receive_member(make_member(number))
        await trio.sleep(2 * APPLY_INTERVAL_S)
        ranked = host.fleet.rank("some group")
        first = int(ranked[0].rpartition("-")[2]) or int(ranked[1].rpartition("-")[2])
        suspect = replace(make_member(first), state=MemberState.SUSPECT)
        host.receive_suspect(suspect)
        await trio.sleep(2 * APPLY_INTERVAL_S)
        assert host.fleet.rank("some group")[-1] == suspect.name
        assert set(host.fleet.rank("some group")) == set(ranked)
        host.receive_member(replace(make_member(first), refutations=1))
        await trio.sleep(2 * APPLY_INTERVAL_S)
        assert host.fleet.rank("some group") == ranked

    def test_an_avoided_host_is_probed_once(self):
        """Guards against a late probe, and against a probe for each query."""
        probed: list[str] = []
        fleet = Fleet(own_name="host-0", settings=SETTINGS, probe=probed.append)
        for now in (1.0, 1.1, 1.2):
            fleet.avoid("host-1", now=now)
        assert probed == ["host-1"]
        fleet.expire_avoided(now=9.0)
        fleet.avoid("host-1", now=9.0)
        assert probed == ["host-1"] * 2


class TestReplaced:
    async def test_the_new_address_of_a_replaced_host_is_used(
        self, autojump_clock, nursery
    ):
        host = Host()
        nursery.start_soon(host.live.run)
        host.receive_member(make_member(1))
        await trio.sleep(2 * APPLY_INTERVAL_S)
        n_before = host.n_applied
        moved = Address(ip="127.0.0.1", port=9_999)
        host.receive_member(replace(make_member(1, incarnation=2), peers=moved))
        await trio.sleep(2 * APPLY_INTERVAL_S)
        assert host.fleet.get_address("host-1") == moved
        # Nothing else depends on the address of a peer.
        assert host.n_applied == n_before
