"""Carries the feeds between hosts: news to all, and whole copies on demand."""

from dataclasses import replace
from random import Random

import trio

from ..coordination.membership import Membership
from ..coordination.relaying import (
    are_long,
    choose_receivers,
    leads_place,
    list_neighbours,
    may_cross,
    may_stay,
)
from ..coordination.watchers import choose_watch_holders
from ..protocol.messages import FeedFetch, FeedNews, FeedState, Frame, Struck
from ..state.quarantine import Strike
from ..transport.channel import Loss
from ..transport.dialer import Dialer
from .fleet import Fleet

N_HOLDERS = 2
"""One to watch, and one that goes on when the first one is lost unnoticed."""

SETTLE_TIME = 3.0
"""Seconds after a start in which a host watches for its data centre at most.

It does not know the fleet yet: when 77 hosts started together, most took themselves
for a holder and opened channels to all whom they knew; 6,514 greetings were sent.
"""

FETCH_LIMIT = 1.0
"""Seconds for a peer's whole copy; another one is asked after it."""


class FeedChannels:
    """The other hosts, as the readers of this host's feeds see them."""

    def __init__(
        self,
        *,
        own_name: str,
        membership: Membership,
        fleet: Fleet,
        dialer: Dialer,
        nursery: trio.Nursery,
        random: Random,
    ) -> None:
        self._own_name = own_name
        self._membership = membership
        self._fleet = fleet
        self._dialer = dialer
        self._nursery = nursery
        self._random = random
        self._settles_at = trio.current_time() + SETTLE_TIME

    def get_holder_rank(self) -> int | None:
        """Return this host's place among those that watch the store for all."""
        if not self.is_settled() and not self._is_alone():
            return None
        holders = choose_watch_holders(self._membership.members(), N_HOLDERS)
        if self._own_name not in holders:
            return None
        return holders.index(self._own_name)

    def leads_place(self) -> bool:
        """Tell whether this host watches the store for its data centre alone."""
        if self.is_settled() or not self._membership.joined:
            return False
        return leads_place(self._own_name, self._membership.places())

    def announce(self, news: FeedNews) -> None:
        """Send news to all live hosts; who is missed gets the next, or asks.

        A host that has just started sends to its own data centre, if it leads it.
        """
        if not self.is_settled():
            if self.leads_place():
                self.pass_on(news)
            return
        near = _shorten(news, is_whole=may_stay(news.changes))
        far = _shorten(news, is_whole=may_cross(news.changes))
        for receiver in choose_receivers(
            self._own_name,
            self._membership.places(),
            is_relayed=are_long(news.changes),
        ):
            message = near if receiver.is_near else far
            self._send(receiver.host, replace(message, passes_on=receiver.passes_on))

    def pass_on(self, news: FeedNews) -> None:
        """Relay news to the other hosts of this data centre."""
        message = _shorten(news, is_whole=may_stay(news.changes))
        message = replace(message, passes_on=False)
        for host in list_neighbours(self._own_name, self._membership.places()):
            self._send(host, message)

    def is_near(self, host: str) -> bool:
        """Tell whether `host` is in the data centre of this one."""
        member = self._membership.get(host)
        own = self._membership.own
        return member is not None and member.data_centre == own.data_centre

    def announce_strike(self, strike: Strike) -> None:
        """Tell all live hosts of a strike, ahead of the store."""
        places = self._membership.places()
        for receiver in choose_receivers(self._own_name, places):
            struck = Struck(strike=strike, passes_on=receiver.passes_on)
            self._send(receiver.host, struck)

    def pass_on_strike(self, strike: Strike) -> None:
        """Tell the other hosts of this data centre of another host's strike."""
        for host in list_neighbours(self._own_name, self._membership.places()):
            self._send(host, Struck(strike=strike, passes_on=False))

    def _send(self, host: str, message: FeedNews | Struck) -> None:
        channel = self._dialer.get_open(host)
        if channel is not None:
            channel.send(Frame(id=0, message=message))
        else:
            self._nursery.start_soon(self._dial_and_send, host, message)

    async def _dial_and_send(self, host: str, message: FeedNews | Struck) -> None:
        address = self._fleet.get_address(host)
        if address is None:
            return
        channel = await self._dialer.dial(host, address)
        if not isinstance(channel, Loss):
            channel.send(Frame(id=0, message=message))

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        """Return a feed as `host` has it, or any live one; None without an answer.

        One of this data centre, if there is one: bytes between them are paid for.
        """
        others = self._list_others()
        if host is None and others:
            near = list_neighbours(self._own_name, self._membership.places())
            host = self._random.choice(near or others)
        address = self._fleet.get_address(host) if host else None
        if host is None or address is None:
            return None
        channel = await self._dialer.dial(host, address)
        if isinstance(channel, Loss):
            return None
        reply = await channel.ask(
            FeedFetch(feed=feed, hashes=hashes), limit=FETCH_LIMIT
        )
        if isinstance(reply, FeedState) and reply.feed == feed:
            return reply
        return None

    def is_settled(self) -> bool:
        """Tell whether this host has run for long enough to know the others."""
        return trio.current_time() >= self._settles_at

    def _is_alone(self) -> bool:
        """Tell whether this host has looked for others and found none."""
        return self._membership.joined and not self._list_others()

    def _list_others(self) -> list[str]:
        return sorted(self._membership.live() - {self._own_name})


def _shorten(news: FeedNews, *, is_whole: bool) -> FeedNews:
    """Return news as they are, or the word that there is something newer."""
    return news if is_whole else replace(news, base=news.revision, changes=())
