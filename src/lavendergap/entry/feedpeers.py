"""Exchanges feeds between hosts: updates to all hosts, and copies on request."""

from dataclasses import replace
from random import Random

import trio

from ..coordination.membership import Membership
from ..coordination.relaying import (
    choose_receivers,
    exceed_direct_limit,
    fit_local_announcement,
    fit_remote_announcement,
    leads_data_centre,
    list_neighbours,
)
from ..coordination.watchers import choose_watch_holders
from ..protocol.messages import FeedFetch, FeedState, FeedUpdate, Frame, StrikeReport
from ..state.quarantine import Strike
from ..transport.channel import LossReason
from ..transport.dialer import Dialer
from .fleet import Fleet

N_HOLDERS = 2
"""The second one continues while the loss of the first one is not yet detected."""

N_STANDBYS = 6
"""Hosts that ask the store before all others when both holders are silent."""

MAX_RANKING_AGE_S = 0.1

STARTUP_TIME_S = 3.0
"""How long after its start a host watches only for its data centre.

Its list of members is incomplete until then: when all hosts start together, most would
take themselves for watch holders and open channels to all hosts they have found. With
77 hosts, 6,514 channel greetings were sent.
"""

FETCH_TIMEOUT_S = 1.0
"""Timeout of a request for a peer's copy; a later request may ask another peer."""


class FeedChannels:
    """Implements `FeedPeers` over the channels to the other hosts."""

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
        self._startup_ends_at = trio.current_time() + STARTUP_TIME_S
        self._ranked: tuple[str, ...] = ()
        self._ranked_at = float("-inf")

    def get_holder_rank(self) -> int | None:
        """Return this host's rank among the watch holders, from 0, or None."""
        if not self.is_past_startup() and not self._is_alone():
            return None
        rank = self._get_watch_rank()
        return rank if rank is not None and rank < N_HOLDERS else None

    def get_standby_rank(self) -> int | None:
        """Return this host's rank among the standbys of the holders, or None."""
        rank = self._get_watch_rank() if self.is_past_startup() else None
        return rank - N_HOLDERS if rank is not None and rank >= N_HOLDERS else None

    def _get_watch_rank(self) -> int | None:
        # Ranking 550 hosts takes a millisecond, and each feed asks several times.
        now = trio.current_time()
        if now - self._ranked_at > MAX_RANKING_AGE_S:
            members = self._membership.members()
            self._ranked = choose_watch_holders(members, N_HOLDERS + N_STANDBYS)
            self._ranked_at = now
        ranked = self._ranked
        return ranked.index(self._own_name) if self._own_name in ranked else None

    def leads_data_centre(self) -> bool:
        """Return whether this host watches for its data centre during startup."""
        if self.is_past_startup() or not self._membership.joined:
            return False
        return leads_data_centre(self._own_name, self._membership.get_data_centres())

    def announce(self, update: FeedUpdate) -> None:
        """Send an update to all live hosts, without acknowledgement.

        A host that misses it gets the next one, or asks the store itself. A host that
        has just started sends only to its data centre, and only if it watches for it.
        """
        if not self.is_past_startup():
            if self.leads_data_centre():
                self.relay(update)
            return
        near = _strip_changes(update, is_whole=fit_local_announcement(update.changes))
        far = _strip_changes(update, is_whole=fit_remote_announcement(update.changes))
        for receiver in choose_receivers(
            self._own_name,
            self._membership.get_data_centres(),
            is_relayed=exceed_direct_limit(update.changes),
        ):
            message = near if receiver.is_near else far
            self._send(
                receiver.host, replace(message, should_relay=receiver.should_relay)
            )

    def relay(self, update: FeedUpdate) -> None:
        """Forward an update to the other hosts of this data centre."""
        message = _strip_changes(
            update, is_whole=fit_local_announcement(update.changes)
        )
        message = replace(message, should_relay=False)
        for host in list_neighbours(
            self._own_name, self._membership.get_data_centres()
        ):
            self._send(host, message)

    def is_near(self, host: str) -> bool:
        """Return whether `host` is in the data centre of this one."""
        member = self._membership.get(host)
        own = self._membership.own
        return member is not None and member.data_centre == own.data_centre

    def announce_strike(self, strike: Strike) -> None:
        """Send a strike to all live hosts, without waiting for the store."""
        data_centres = self._membership.get_data_centres()
        for receiver in choose_receivers(self._own_name, data_centres):
            report = StrikeReport(strike=strike, should_relay=receiver.should_relay)
            self._send(receiver.host, report)

    def relay_strike(self, strike: Strike) -> None:
        """Forward another host's strike to the other hosts of this data centre."""
        for host in list_neighbours(
            self._own_name, self._membership.get_data_centres()
        ):
            self._send(host, StrikeReport(strike=strike, should_relay=False))

    def _send(self, host: str, message: FeedUpdate | StrikeReport) -> None:
        channel = self._dialer.get_open(host)
        if channel is not None:
            channel.send(Frame(id=0, message=message))
        else:
            self._nursery.start_soon(self._dial_and_send, host, message)

    async def _dial_and_send(
        self, host: str, message: FeedUpdate | StrikeReport
    ) -> None:
        address = self._fleet.get_address(host)
        if address is None:
            return
        channel = await self._dialer.dial(host, address)
        if not isinstance(channel, LossReason):
            channel.send(Frame(id=0, message=message))

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        """Return the copy of `host`, or of any live host; None without an answer.

        Prefers hosts of this data centre, as traffic between data centres costs money.
        """
        others = self._list_others()
        if host is None and others:
            near = list_neighbours(self._own_name, self._membership.get_data_centres())
            host = self._random.choice(near or others)
        address = self._fleet.get_address(host) if host else None
        if host is None or address is None:
            return None
        channel = await self._dialer.dial(host, address)
        if isinstance(channel, LossReason):
            return None
        reply = await channel.ask(
            FeedFetch(feed=feed, hashes=hashes), limit=FETCH_TIMEOUT_S
        )
        if isinstance(reply, FeedState) and reply.feed == feed:
            return reply
        return None

    def is_past_startup(self) -> bool:
        """Return whether this host has run long enough to have found the others."""
        return trio.current_time() >= self._startup_ends_at

    def _is_alone(self) -> bool:
        """Return whether this host has looked for other hosts and found none."""
        return self._membership.joined and not self._list_others()

    def _list_others(self) -> list[str]:
        return sorted(self._membership.live() - {self._own_name})


def _strip_changes(update: FeedUpdate, *, is_whole: bool) -> FeedUpdate:
    """Return the update, or one without changes that announces its position only."""
    return update if is_whole else replace(update, base=update.position, changes=())
