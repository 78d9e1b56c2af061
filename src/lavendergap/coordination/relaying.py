"""Which hosts receive an announcement of changes: all, remote ones through relays."""

import zlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..state.feeds import FeedChange
from .ranking import rank_hosts
from .watchers import WATCH_KEY

MIN_HOSTS_FOR_RELAY = 5
"""With this many hosts or more, a remote data centre is reached through a relay.

A relay sends to the hosts of its data centre, which saves traffic between data centres:
sent to each of 77 hosts in four data centres, 58 copies of a message would cross. If a
relay is frozen, its neighbours wait some seconds until they read the store themselves,
which is not worth it for a few hosts.
"""

MAX_DIRECT_BYTES = 4_096
"""Larger changes are sent to one host of each other data centre, however few it has.

An operator's document of about a hundred routes is over 100 KB, and would be sent once
for each host.
"""

MAX_RELAYED_COMPRESSED_BYTES = 16_384
"""Changes larger than this when compressed are announced without their content.

Relays then read them from the store. The limit is above the size of an operator's usual
document, which every host would otherwise read from the store: with about a hundred
routes it is about 10 KB when compressed.
"""

MAX_ANNOUNCED_BYTES = 131_072
"""Limit on the content of any announcement, which bounds what a relay sends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Receiver:
    """A host to send to; with `should_relay` it relays to its whole data centre."""

    host: str
    should_relay: bool
    is_near: bool


def exceed_direct_limit(changes: Iterable[FeedChange]) -> bool:
    """Return whether changes are sent to one host of each other data centre only."""
    return _sum_body_bytes(changes) > MAX_DIRECT_BYTES


def fit_remote_announcement(changes: Collection[FeedChange]) -> bool:
    """Return whether announcements to other data centres contain the changes."""
    if not exceed_direct_limit(changes):
        return True
    if not fit_local_announcement(changes):
        return False
    bodies = b"".join(change.body or b"" for change in changes)
    return len(zlib.compress(bodies, 1)) <= MAX_RELAYED_COMPRESSED_BYTES


def fit_local_announcement(changes: Iterable[FeedChange]) -> bool:
    """Return whether announcements within a data centre contain the changes."""
    return _sum_body_bytes(changes) <= MAX_ANNOUNCED_BYTES


def _sum_body_bytes(changes: Iterable[FeedChange]) -> int:
    return sum(len(change.body or b"") for change in changes)


def choose_receivers(
    own: str, data_centres: Mapping[str, str], *, is_relayed: bool = False
) -> tuple[Receiver, ...]:
    """Return the hosts to which `own` sends; `data_centres` maps hosts to data centres.

    Senders choose different relays, so that few rely on the same one. With `is_relayed`
    all other data centres are reached through a relay, as for large changes. If a relay
    is frozen, its neighbours detect from the next announcement that they lack changes
    and request them.

    >>> data_centres = {"a-1": "a", "a-2": "a", "b-1": "b"}
    >>> [receiver.host for receiver in choose_receivers("a-1", data_centres)]
    ['a-2', 'b-1']
    """
    by_data_centre: dict[str, list[str]] = {}
    for host, data_centre in data_centres.items():
        if host != own:
            by_data_centre.setdefault(data_centre, []).append(host)
    receivers: list[Receiver] = []
    for data_centre, hosts in sorted(by_data_centre.items()):
        is_near = data_centre == data_centres.get(own)
        if is_near or (len(hosts) < MIN_HOSTS_FOR_RELAY and not is_relayed):
            receivers += [
                Receiver(host=host, should_relay=False, is_near=is_near)
                for host in sorted(hosts)
            ]
        else:
            relay = rank_hosts(own, hosts)[0]
            receivers.append(Receiver(host=relay, should_relay=True, is_near=False))
    return tuple(receivers)


def list_neighbours(own: str, data_centres: Mapping[str, str]) -> tuple[str, ...]:
    """Return the other hosts in the data centre of `own`, sorted by name."""
    data_centre = data_centres.get(own)
    return tuple(
        sorted(h for h, dc in data_centres.items() if dc == data_centre and h != own)
    )


def leads_data_centre(own: str, data_centres: Mapping[str, str]) -> bool:
    """Return whether `own` is the host that watches the store for its data centre.

    Used only just after the start, while the watch holders of all hosts are not known
    yet.

    >>> data_centres = {"a-1": "a", "a-2": "a", "b-1": "b"}
    >>> [host for host in data_centres if leads_data_centre(host, data_centres)]
    ['a-1', 'b-1']
    """
    neighbours = list_neighbours(own, data_centres)
    return rank_hosts(WATCH_KEY, (own, *neighbours))[0] == own
