"""How a gateway host finds the others, and stays connected to those it will ask."""

import logging
from collections.abc import Callable, Collection
from random import Random

import trio

from ..coordination.membership import Membership
from ..coordination.registration import is_to_register
from ..logs import log_decision
from ..state.feeds import FeedEntry, FeedListing, StoreLost
from ..state.hostfile import GatewayHost
from ..transport.dialer import Dialer
from .adapter import HOSTS_FEED, Adapter
from .fleet import Fleet

logger = logging.getLogger("lavendergap.entry")

# How often the list of hosts is read while no peer has answered, in seconds.
HOSTS_RETRY = 1.0
# What the seeds are given to answer, in seconds, before a host registers for want of
# anybody: three probes. Hosts that start together find the seeds still starting at the
# first one.
SEEDS_WAIT = 2.0
# A host that knows others registers this long after its start, in seconds, if it is to:
# until then it does not know how many stand before it.
REGISTER_AFTER = 4.0
# How often a host looks whether it is to register now, others being gone, in seconds.
REGISTER_CHECK = 2.0
# How often the channels to owners are looked at, in seconds: owners move when hosts
# come and go, which membership tells within some seconds.
CHANNEL_CHECK = 0.5


class Discovery:
    """Finds other hosts through the store, and lets some of them be found there.

    The seeds may all be down, and a host whose seeds are gone would own everything
    for itself.
    """

    def __init__(
        self,
        *,
        host: GatewayHost,
        adapter: Adapter,
        membership: Membership,
        random: Random,
    ) -> None:
        self._host = host
        self._adapter = adapter
        self._membership = membership
        self._random = random
        self._is_registered = False
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """List hosts until one has answered; register when it is this host's turn."""
        await self._list()
        await trio.sleep(SEEDS_WAIT)
        while True:
            is_alone = self._is_alone()
            is_due = not self._is_registered and self._is_to_register()
            if is_alone or is_due:
                # An entry of this host's last process may stand there unchanged.
                await self._list()
            if is_due and not self._is_registered:
                await self._register()
            is_retrying = is_alone or (is_due and not self._is_registered)
            retry = HOSTS_RETRY * self._random.uniform(1.0, 3.0)
            await trio.sleep(retry if is_retrying else REGISTER_CHECK)

    def _is_alone(self) -> bool:
        return len(self._membership.live()) < 2

    def _is_to_register(self) -> bool:
        if self._is_alone():
            return True
        if trio.current_time() < self._started_at + REGISTER_AFTER:
            return False
        return is_to_register(self._host.name, self._membership.places())

    async def _register(self) -> None:
        host = self._host
        self._is_registered = await self._adapter.register_host(host.name, host.peers)
        said = "host registered" if self._is_registered else "host not registered"
        log_decision(logger, said, request_id=None, host=host.name)

    async def _list(self) -> None:
        """Try the hosts that are registered, this one's own entry aside."""
        match await self._adapter.source.list_feed(HOSTS_FEED, may_lag=True):
            case FeedListing(entries=entries):
                for entry in entries:
                    self._join(entry)
            case StoreLost(step=step, reason=reason):
                log_decision(
                    logger,
                    "store lost",
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
        if entry.name == self._host.name:
            self._is_registered = address == self._host.peers
        self._membership.join([address])


async def keep_channels(
    *, fleet: Fleet, dialer: Dialer, get_groups: Callable[[], Collection[str]]
) -> None:
    """Keep channels open to the owners that queries of this host would ask.

    A query that has to open its channels first takes 20 to 100 ms longer on a weak
    host, misses its goal, and takes owners for lost that are merely new to it. They
    are opened one after the other, so that a fleet that starts together does not meet
    itself in a burst.
    """
    while True:
        await trio.sleep(CHANNEL_CHECK)
        owners = {fleet.rank(group)[0] for group in get_groups()}
        for host in sorted(owners - {fleet.own_name}):
            address = fleet.get_address(host)
            if address is not None and dialer.get_open(host) is None:
                await dialer.dial(host, address)
