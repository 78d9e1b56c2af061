"""The feeds of a gateway host: their readers, and what peers exchange about them."""

from functools import partial
from random import Random

import trio

from ..coordination.feeds import use_whole
from ..protocol.messages import FeedFetch, FeedNews, FeedState, Struck
from .adapter import (
    EVACUATIONS_FEED,
    ROUTES_FEED,
    SERVERS_FEED,
    STRIKES_FEED,
    Adapter,
)
from .feedpeers import FeedChannels
from .feeds import EASY, FeedReader
from .inforce import InForce
from .quarantine import QuarantineKeeper


class HostFeeds:
    """Reads routes, servers, evacuations and strikes, and exchanges them with peers.

    `has_evacuations` says whether the platform has them; where it has none, reading
    them would cost calls to the store for nothing.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        in_force: InForce,
        quarantine: QuarantineKeeper,
        channels: FeedChannels,
        has_evacuations: bool,
        random: Random,
        nursery: trio.Nursery,
    ) -> None:
        self._channels = channels
        self._quarantine = quarantine
        make_reader = partial(
            FeedReader,
            source=adapter.source,
            peers=channels,
            random=random,
            nursery=nursery,
        )
        self._routes = make_reader(
            feed=ROUTES_FEED, use=in_force.use_routes, summarize=use_whole
        )
        self._servers = make_reader(
            feed=SERVERS_FEED,
            use=in_force.use_servers,
            summarize=in_force.summarize_server,
        )
        self._strikes = make_reader(
            feed=STRIKES_FEED,
            use=quarantine.use_entries,
            summarize=use_whole,
            pace=EASY,
        )
        self._readers = {
            reader.feed: reader
            for reader in (self._routes, self._servers, self._strikes)
        }
        self._evacuations: FeedReader | None = None
        if has_evacuations:
            self._evacuations = make_reader(
                feed=EVACUATIONS_FEED,
                use=in_force.use_evacuations,
                summarize=use_whole,
            )
            self._readers[EVACUATIONS_FEED] = self._evacuations

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            for reader in self._readers.values():
                nursery.start_soon(reader.run)

    @property
    def knows_evacuations(self) -> bool:
        """Whether it is known which data centres get nothing.

        Until then no server may be used: a host that has just started would send
        callers' requests to servers that an operator is working on.
        """
        return self._evacuations is None or self._evacuations.is_listed

    @property
    def has_fresh_servers(self) -> bool:
        """Whether the servers were confirmed lately, by the store or a peer."""
        return self._servers.is_listed and not self._servers.is_stale

    def get_unread(self) -> str:
        """Return what has not been read yet and a host cannot serve without, or ""."""
        if not self._servers.is_listed:
            return "no servers from the store or a peer yet"
        if not self.knows_evacuations:
            return "no evacuations from the store or a peer yet"
        if not self._strikes.is_listed:
            return "no held back requests from the store or a peer yet"
        return ""

    # Peers.

    def receive(self, news: FeedNews, *, host: str) -> None:
        """Apply a peer's news, and pass on what is for neighbours too."""
        reader = self._readers.get(news.feed)
        if reader is None:
            return
        if news.passes_on:
            reader.receive(news, host=host, then=partial(self._channels.pass_on, news))
        else:
            reader.receive(news, host=host)

    def receive_strike(self, struck: Struck) -> None:
        """Apply a peer's strike, and pass on what is for neighbours too."""
        self._quarantine.receive(struck.strike)
        if struck.passes_on:
            self._channels.pass_on_strike(struck.strike)

    def describe(self, fetch: FeedFetch) -> FeedState:
        """Return this host's copy of a feed; empty for one that it does not have."""
        reader = self._readers.get(fetch.feed)
        if reader is None:
            return FeedState(feed=fetch.feed, revision=0, entries=())
        return reader.describe(fetch.hashes)
