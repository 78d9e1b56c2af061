"""Who gets announcements of the store's changes: all hosts, through relays afar."""

import zlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..state.feeds import FeedChange
from .ranking import rank_hosts
from .watchers import WATCH_KEY

RELAY_FROM = 5
"""With so many hosts or more, another data centre is reached through one of them.

Sent to each host, 58 of 77 copies of a message cross between four data centres, and at
550 hosts the announcement that nothing has changed takes 44 KB a second of the sender's
link. A relay that is frozen keeps its neighbours waiting until they ask the store, some
2 s, which is not worth it for a few hosts.
"""

MAX_CROSSING_BYTES = 4_096
"""Longer news cross to one host of each data centre only, however few it has.

An operator's document of some hundred routes is over 100 KB, and would cross once for
each host.
"""

MAX_RELAYED_BYTES = 16_384
"""As compressed; longer news cross without what changed, and relays read the store.

An operator's document of some hundred routes is about 10 KB then, and would else be
read from the store by each host.
"""

MAX_NEAR_BYTES = 131_072
"""No news are longer, to bound what a relay sends to its neighbours."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Receiver:
    """A host to send to; with `passes_on` it relays to its whole data centre."""

    host: str
    passes_on: bool
    is_near: bool


def are_long(changes: Iterable[FeedChange]) -> bool:
    """Tell whether changes are to cross to one host of a data centre only."""
    return _count_bytes(changes) > MAX_CROSSING_BYTES


def may_cross(changes: Collection[FeedChange]) -> bool:
    """Tell whether news to other data centres are to hold the changes themselves."""
    if not are_long(changes):
        return True
    if not may_stay(changes):
        return False
    bodies = b"".join(change.body or b"" for change in changes)
    return len(zlib.compress(bodies, 1)) <= MAX_RELAYED_BYTES


def may_stay(changes: Iterable[FeedChange]) -> bool:
    """Tell the same of news to hosts of the own data centre."""
    return _count_bytes(changes) <= MAX_NEAR_BYTES


def _count_bytes(changes: Iterable[FeedChange]) -> int:
    return sum(len(change.body or b"") for change in changes)


def choose_receivers(
    own: str, places: Mapping[str, str], *, is_relayed: bool = False
) -> tuple[Receiver, ...]:
    """Return to whom `own` sends directly; `places` holds all live hosts.

    Senders differ in the relays that they choose, so that two seldom rely on one. With
    `is_relayed` all other data centres are reached through a relay, as for long news.
    A relay that is frozen then costs its neighbours a call: the next announcement shows
    them that they lack something.

    >>> places = {"a-1": "a", "a-2": "a", "b-1": "b"}
    >>> [receiver.host for receiver in choose_receivers("a-1", places)]
    ['a-2', 'b-1']
    """
    by_place: dict[str, list[str]] = {}
    for host, place in places.items():
        if host != own:
            by_place.setdefault(place, []).append(host)
    receivers: list[Receiver] = []
    for place, hosts in sorted(by_place.items()):
        is_near = place == places.get(own)
        if is_near or (len(hosts) < RELAY_FROM and not is_relayed):
            receivers += [
                Receiver(host=host, passes_on=False, is_near=is_near)
                for host in sorted(hosts)
            ]
        else:
            relay = rank_hosts(own, hosts)[0]
            receivers.append(Receiver(host=relay, passes_on=True, is_near=False))
    return tuple(receivers)


def list_neighbours(own: str, places: Mapping[str, str]) -> tuple[str, ...]:
    """Return the other hosts of `own`'s data centre, to whom a relay sends."""
    place = places.get(own)
    return tuple(sorted(h for h, p in places.items() if p == place and h != own))


def leads_place(own: str, places: Mapping[str, str]) -> bool:
    """Tell whether `own` is the host that watches the store for its data centre.

    Only where the hosts have just started and do not know yet who watches for all.

    >>> places = {"a-1": "a", "a-2": "a", "b-1": "b"}
    >>> [host for host in places if leads_place(host, places)]
    ['a-1', 'b-1']
    """
    neighbours = list_neighbours(own, places)
    return rank_hosts(WATCH_KEY, (own, *neighbours))[0] == own
