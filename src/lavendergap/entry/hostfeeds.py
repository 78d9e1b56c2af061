"""The feeds of a gateway host: their readers, and the exchange with peers."""

from functools import partial
from random import Random

import trio

from ..coordination.feeds import summarize_whole
from ..protocol.messages import FeedFetch, FeedState, FeedUpdate, StrikeReport
from ..state.feeds import StorePosition
from .activeconfig import ActiveConfig
from .adapter import (
    EVACUATIONS_FEED,
    ROUTES_FEED,
    SERVERS_FEED,
    STRIKES_FEED,
    Adapter,
)
from .feedpeers import FeedChannels
from .feeds import RELAXED_TIMING, FeedReader
from .quarantine import RequestQuarantine

# How long an evacuation stays in force that a restored store has lost. An operator may
# take longer than servers to write it again, and until then its servers must not be
# called.
EVACUATION_RESTORE_GRACE_S = 10.0


class HostFeeds:
    """Reads routes, servers, evacuations and strikes, and exchanges them with peers.

    `has_evacuations` says whether the platform supports evacuations. Where it does not,
    reading the feed would be wasted calls to the store.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        active_config: ActiveConfig,
        quarantine: RequestQuarantine,
        channels: FeedChannels,
        has_evacuations: bool,
        random: Random,
        nursery: trio.Nursery,
    ) -> None:
        self._channels = channels
        self._quarantine = quarantine
        make_reader = partial(
            FeedReader,
            source=adapter.feed_source,
            peers=channels,
            random=random,
            nursery=nursery,
        )
        self._routes = make_reader(
            feed=ROUTES_FEED,
            on_change=active_config.use_routes,
            summarize=summarize_whole,
        )
        self._servers = make_reader(
            feed=SERVERS_FEED,
            on_change=active_config.use_servers,
            summarize=active_config.summarize_server,
        )
        self._strikes = make_reader(
            feed=STRIKES_FEED,
            on_change=quarantine.apply_entries,
            summarize=summarize_whole,
            timing=RELAXED_TIMING,
            # Strikes do not lapse in an outage, as servers' entries do.
            lapse_grace_s=0.0,
            restore_grace_s=0.0,
        )
        self._readers = {
            reader.feed: reader
            for reader in (self._routes, self._servers, self._strikes)
        }
        self._evacuations: FeedReader | None = None
        if has_evacuations:
            self._evacuations = make_reader(
                feed=EVACUATIONS_FEED,
                on_change=active_config.use_evacuations,
                summarize=summarize_whole,
                restore_grace_s=EVACUATION_RESTORE_GRACE_S,
            )
            self._readers[EVACUATIONS_FEED] = self._evacuations

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            for reader in self._readers.values():
                nursery.start_soon(reader.run)

    @property
    def may_use_servers(self) -> bool:
        """Whether the evacuations have been read, where the platform has them.

        Before that no server may be used: a host that has just started would send
        requests to servers in a data centre that an operator has evacuated.
        """
        return self._evacuations is None or self._evacuations.is_loaded

    @property
    def has_fresh_servers(self) -> bool:
        """Whether the store or a peer has confirmed the servers recently."""
        return self._servers.is_loaded and not self._servers.is_stale

    @property
    def epoch(self) -> int:
        """The store's epoch as known here; 0 before any feed was read."""
        return max(each.copy.position.epoch for each in self._readers.values())

    def get_missing_feed(self) -> str:
        """Return which feed this host still lacks to serve requests, or ""."""
        if not self._servers.is_loaded:
            return "no servers from the store or a peer yet"
        if not self.may_use_servers:
            return "no evacuations from the store or a peer yet"
        if not self._strikes.is_loaded:
            return "no held back requests from the store or a peer yet"
        return ""

    # Peers.

    def receive(self, update: FeedUpdate, *, host: str) -> None:
        """Apply a peer's update; forward it if it is for this data centre's hosts."""
        reader = self._readers.get(update.feed)
        if reader is None:
            return
        if update.should_relay:
            reader.receive(
                update, host=host, on_applied=partial(self._channels.relay, update)
            )
        else:
            reader.receive(update, host=host)

    def receive_strike(self, report: StrikeReport) -> None:
        """Apply a peer's strike; forward it if it is for this data centre's hosts."""
        self._quarantine.receive(report.strike)
        if report.should_relay:
            self._channels.relay_strike(report.strike)

    def make_state(self, fetch: FeedFetch) -> FeedState:
        """Return this host's copy of a feed; an empty state for an unknown feed."""
        reader = self._readers.get(fetch.feed)
        if reader is None:
            return FeedState(feed=fetch.feed, position=StorePosition(), entries=())
        return reader.make_state(fetch.hashes)
