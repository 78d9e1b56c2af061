"""Copies of a feed when the store is restored from an older copy."""

from collections.abc import Sequence
from random import Random
from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from adapter.store import ObjectStore
from lavendergap.coordination.feeds import FeedCopy
from lavendergap.entry.feeds import LAPSE_GRACE_S, FeedReader
from lavendergap.protocol.messages import FeedState, FeedUpdate
from lavendergap.state.feeds import HistoryExpired, StorePosition
from lavendergap.state.outcome import Reason, Step
from lavendergap.state.settings import Address
from lavendergap.transport.httpclient import FailedCall, HttpReply
from standins import objectstore
from standins.http import Request
from tests.feedfakes import (
    LAGGING,
    LOST,
    FakePeers,
    FakeStore,
    at,
    change,
    make_listing,
    make_update,
    start_reader,
)

KIND = "servers"
FIRST = at(9, epoch=2)


class TestOrder:
    def test_a_restored_store_is_newer_whatever_its_revision(self):
        """Guards against ignoring a restored store until its revisions catch up."""
        copy = FeedCopy(lapse_grace_s=0.0)
        copy.apply_listing(make_listing(9, a="1"), now=0.0)
        assert copy.apply_listing(make_listing(at(4, epoch=2), a="2"), now=1.0)
        assert not copy.apply_listing(make_listing(10, a="3"), now=2.0)
        assert copy.entries == {"a": b"2"}

    def test_changes_of_another_epoch_do_not_follow(self):
        """Guards against skipping changes whose revisions are issued again."""
        copy = FeedCopy(lapse_grace_s=0.0)
        copy.apply_listing(make_listing(9, a="1"), now=0.0)
        assert not copy.apply_changes(change(at(10, epoch=2), b="2"), now=1.0)
        assert copy.position == at(9)


class TestKeptEntries:
    def test_entries_lost_in_a_restore_are_kept_for_the_grace_period(self):
        """Guards against refusing callers until servers have registered again."""
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(9, a="1", b="2"), now=0.0)
        assert not copy.apply_listing(make_listing(at(4, epoch=2), a="1"), now=10.0)
        assert set(copy.entries) == {"a", "b"}
        copy.apply_changes(change(at(5, epoch=2), b="2"), now=11.0)
        assert not copy.drop_lapsed(now=12.0)
        assert set(copy.entries) == {"a", "b"}

    def test_the_grace_period_may_be_longer_than_after_an_outage(self):
        """Guards against calls to servers whose evacuation a restore has lost."""
        copy = FeedCopy(lapse_grace_s=2.0, restore_grace_s=10.0)
        copy.apply_listing(make_listing(9, a="1", b="1"), now=0.0)
        copy.apply_listing(make_listing(at(4, epoch=2), b="1"), now=10.0)
        assert not copy.drop_lapsed(now=19.9)
        assert copy.drop_lapsed(now=20.0)
        assert dict(copy.entries) == {"b": b"1"}

    def test_an_entry_removed_after_the_restore_is_not_kept_for_longer(self):
        """Guards against an evacuation that an operator cannot end."""
        copy = FeedCopy(lapse_grace_s=2.0, restore_grace_s=10.0)
        copy.apply_listing(make_listing(9, a="1"), now=0.0)
        copy.apply_listing(make_listing(at(4, epoch=2), a="1"), now=10.0)
        assert copy.apply_changes(change(at(5, epoch=2), a=None), now=12.5)
        assert copy.entries == {}

    def test_a_second_restore_extends_the_grace_period(self):
        """Guards against dropping servers whose new entries were lost, too."""
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(9, a="1"), now=0.0)
        copy.apply_listing(make_listing(at(4, epoch=2)), now=10.0)
        copy.apply_listing(make_listing(at(4, epoch=3)), now=11.5)
        assert not copy.drop_lapsed(now=13.0)
        assert copy.drop_lapsed(now=13.5)

    def test_the_first_listing_starts_no_grace_period(self):
        """Guards against keeping servers that leave just after this host's start."""
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(9, a="1"), now=0.0)
        assert copy.apply_changes(change(10, a=None), now=0.1)
        assert copy.entries == {}


