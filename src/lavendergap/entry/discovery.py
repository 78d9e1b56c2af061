"""Finds other gateway hosts, and keeps channels open to the owners of groups."""

import logging
from collections.abc import Callable, Collection
from random import Random

import trio

from ..coordination.membership import Membership
from ..coordination.registration import should_register
from ..logs import log_decision
from ..state.feeds import FeedEntry, FeedListing, StoreUnavailable
from ..state.hostfile import GatewayHost
from ..transport.dialer import Dialer
from .adapter import HOSTS_FEED, Adapter
from .fleet import Fleet

logger = logging.getLogger("lavendergap.entry")

# Minimum interval of reads of the host list while this host has found no other, or has
# failed to register.
HOSTS_RETRY_S = 1.0
# A host that has found no other by then reads a list that is not stale, so that it
# finds the running hosts within two seconds of its start. Later than the third probe of
# the seeds, so that a start of all hosts takes no additional calls.
FRESH_LIST_AFTER_S = 1.5
# When a host that has registered without knowing another lists again. Hosts that
# started together without seeds register at the same time, and would be ready alone.
LIST_AGAIN_S = 0.5
# How long a host that finds none of the listed hosts stays unready. After that it takes
# them for gone and serves alone.
LISTED_HOSTS_WAIT_S = 10.0
WARNING_INTERVAL_S = 60.0
NO_PEER = "no peer found yet"
# How long the seeds have to answer before a host registers because it found no other:
# enough for three probes, since seeds that start at the same time miss the first one.
SEEDS_WAIT_S = 2.0
# A host that has found others registers no sooner than this after its start: until then
# its list of members is incomplete, and does not show whether it has to register.
REGISTER_AFTER_S = 4.0
# Interval of checks whether a host has to register because others are gone.
REGISTER_CHECK_INTERVAL_S = 2.0
# Interval of checks of the channels to owners, which change as hosts come and go.
CHANNEL_CHECK_INTERVAL_S = 0.5
# How long owners are ranked before other tasks get a turn: new routes of a large fleet
# take seconds.
MAX_RANKING_S = 0.005


