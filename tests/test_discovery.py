"""Discovery of gateway hosts through the store, and the calls that it costs."""

from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, cast

import pytest
import trio
import trio.testing

from lavendergap.coordination.registration import REGISTERED_PER_DATA_CENTRE
from lavendergap.entry.discovery import (
    CHANNEL_CHECK_INTERVAL_S,
    MAX_RANKING_S,
    Discovery,
    keep_channels,
)
from lavendergap.state.feeds import (
    FeedEntry,
    FeedListing,
    StorePosition,
    StoreUnavailable,
)
from lavendergap.state.hostfile import parse_host_file
from lavendergap.state.member import Member
from lavendergap.state.outcome import Reason, Step
from lavendergap.state.settings import Address

N_DATA_CENTRES = 6


def make_address(number: int) -> Address:
    return Address(ip="127.0.0.1", port=10_000 + number)


def make_member(number: int) -> Member:
    return Member(
        name=f"host-{number}",
        data_centre=f"dc-{number % N_DATA_CENTRES}",
        incarnation=1,
        peers=make_address(number),
    )


def make_host(number: int):
    member = make_member(number)
    bounds = '"drain_ms": 1, "stop_within_ms": 1, "extra_call_share": 0.2'
    return parse_host_file(
        f"""{{
        "name": "{member.name}", "data_centre": "{member.data_centre}",
        "callers": "127.0.0.1:1", "admin": "127.0.0.1:2",
        "peer_ip": "127.0.0.1", "peer_port": {member.peers.port},
        "store": "127.0.0.1:3",
        "bounds": {{{bounds}, "extra_call_slack": 5, "extra_call_window_s": 10}}
        }}""",
        file="host.jsonc",
    )


@dataclass(kw_only=True, slots=True)
class FakeStore:
    """The registered hosts, shared by all adapters; counts reads and writes."""

    entries: dict[str, bytes] = field(default_factory=dict)
    lagging: dict[str, bytes] | None = None
    is_down: bool = False
    n_lists: int = 0
    n_writes: int = 0

    @property
    def feed_source(self):
        return self

    async def list_feed(self, feed, *, may_be_stale):
        self.n_lists += 1
        if self.is_down:
            return StoreUnavailable(step=Step.CONNECT, reason=Reason.REFUSED_CONNECTION)
        listed = self.entries
        if may_be_stale and self.lagging is not None:
            listed = self.lagging
        entries = [FeedEntry(name=n, body=b) for n, b in listed.items()]
        return FeedListing(position=StorePosition(revision=1), entries=tuple(entries))

    async def register_host(self, name, address):
        self.n_writes += 1
        if self.is_down:
            return False
        self.entries[name] = str(address).encode()
        return True

    def read_host(self, body):
        ip, _, port = body.decode().partition(":")
        return Address(ip=ip, port=int(port))


@dataclass(kw_only=True, slots=True)
class SlowFleet:
    """Ranks one group in a millisecond; this host owns all."""

    clock: trio.testing.MockClock
    own_name: str = "host-0"
    n_ranked: int = 0

    def rank(self, group: str) -> tuple[str, ...]:
        self.clock.jump(0.001)
        self.n_ranked += 1
        return (self.own_name,)


class FakeMembership:
    """The members as one host sees them: itself and `others`."""

    def __init__(self, number: int) -> None:
        self.own = make_member(number)
        self.others: list[Member] = []
        self.hints: set[Address] = set()

    def join(self, hints):
        self.hints.update(hints)

    def members(self):
        return (self.own, *self.others)

    def get_data_centres(self):
        return {member.name: member.data_centre for member in self.members()}

    def live(self):
        return frozenset(member.name for member in self.members())


def start_discovery(
    number: int, store: FakeStore, nursery, *, get_epoch=lambda: 1, started=None
) -> FakeMembership:
    membership = FakeMembership(number)
    discovery = Discovery(
        host=make_host(number),
        adapter=cast(Any, store),
        membership=cast(Any, membership),
        random=Random(number),
        get_epoch=get_epoch,
        wake=lambda: None,
    )
    nursery.start_soon(discovery.run)
    if started is not None:
        started.append(discovery)
    return membership


