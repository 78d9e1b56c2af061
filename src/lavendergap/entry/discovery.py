"""How a gateway host finds the others, and stays connected to those it will ask."""

import logging
from collections.abc import Callable, Collection
from random import Random

import trio

from ..coordination.membership import Membership
from ..logs import log_decision
from ..state.feeds import FeedEntry, FeedListing, StoreLost
from ..state.hostfile import GatewayHost
from ..transport.dialer import Dialer
from .adapter import HOSTS_FEED, Adapter
from .fleet import Fleet

logger = logging.getLogger("lavendergap.entry")

# How often the list of hosts is read while no peer has answered, in seconds.
HOSTS_RETRY = 1.0
# How often the channels to owners are looked at, in seconds: owners move when hosts
# come and go, which membership tells within some seconds.
CHANNEL_CHECK = 0.5


async def find_hosts(
    *,
    host: GatewayHost,
    adapter: Adapter,
    membership: Membership,
    random: Random,
) -> None:
    """Tell others where this host is, and learn of them, through the store.

    The seeds may all be down, and a host whose seeds are gone would own everything
    for itself. Returns once this host is registered and knows another one.
    """
    is_registered = False
    while True:
        if not is_registered:
            is_registered = await adapter.register_host(host.name, host.peers)
            said = "host registered" if is_registered else "host not registered"
            log_decision(logger, said, request_id=None, host=host.name)
        match await adapter.source.list_feed(HOSTS_FEED, may_lag=True):
            case FeedListing(entries=entries):
                _join_listed(entries, adapter, membership)
            case StoreLost(step=step, reason=reason):
                log_decision(
                    logger,
                    "store lost",
                    request_id=None,
                    feed=HOSTS_FEED,
                    step=step.value,
                    reason=reason.value,
                )
        if is_registered and len(membership.live()) > 1:
            return
        await trio.sleep(HOSTS_RETRY * random.uniform(1.0, 3.0))


def _join_listed(
    entries: tuple[FeedEntry, ...], adapter: Adapter, membership: Membership
) -> None:
    for entry in entries:
        try:
            membership.join([adapter.read_host(entry.body)])
        except ValueError as error:
            log_decision(
                logger,
                "host entry refused",
                request_id=None,
                entry=entry.name,
                error=str(error),
            )


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
