"""Hosts that watch the store are lost, and outages of the store, on a virtual clock."""

from dataclasses import dataclass, field
from random import Random

import pytest
import trio

from lavendergap.coordination.outages import Change, OutageDetector
from lavendergap.entry.feedpeers import N_HOLDERS, N_STANDBYS
from lavendergap.entry.feeds import FeedReader
from lavendergap.state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    StoreContact,
    StorePosition,
)
from tests.feedfakes import LOST, summarize

CALL_S = 0.005
CALL_TIMEOUT_S = 0.7
# How long after the loss of a host the others no longer take it for a watch holder.
DETECTED_AFTER_S = 3.0
DRAIN_S = 3.0
# How soon after an outage live servers are registered again.
WRITTEN_AGAIN_S = 2.0
SERVER = FeedChange(name="i-1", body=b"ready")
OTHER = FeedChange(name="i-2", body=b"ready")


@dataclass
class Store:
    """A store with a history; `mode` is "up", "down" or "silent"."""

    mode: str = "up"
    history: list[FeedChange] = field(default_factory=lambda: [SERVER, OTHER])
    changed: trio.Event = field(default_factory=trio.Event)
    n_calls: int = 0

    def write(self, change: FeedChange) -> None:
        self.history.append(change)
        self.wake()

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        self.wake()

    def wake(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    @property
    def position(self) -> StorePosition:
        return StorePosition(revision=len(self.history))


@dataclass
class Host:
    """A host: its reader, its view of the store and of the other hosts."""

    number: int
    site: "Site"
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    lost_at: float = float("inf")
    is_cut_from_store: bool = False
    is_cut_from_peers: bool = False
    is_frozen: bool = False
    thawed: trio.Event = field(default_factory=trio.Event)
    entries: dict[str, bytes] = field(default_factory=dict)
    reader: FeedReader | None = None
    removed_at: float | None = None

    def use(self, entries, position) -> None:
        if SERVER.name in self.entries and SERVER.name not in entries:
            self.removed_at = trio.current_time()
        self.entries = dict(entries)

    async def _wait_if_frozen(self) -> None:
        if self.is_frozen:
            await self.thawed.wait()

    # The store, as its source.

    async def list_feed(self, feed, *, may_be_stale):
        answer = await self._call(0.0, None)
        if answer is not None:
            return answer
        body = {change.name: change.body for change in self.site.store.history}
        entries = tuple(FeedEntry(name=n, body=b) for n, b in body.items() if b)
        return FeedListing(position=self.site.store.position, entries=entries)

    async def watch_feed(self, feed, *, after, wait_s):
        answer = await self._call(wait_s, after.revision)
        if answer is not None:
            return answer
        store = self.site.store
        changes = tuple(store.history[after.revision :])
        return FeedChanges(position=store.position, changes=changes)

    async def _call(self, wait_s: float, after: int | None):
        """Wait for a change after a revision; return LOST or None for an answer."""
        store = self.site.store
        store.n_calls += 1
        await trio.sleep(CALL_S)
        until = trio.current_time() + wait_s
        while True:
            if self.is_cut_from_store or store.mode == "silent":
                await trio.sleep_until(until + CALL_TIMEOUT_S)
                await self._wait_if_frozen()
                return LOST
            if store.mode == "down":
                await self._wait_if_frozen()
                return LOST
            has_changed = after is not None and len(store.history) > after
            if has_changed or trio.current_time() >= until:
                await self._wait_if_frozen()
                return None
            with trio.move_on_at(until):
                await store.changed.wait()

    # The other hosts.

    def _get_rank(self) -> int:
        now = trio.current_time()
        hosts = [h for h in self.site.hosts if now < h.lost_at + DETECTED_AFTER_S]
        return hosts.index(self) if self in hosts else len(hosts)

    def get_holder_rank(self) -> int | None:
        rank = self._get_rank()
        return rank if rank < N_HOLDERS else None

    def get_standby_rank(self) -> int | None:
        rank = self._get_rank() - N_HOLDERS
        return rank if 0 <= rank < N_STANDBYS else None

    def is_past_startup(self) -> bool:
        return True

    def leads_data_centre(self) -> bool:
        return False

    def is_near(self, host: str) -> bool:
        return True

    def announce(self, update) -> None:
        for other in self.site.hosts:
            if other is not self and not self.is_cut_from_peers:
                self.site.nursery.start_soon(other.receive, update, str(self.number))

    async def receive(self, update, host: str) -> None:
        await trio.sleep(CALL_S)
        await self._wait_if_frozen()
        if not (self.scope.cancel_called or self.is_cut_from_peers):
            assert self.reader is not None
            self.reader.receive(update, host=host)

    async def fetch(self, feed, host, *, hashes=()):
        return None

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.reader = FeedReader(
                    feed="servers",
                    source=self,
                    peers=self,
                    on_change=self.use,
                    summarize=summarize,
                    random=Random(self.number),
                    nursery=nursery,
                )
                await self.reader.run()

    def lose(self, how: str) -> None:
        match how:
            case "killed":
                self.scope.cancel()
                self.lost_at = trio.current_time()
            case "stopped":
                # It leaves at once, and the others know.
                self.scope.cancel()
                self.lost_at = trio.current_time() - DETECTED_AFTER_S
            case "frozen":
                self.is_frozen = True
                self.lost_at = trio.current_time()
            case "cut from the store":
                self.is_cut_from_store = True
                self.site.store.wake()
            case "cut from its peers":
                self.is_cut_from_peers = True
                self.lost_at = trio.current_time()


@dataclass
class Site:
    nursery: trio.Nursery
    store: Store = field(default_factory=Store)
    hosts: list[Host] = field(default_factory=list)

    async def start(self, n_hosts: int) -> None:
        for number in range(n_hosts):
            self.hosts.append(Host(number=number, site=self))
        for host in self.hosts:
            self.nursery.start_soon(host.run)
        await trio.sleep(6.0)

    def lose_watchers(self, how: str) -> None:
        for host in self.hosts[:N_HOLDERS]:
            host.lose(how)

    @property
    def others(self) -> list[Host]:
        return self.hosts[N_HOLDERS:]


WAYS = ("killed", "stopped", "frozen", "cut from the store", "cut from its peers")


class TestLossOfWatchers:
    @pytest.mark.parametrize("n_hosts", [3, 6, 12])
    @pytest.mark.parametrize("how", WAYS)
    async def test_a_removed_server_is_dropped_in_time(
        self, how, n_hosts, autojump_clock
    ):
        # Both watchers were lost, and the others took that for an outage of the store:
        # they kept a server that had left for longer than it served on.
        for phase in (0.0, 0.7):
            for lead in (1.0, 0.1, 0.0, -0.1):
                async with trio.open_nursery() as nursery:
                    site = Site(nursery=nursery)
                    await site.start(n_hosts)
                    await trio.sleep(phase)
                    if lead >= 0.0:
                        site.lose_watchers(how)
                    await trio.sleep(max(0.0, lead))
                    removed_at = trio.current_time()
                    site.store.write(FeedChange(name=SERVER.name, body=None))
                    await trio.sleep(max(0.0, -lead))
                    if lead < 0.0:
                        site.lose_watchers(how)
                    await trio.sleep_until(removed_at + DRAIN_S)
                    ends = [host.removed_at for host in site.others]
                    nursery.cancel_scope.cancel()
                latest = removed_at + DRAIN_S - 0.2
                assert all(end and end < latest for end in ends), (phase, lead)

    async def test_a_loss_costs_the_store_few_calls(self, autojump_clock):
        # If all hosts asked at the same moment, the store would refuse calls.
        async with trio.open_nursery() as nursery:
            site = Site(nursery=nursery)
            await site.start(40)
            n_before = site.store.n_calls
            site.lose_watchers("killed")
            await trio.sleep(10.0)
            assert site.store.n_calls - n_before < 40
            nursery.cancel_scope.cancel()


class TestOutages:
    @pytest.mark.parametrize("n_hosts", [3, 6, 12])
    @pytest.mark.parametrize("how", [*WAYS, "not lost"])
    @pytest.mark.parametrize("mode", ["down", "silent"])
    async def test_entries_that_lapse_are_kept(
        self, mode, how, n_hosts, autojump_clock
    ):
        # All servers would be out of use after each outage, and all callers refused.
        for lost_after in (-0.5, 0.1, 1.5):
            for outage_s in (2.6, 5.0):
                async with trio.open_nursery() as nursery:
                    site = Site(nursery=nursery)
                    await site.start(n_hosts)
                    if lost_after < 0.0:
                        site.lose_watchers(how)
                        await trio.sleep(-lost_after)
                    site.store.set_mode(mode)
                    returns_at = trio.current_time() + outage_s
                    if 0.0 < lost_after < outage_s:
                        await trio.sleep(lost_after)
                        site.lose_watchers(how)
                    await trio.sleep_until(returns_at)
                    site.store.write(FeedChange(name=SERVER.name, body=None))
                    site.store.set_mode("up")
                    await trio.sleep(WRITTEN_AGAIN_S)
                    site.store.write(SERVER)
                    await trio.sleep(3.0)
                    dropped = [host.removed_at for host in site.others]
                    nursery.cancel_scope.cancel()
                assert not any(dropped), (lost_after, outage_s)


class TestDetector:
    def test_calls_that_fail_at_one_host_only_are_no_outage(self):
        # A host that the store refuses would keep removed servers for too long.
        detector = OutageDetector()
        detector.record_report(StoreContact(steady_s=9.0), now=10.0)
        detector.record_failure(now=10.2)
        change = detector.record_report(StoreContact(steady_s=10.5), now=11.5)
        assert change is Change.NONE

    def test_a_host_that_was_cut_off_reports_no_outage_to_others(self):
        detector = OutageDetector()
        for at in (10.0, 11.5, 13.0):
            detector.record_report(StoreContact(steady_s=0.0), now=at)
        change = detector.record_report(StoreContact(failing_s=2.0), now=13.5)
        assert change is Change.NONE