class TestReading:
    async def read(self, *answers: Any) -> tuple[FakeStore, FakePeers, FeedReader]:
        """Return what a watch holder has done and has after these answers."""
        store = FakeStore(*answers)
        peers = FakePeers()
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(store, nursery, peers)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        return store, peers, reader

    async def test_an_expired_history_of_a_restored_store(self, autojump_clock):
        store, peers, reader = await self.read(
            make_listing(9, a="1"),
            HistoryExpired(),
            make_listing(at(4, epoch=2), a="2"),
        )
        assert store.asked == [LAGGING, "watch 9", "list", "watch 4"]
        assert reader.copy.entries == {"a": b"2"}
        [update] = peers.announced
        assert (update.base, update.position) == (at(4, epoch=2), at(4, epoch=2))

    async def test_a_watch_that_a_restored_store_answers(self, autojump_clock):
        """Guards against changes skipped as the store has passed the old revision."""
        store, _, reader = await self.read(
            make_listing(9, a="1"),
            change(at(12, epoch=2), b="1"),
            make_listing(at(12, epoch=2), a="2", b="1"),
        )
        assert store.asked == [LAGGING, "watch 9", "list", "watch 12"]
        assert reader.copy.entries == {"a": b"2", "b": b"1"}

    async def test_a_lagging_listing_is_read_again_before_a_watch(self, autojump_clock):
        """Guards against a read from before a restore, with the epoch of after it."""
        store, peers, reader = await self.read(
            make_listing(at(9, epoch=2), a="old"), make_listing(at(4, epoch=2), a="1")
        )
        assert store.asked == [LAGGING, "list", "watch 4"]
        assert reader.copy.entries == {"a": b"1"}
        assert [update.position for update in peers.announced] == [at(4, epoch=2)]

    async def test_histories_that_expire_at_once_are_asked_with_back_off(
        self, autojump_clock
    ):
        """Guards against a flood of calls to a store that keeps no history."""
        answers = [HistoryExpired(), make_listing(9, a="1")] * 99
        store, _, _ = await self.read(make_listing(9, a="1"), *answers)
        assert len(store.asked) < 12

    @pytest.mark.parametrize("during", ["list", "watch"])
    async def test_an_update_during_a_call_goes_first(self, autojump_clock, during):
        """Guards against reverting, or listing again, what a peer has announced."""

        class UpdatedMeanwhile(FakeStore):
            async def _next(self, what):
                if what.startswith(during) and what != LAGGING and not peers.fetches:
                    reader.receive(update, host="advertiser")
                    await trio.sleep(0.1)
                return await super()._next(what)

        answers: list[Any] = [HistoryExpired()]
        if during == "list":
            answers.append(make_listing(at(4, epoch=2), a="2"))
        store = UpdatedMeanwhile(make_listing(9, a="1"), *answers)
        update = make_update(4, change(at(5, epoch=2)), a="3")
        peers = FakePeers()
        peers.state = FeedState(
            feed="servers",
            position=update.position,
            entries=make_listing(5, a="3").entries,
        )
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(store, nursery, peers)
            await trio.sleep(1.0)
            assert store.asked[-1] == "watch 5"
            assert len(store.asked) == len(answers) + 2
            assert reader.copy.entries == {"a": b"3"}
            nursery.cancel_scope.cancel()


