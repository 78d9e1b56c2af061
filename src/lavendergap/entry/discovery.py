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
# How long the seeds have to answer before a host registers because it found no other:
# enough for three probes, since seeds that start at the same time miss the first one.
SEEDS_WAIT_S = 2.0
# A host that has found others registers no sooner than this after its start: until then
# its list of members is incomplete, and it cannot tell whether it has to register.
REGISTER_AFTER_S = 4.0
# Interval of checks whether a host has to register because others are gone.
REGISTER_CHECK_INTERVAL_S = 2.0
# Interval of checks of the channels to owners, which change as hosts come and go.
CHANNEL_CHECK_INTERVAL_S = 0.5


class Discovery:
    """Finds other hosts through the store, where some hosts register.

    Seeds are not enough: while they are down, a starting host would find no other host
    and own all groups itself. `get_epoch` returns how often the store was restored from
    an older copy, 0 while that is not known.
    """

    def __init__(
        self,
        *,
        host: GatewayHost,
        adapter: Adapter,
        membership: Membership,
        random: Random,
        get_epoch: Callable[[], int],
    ) -> None:
        self._host = host
        self._adapter = adapter
        self._membership = membership
        self._random = random
        self._get_epoch = get_epoch
        self._epoch = 0
        self._is_registered = False
        self._is_entry_lost = False
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """List hosts until one has answered; register this host if it has to."""
        await self._list_hosts()
        await trio.sleep(SEEDS_WAIT_S)
        while True:
            self._check_epoch()
            is_alone = self._is_alone()
            is_due = not self._is_registered and self._must_register()
            if is_alone or is_due:
                # The entry of this host's previous process may still be valid.
                await self._list_hosts()
            if is_due and not self._is_registered:
                await self._register()
            is_retrying = is_alone or (is_due and not self._is_registered)
            retry = HOSTS_RETRY_S * self._random.uniform(1.0, 3.0)
            await trio.sleep(retry if is_retrying else REGISTER_CHECK_INTERVAL_S)

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

    async def _list_hosts(self) -> None:
        """List the registered hosts and contact them."""
        match await self._adapter.feed_source.list_feed(HOSTS_FEED, may_be_stale=True):
            case FeedListing(entries=entries):
                for entry in entries:
                    self._join(entry)
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

    A query that first has to open its channels may miss its goal and take the owners
    for lost. Channels are opened one after the other, so that hosts that start together
    do not flood each other with connections.
    """
    while True:
        await trio.sleep(CHANNEL_CHECK_INTERVAL_S)
        owners = {fleet.rank(group)[0] for group in get_groups()}
        for host in sorted(owners - {fleet.own_name}):
            address = fleet.get_address(host)
            if address is not None and dialer.get_open(host) is None:
                await dialer.dial(host, address)