class TestStart:
    # All hosts start together and reach the seeds. Guards against writes to the store
    # by each of them: a new host needs only one entry to find the others.

    @pytest.mark.parametrize("n_hosts", [195, 550])
    @pytest.mark.parametrize("found_after", [0.4, 1.45])
    async def test_three_hosts_of_each_data_centre_register(
        self, autojump_clock, nursery, n_hosts, found_after
    ):
        store = FakeStore()
        memberships = [
            start_discovery(number, store, nursery) for number in range(n_hosts)
        ]
        await trio.sleep(found_after)
        for membership in memberships:
            membership.others = [make_member(n) for n in range(n_hosts)]
        await trio.sleep(20.0)
        assert store.n_writes == REGISTERED_PER_DATA_CENTRE * N_DATA_CENTRES
        assert store.n_lists == n_hosts + store.n_writes

    async def test_hosts_with_valid_entries_write_nothing_after_a_restart(
        self, autojump_clock, nursery
    ):
        store = FakeStore()
        for number in range(20):
            store.entries[f"host-{number}"] = str(make_address(number)).encode()
        memberships = [start_discovery(number, store, nursery) for number in range(20)]
        await trio.sleep(0.4)
        for membership in memberships:
            membership.others = [make_member(n) for n in range(20)]
        await trio.sleep(20.0)
        assert store.n_writes == 0

    async def test_a_host_with_a_new_address_registers_again(
        self, autojump_clock, nursery
    ):
        store = FakeStore(entries={"host-1": str(make_address(7)).encode()})
        start_discovery(1, store, nursery)
        await trio.sleep(3.0)
        assert store.entries["host-1"] == str(make_address(1)).encode()


class TestAlone:
    async def test_a_lagging_list_does_not_hide_the_running_hosts(
        self, autojump_clock, nursery
    ):
        # Guards against a host that stays alone while a replica of the store lags.
        store = FakeStore(entries={"host-1": str(make_address(1)).encode()}, lagging={})
        late = start_discovery(2, store, nursery)
        await trio.sleep(1.9)
        assert make_address(1) in late.hints

    @pytest.mark.parametrize(("n_hosts", "expected"), [(1, True), (4, False)])
    async def test_only_a_single_host_takes_itself_for_the_only_one(
        self, autojump_clock, nursery, n_hosts, expected
    ):
        # Guards against hosts that start together and each grant a customer's limit.
        store = FakeStore()
        found: list[Discovery] = []
        for number in range(n_hosts):
            start_discovery(number, store, nursery, started=found)
        await trio.sleep(3.5)
        assert [discovery.is_only_host for discovery in found] == [expected] * n_hosts

    @pytest.mark.parametrize(
        ("listed", "is_found", "at", "expected"),
        [
            ((), False, 5.0, (False, "no peer found yet")),  # Truly alone.
            ((2,), False, 5.0, (True, "no peer found yet")),
            ((2,), False, 11.0, (False, "no peer found yet")),  # The other is gone.
            ((2,), True, 5.0, (False, "")),
        ],
    )
    async def test_a_host_without_peers_reports_it(
        self, autojump_clock, nursery, listed, is_found, at, expected
    ):
        # Guards against a host that takes callers although it missed its peers, and
        # against one that never serves because the others are gone for good.
        entries = {f"host-{n}": str(make_address(n)).encode() for n in listed}
        store = FakeStore(entries=entries)
        started: list[Discovery] = []
        membership = start_discovery(1, store, nursery, started=started)
        membership.others = [make_member(2)] if is_found else []
        await trio.sleep(at)
        [discovery] = started
        assert (discovery.must_find_peer(), discovery.get_warning()) == expected

    async def test_two_hosts_without_seeds_find_each_other(
        self, autojump_clock, nursery
    ):
        # No seed answers: each host registers and finds the other's entry.
        store = FakeStore()
        first, second = (
            start_discovery(1, store, nursery),
            start_discovery(2, store, nursery),
        )
        await trio.sleep(8.0)
        assert make_address(2) in first.hints
        assert make_address(1) in second.hints

    async def test_an_unavailable_store_is_asked_again(self, autojump_clock, nursery):
        store = FakeStore(is_down=True)
        start_discovery(1, store, nursery)
        await trio.sleep(10.0)
        assert 3 <= store.n_lists <= 12
        store.is_down = False
        await trio.sleep(4.0)
        assert "host-1" in store.entries