class Discovery:
    """Finds other hosts through the store, where some hosts register.

    Seeds are not enough: while they are down, a starting host would find no other host
    and own all groups itself. `get_epoch` returns how often the store was restored from
    an older copy, 0 while that is not known. `wake` makes the membership ping new hints
    at once.
    """

    def __init__(
        self,
        *,
        host: GatewayHost,
        adapter: Adapter,
        membership: Membership,
        random: Random,
        get_epoch: Callable[[], int],
        wake: Callable[[], None],
    ) -> None:
        self._host = host
        self._adapter = adapter
        self._membership = membership
        self._random = random
        self._get_epoch = get_epoch
        self._wake = wake
        self._epoch = 0
        self._is_registered = False
        self._is_entry_lost = False
        self._started_at = trio.current_time()
        self._n_listed = 0
        self.is_only_host = False
        """Whether the list named this host and no other, after it had registered.

        A host that registers later finds this one in the list.
        """
        self._warned_at: float | None = None

    async def run(self) -> None:
        """List hosts until one has answered; register this host if it has to."""
        await self._list_hosts(may_be_stale=True)
        await trio.sleep_until(self._started_at + FRESH_LIST_AFTER_S)
        was_alone = self._is_alone()
        if was_alone:
            await self._list_hosts(may_be_stale=False)
        await trio.sleep_until(self._started_at + SEEDS_WAIT_S)
        has_just_listed = was_alone
        while True:
            self._check_epoch()
            self._log_warning()
            is_alone = self._is_alone()
            is_due = not self._is_registered and self._must_register()
            if (is_alone or is_due) and not has_just_listed:
                # The entry of this host's previous process may still be valid.
                await self._list_hosts(may_be_stale=not is_alone)
            has_just_listed = False
            if is_due and not self._is_registered:
                await self._register()
            has_just_registered = is_due and self._is_registered
            is_retrying = is_alone or (is_due and not self._is_registered)
            retry = HOSTS_RETRY_S * self._random.uniform(1.0, 3.0)
            if is_alone and has_just_registered:
                retry = LIST_AGAIN_S
            await trio.sleep(retry if is_retrying else REGISTER_CHECK_INTERVAL_S)

    def must_find_peer(self) -> bool:
        """Return whether this host has to wait until it finds one of the listed hosts.

        Without others it would miss the changes that the store does not show it.
        """
        wait_until = self._started_at + LISTED_HOSTS_WAIT_S
        is_waiting = self._n_listed > 0 and trio.current_time() < wait_until
        return is_waiting and self._is_alone()

    def get_warning(self) -> str:
        """Return that this host knows no other host, or ""."""
        return NO_PEER if self._is_alone() else ""

    def _log_warning(self) -> None:
        now = trio.current_time()
        if not self._is_alone():
            if self._warned_at is not None:
                self._log("peer found")
            self._warned_at = None
        elif self._warned_at is None or now >= self._warned_at + WARNING_INTERVAL_S:
            self._warned_at = now
            self._log(NO_PEER)

    def _log(self, event: str) -> None:
        uptime_s = round(trio.current_time() - self._started_at, 1)
        log_decision(
            logger,
            event,
            request_id=None,
            host=self._host.name,
            n_listed=self._n_listed,
            uptime_s=uptime_s,
        )

    def _check_epoch(self) -> None:
        """Find out whether a restore of the store may have lost this host's entry."""
        before, self._epoch = self._epoch, self._get_epoch()
        if before and self._epoch > before and self._is_registered:
            self._is_registered = False
            self._is_entry_lost = True

    def _is_alone(self) -> bool:
        return len(self._membership.live()) < 2

    def _must_register(self) -> bool:
        if self._is_alone():
            return True
        if trio.current_time() < self._started_at + REGISTER_AFTER_S:
            return False
        return should_register(self._host.name, self._membership.get_data_centres())

    async def _register(self) -> None:
        host = self._host
        self._is_registered = await self._adapter.register_host(host.name, host.peers)
        self._is_entry_lost &= not self._is_registered
        event = "host registered" if self._is_registered else "host not registered"
        log_decision(logger, event, request_id=None, host=host.name)

    async def _list_hosts(self, *, may_be_stale: bool) -> None:
        """List the registered hosts and contact them."""
        match await self._adapter.feed_source.list_feed(
            HOSTS_FEED, may_be_stale=may_be_stale
        ):
            case FeedListing(entries=entries):
                for entry in self._random.sample(entries, len(entries)):
                    self._join(entry)
                others = {entry.name for entry in entries} - {self._host.name}
                self._n_listed = len(others)
                is_named = len(others) < len(entries) and self._is_registered
                self.is_only_host = is_named and not others and not may_be_stale
                self._wake()
            case StoreUnavailable(step=step, reason=reason):
                log_decision(
                    logger,
                    "store unavailable",
                    request_id=None,
                    feed=HOSTS_FEED,
                    step=step.value,
                    reason=reason.value,
                )

    def _join(self, entry: FeedEntry) -> None:
        try:
            address = self._adapter.read_host(entry.body)
        except ValueError as error:
            log_decision(
                logger,
                "host entry refused",
                request_id=None,
                entry=entry.name,
                error=str(error),
            )
            return
        # A lagging listing may show the store as it was before a restore.
        if entry.name == self._host.name and not self._is_entry_lost:
            self._is_registered = address == self._host.peers
        self._membership.join([address])


async def keep_channels(
    *, fleet: Fleet, dialer: Dialer, get_groups: Callable[[], Collection[str]]
) -> None:
    """Keep channels open to the owners that queries on this host will be sent to.

    A query that first has to open its channels takes 20 to 100 ms longer on a weak
    host, so that it may miss its goal and take the owners for lost. Channels are opened
    one after the other, so that hosts that start together do not flood each other with
    connections.
    """
    while True:
        await trio.sleep(CHANNEL_CHECK_INTERVAL_S)
        owners = set()
        turn_ends_at = trio.current_time() + MAX_RANKING_S
        for group in tuple(get_groups()):
            owners.add(fleet.rank(group)[0])
            if trio.current_time() >= turn_ends_at:
                await trio.lowlevel.checkpoint()
                turn_ends_at = trio.current_time() + MAX_RANKING_S
        for host in sorted(owners - {fleet.own_name}):
            address = fleet.get_address(host)
            if address is not None and dialer.get_open(host) is None:
                await dialer.dial(host, address)