class TestUpdates:
    """What a host that does not watch does with its peers' announcements."""

    async def receive(
        self,
        update: FeedUpdate,
        *answers: Any,
        first: StorePosition = FIRST,
        state: FeedState | None = None,
    ) -> tuple[FakeStore, FakePeers, FeedReader]:
        store = FakeStore(make_listing(first, a="1"), *answers)
        peers = FakePeers(rank=None)
        peers.state = state
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(store, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(update, host="advertiser")
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        return store, peers, reader

    async def test_a_restore_is_learnt_from_the_sender_s_copy(self, autojump_clock):
        """Guards against all hosts listing a store that has just returned."""
        position = at(4, epoch=3)
        state = FeedState(
            feed="servers", position=position, entries=make_listing(4, a="2").entries
        )
        update = make_update(4, change(position), a="2")
        store, _, reader = await self.receive(update, state=state)
        assert store.asked == [LAGGING]
        assert reader.copy.position == position
        assert reader.copy.entries == {"a": b"2"}

    async def test_equal_entries_take_over_the_epoch(self, autojump_clock):
        update = make_update(4, change(at(5, epoch=3), b="2"), a="1", b="2")
        store, peers, reader = await self.receive(update)
        assert (store.asked, peers.fetches) == ([LAGGING], [])
        assert reader.copy.position == at(5, epoch=3)
        assert reader.copy.entries == {"a": b"1", "b": b"2"}

    async def test_an_update_from_before_the_restore_changes_nothing(
        self, autojump_clock
    ):
        """Guards against a late message that brings back what the store has lost."""
        late = make_update(11, change(at(12, epoch=1), a="3"), a="3")
        store, peers, reader = await self.receive(late)
        assert (store.asked, peers.fetches) == ([LAGGING], [])
        assert reader.copy.entries == {"a": b"1"}

    async def test_an_equal_update_from_before_the_restore_confirms_nothing(
        self, autojump_clock
    ):
        """Guards against hosts that keep each other from asking a restored store."""
        store = FakeStore(make_listing(FIRST, a="1"), make_listing(FIRST, a="1"))
        late = make_update(11, change(at(12, epoch=1)), a="1")
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(store, nursery, FakePeers(rank=None))
            for _ in range(4):
                await trio.sleep(1.0)
                reader.receive(late, host="advertiser")
            assert len(store.asked) > 1
            nursery.cancel_scope.cancel()

    async def test_the_store_is_listed_if_the_sender_does_not_answer(
        self, autojump_clock
    ):
        update = make_update(4, change(at(4, epoch=3)), a="2")
        listing = make_listing(at(4, epoch=3), a="2")
        store, _, reader = await self.receive(update, listing)
        assert store.asked == [LAGGING, "list"]
        assert reader.copy.entries == {"a": b"2"}

    async def test_a_difference_at_one_position_is_settled_by_the_store(
        self, autojump_clock
    ):
        """Guards against copies that differ for good at one revision."""
        update = make_update(9, change(9), a="2")
        state = FeedState(
            feed="servers", position=at(9), entries=make_listing(9, a="2").entries
        )
        store, peers, reader = await self.receive(
            update, change(9), make_listing(9, a="2"), first=at(9), state=state
        )
        assert store.asked == [LAGGING, "watch 9", "list"]
        assert reader.copy.entries == {"a": b"2"}
        assert peers.announced == []

    async def test_a_sender_that_is_wrong_learns_so(self, autojump_clock):
        update = make_update(9, change(9), a="2")
        _, peers, reader = await self.receive(
            update, change(9), make_listing(9, a="1"), first=at(9)
        )
        assert reader.copy.entries == {"a": b"1"}
        assert [each.fingerprint for each in peers.announced] == [
            reader.copy.fingerprint
        ]

    async def test_a_host_that_the_store_refuses_keeps_its_copy(self, autojump_clock):
        update = make_update(4, change(at(4, epoch=3)), a="2")
        _, _, reader = await self.receive(update, *[LOST] * 9)
        assert reader.copy.entries == {"a": b"1"}


class DirectClient:
    """Calls the stand-in of the store without a network; `is_cut` refuses calls."""

    def __init__(self, store: objectstore.ObjectStore) -> None:
        self._store = store
        self.is_cut = False

    async def call(
        self, method: str, path: str, *, limit_s: float, **_options: Any
    ) -> HttpReply | FailedCall:
        await trio.sleep(0.005)
        lost = FailedCall(step=Step.RECEIVE, reason=Reason.LOST_CONNECTION, sent=True)
        plain, _, query = path.partition("?")
        request = Request(method=method, path=plain, query=query, headers={}, body=b"")
        with trio.move_on_after(limit_s):
            if self.is_cut:
                return lost
            reply = await self._store.handle(request, None)  # type: ignore[arg-type]
            headers = {name.lower(): value for name, value in reply.headers}
            return HttpReply(status=reply.status, headers=headers, body=reply.body)
        return lost


class Hosts:
    """Readers of one feed over one store, with the two first as watch holders."""

    def __init__(self, nursery: trio.Nursery, *, n_hosts: int = 4) -> None:
        self.n_hosts = n_hosts
        self.store = objectstore.ObjectStore()
        self.readers: list[FeedReader] = []
        self.clients: list[DirectClient] = []
        self.is_cut = [False] * self.n_hosts
        self.epochs = [0] * self.n_hosts
        self.scopes: list[trio.CancelScope] = []
        self._nursery = nursery
        for number in range(self.n_hosts):
            self.clients.append(DirectClient(self.store))
            self.readers.append(self.make_reader(number))
            self.scopes.append(self.start(self.readers[number]))

    def make_reader(self, number: int) -> FeedReader:
        source = ObjectStore(
            address=Address(ip="127.0.0.1", port=1), kinds={KIND: KIND}
        )
        source._client = self.clients[number]  # type: ignore[assignment]
        return FeedReader(
            feed=KIND,
            source=source,
            peers=HostPeers(self, number),
            on_change=self.make_check(number),
            summarize=lambda name, body: body,
            random=Random(number),
            nursery=self._nursery,
        )

    def start(self, reader: FeedReader) -> trio.CancelScope:
        async def run() -> None:
            with scope:
                await reader.run()

        scope = trio.CancelScope()
        self._nursery.start_soon(run)
        return scope

    def restart(self, number: int) -> None:
        """Let a host lose its copy and start again."""
        self.scopes[number].cancel()
        self.epochs[number] = 0
        self.readers[number] = self.make_reader(number)
        self.scopes[number] = self.start(self.readers[number])

    def make_check(self, number: int) -> Any:
        def check(entries: object, position: StorePosition) -> None:
            assert position.epoch >= self.epochs[number]
            self.epochs[number] = position.epoch

        return check

    def get_store_entries(self) -> dict[str, object]:
        names = self.store.list_names(KIND)
        return {name: self.store._kinds[KIND][name].spec for name in names}


class HostPeers(FakePeers):
    """The peers of one host; cut hosts neither send nor receive."""

    def __init__(self, hosts: Hosts, number: int) -> None:
        super().__init__(rank=number if number < 2 else None)
        self._hosts = hosts
        self._number = number

    def announce(self, update: FeedUpdate) -> None:
        for number in range(self._hosts.n_hosts):
            if number != self._number and not self._is_cut(number):
                reader = self._hosts.readers[number]
                reader.receive(update, host=str(self._number))

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        await trio.sleep(0.002)
        number = int(host) if host else (self._number + 1) % self._hosts.n_hosts
        if self._is_cut(number):
            return None
        return self._hosts.readers[number].make_state(hashes)

    def _is_cut(self, number: int) -> bool:
        return self._hosts.is_cut[self._number] or self._hosts.is_cut[number]


WRITES = [("write", name, body) for name in "abc" for body in (1, 2, 3)]
REMOVALS = [("remove", name) for name in "abc"]
HOST_FAULTS = [
    (kind, number)
    for kind in ("cut", "mend", "refuse", "serve", "restart")
    for number in range(4)
]
RESTORES = [("restore", n_lost) for n_lost in (1, 2, 3, 5)]
STORE_FAULTS = [("forget",), ("busy",), ("up",), ("up",), ("lag",), ("catch up",)]
PAUSES = [("sleep", seconds) for seconds in (0.01, 0.1, 0.3, 2.0)]
STEPS = st.one_of(
    st.sampled_from(WRITES),
    st.sampled_from(WRITES + REMOVALS),
    st.sampled_from(RESTORES),
    st.sampled_from(PAUSES),
    st.sampled_from(HOST_FAULTS + STORE_FAULTS),
)


async def play(steps: Sequence[tuple[Any, ...]]) -> None:
    """Play the steps; all copies must then equal the store's entries."""
    async with trio.open_nursery() as nursery:
        hosts = Hosts(nursery)
        store = hosts.store
        copies = [store.take_copy()]
        await trio.sleep(1.0)
        for step in steps:
            match step:
                case ("write", name, body):
                    store.put(KIND, name, body)
                    copies.append(store.take_copy())
                case ("remove", name):
                    store.remove(KIND, name)
                case ("cut" | "mend" as kind, number):
                    hosts.is_cut[number] = kind == "cut"
                case ("refuse" | "serve" as kind, number):
                    hosts.clients[number].is_cut = kind == "refuse"
                case ("restore", n_lost):
                    del copies[max(1, len(copies) - n_lost) :]
                    store.restore(copies[-1])
                case ("restart", number):
                    hosts.restart(number)
                case ("lag",):
                    store.lagging_copy = store.take_copy()
                case ("catch up",):
                    store.lagging_copy = None
                case ("forget",):
                    store.forget_history()
                case ("busy" | "up" as mode,):
                    store.mode = mode
                case ("sleep", seconds):
                    await trio.sleep(seconds)
        store.mode = "up"
        store.lagging_copy = None
        for number in range(hosts.n_hosts):
            hosts.is_cut[number] = hosts.clients[number].is_cut = False
        await trio.sleep(4.0 + LAPSE_GRACE_S)
        expected = {
            name: str(body).encode() for name, body in hosts.get_store_entries().items()
        }
        for reader in hosts.readers:
            assert dict(reader.copy.entries) == expected
        n_before = store.n_calls
        await trio.sleep(6.0)
        assert store.n_calls - n_before < 20
        nursery.cancel_scope.cancel()


class TestSeveralHosts:
    """Guards against copies that differ for good after restores, cuts and outages."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(steps=st.lists(STEPS, min_size=5, max_size=50))
    def test_copies_equal_the_store_in_the_end(self, steps):
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        trio.run(lambda: play(steps), clock=clock)

    def test_a_restore_that_reaches_the_old_revision(self):
        """Guards against hosts that stay at the routes from before a restore."""
        steps = [("write", "a", 1), ("write", "a", 2), ("sleep", 0.3)]
        steps += [("restore", 1), ("write", "a", 3)]
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        trio.run(lambda: play(steps), clock=clock)

    @pytest.mark.parametrize("n_hosts", [7, 73, 195])
    def test_calls_after_a_restore_do_not_grow_with_the_hosts(self, n_hosts):
        """Guards against all hosts listing a store that has just returned."""
        clock = trio.testing.MockClock(autojump_threshold=0.0)
        trio.run(lambda: count_calls(n_hosts), clock=clock)


async def count_calls(n_hosts: int) -> None:
    async with trio.open_nursery() as nursery:
        hosts = Hosts(nursery, n_hosts=n_hosts)
        await trio.sleep(1.0)
        hosts.store.put(KIND, "a", 1)
        copy = hosts.store.take_copy()
        hosts.store.put(KIND, "a", 2)
        await trio.sleep(1.0)
        n_before = hosts.store.n_calls
        hosts.store.restore(copy)
        await trio.sleep(0.2)
        hosts.store.put(KIND, "b", 1)
        await trio.sleep(2.8)
        for reader in hosts.readers:
            assert dict(reader.copy.entries) == {"a": b"1", "b": b"1"}
        assert hosts.store.n_calls - n_before < 20
        nursery.cancel_scope.cancel()