class TestLosses:
    async def test_other_hosts_register_in_place_of_lost_ones(
        self, autojump_clock, nursery
    ):
        # All registered hosts of a data centre are lost, while their entries remain. If
        # no others registered, a new host could reach no host of it.
        store = FakeStore()
        numbers = range(0, 12 * N_DATA_CENTRES, N_DATA_CENTRES)
        memberships = {n: start_discovery(n, store, nursery) for n in numbers}
        for membership in memberships.values():
            membership.others = [make_member(n) for n in numbers]
        await trio.sleep(10.0)
        first = set(store.entries)
        assert len(first) == REGISTERED_PER_DATA_CENTRE
        left = [n for n in numbers if f"host-{n}" not in first]
        for n in left:
            memberships[n].others = [make_member(other) for other in left]
        await trio.sleep(10.0)
        assert len(store.entries) == 2 * REGISTERED_PER_DATA_CENTRE


class TestChannels:
    async def test_ranking_many_groups_lets_other_tasks_run(
        self, autojump_clock, nursery
    ):
        # Guards against a host that answers no caller for seconds after many routes
        # were added.
        fleet = SlowFleet(clock=autojump_clock)
        groups = [f"g{n}" for n in range(500)]
        keep = partial(
            keep_channels,
            fleet=cast(Any, fleet),
            dialer=cast(Any, None),
            get_groups=lambda: groups,
        )
        nursery.start_soon(keep)
        await trio.sleep(CHANNEL_CHECK_INTERVAL_S)
        longest = 0
        while fleet.n_ranked < len(groups):
            before = fleet.n_ranked
            await trio.lowlevel.checkpoint()
            longest = max(longest, fleet.n_ranked - before)
        assert 0.001 * longest <= 2 * MAX_RANKING_S


class TestRestoredStore:
    """Guards against hosts that cannot be found after the store has lost them."""

    @pytest.mark.parametrize("n_hosts", [7, 550])
    async def test_registered_hosts_register_again(
        self, autojump_clock, nursery, n_hosts
    ):
        store = FakeStore()
        epoch = 0
        memberships = [
            start_discovery(number, store, nursery, get_epoch=lambda: epoch)
            for number in range(n_hosts)
        ]
        for membership in memberships:
            membership.others = [make_member(n) for n in range(n_hosts)]
        epoch = 1  # Hosts read the store's epoch some time after their start.
        await trio.sleep(20.0)
        registered = set(store.entries)
        n_writes = store.n_writes
        assert n_writes == len(registered)
        epoch = 2
        store.entries.clear()
        await trio.sleep(4.0)
        assert set(store.entries) == registered
        assert store.n_writes == 2 * n_writes

    async def test_a_lagging_list_of_before_the_restore_is_not_trusted(
        self, autojump_clock, nursery
    ):
        store = FakeStore()
        epoch = 1
        start_discovery(1, store, nursery, get_epoch=lambda: epoch)
        await trio.sleep(10.0)
        assert store.n_writes == 1
        epoch = 2
        await trio.sleep(10.0)
        assert store.n_writes == 2

    async def test_a_refused_write_is_tried_again(self, autojump_clock, nursery):
        store = FakeStore()
        epoch = 1
        start_discovery(1, store, nursery, get_epoch=lambda: epoch)
        await trio.sleep(10.0)
        epoch = 2
        store.entries.clear()
        store.is_down = True
        await trio.sleep(10.0)
        store.is_down = False
        await trio.sleep(4.0)
        assert "host-1" in store.entries
