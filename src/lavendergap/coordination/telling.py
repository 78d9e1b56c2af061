"""Who hears news of the store from whom: one host of a data centre tells the others."""

import zlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from ..state.feeds import FeedChange
from .ranking import rank_hosts
from .watchers import WATCH_KEY

RELAY_FROM = 5
"""How many hosts of another data centre are told through one of them.

Told one by one, 77 hosts in four data centres have 58 copies of each message cross
between these, which is paid for, and the teller's own link carries 76; at 550 hosts in
ten the word that nothing has changed alone is 44 KB a second. Through relays 3 and 9
copies cross. With fewer hosts there is little to save, and a relay that is frozen keeps
its neighbours waiting until they ask the store themselves, some 2 s.
"""

MAX_CROSSING_BYTES = 4_096
"""Longer news cross to one host of each data centre only, however few it has.

An operator's document of some hundred routes is over 100 KB, and would cross once for
each host.
"""

MAX_RELAYED_BYTES = 16_384
"""As compressed; longer news cross without what changed, and relays read the store.

Such a document is about 10 KB then and crosses once for each data centre, where all of
its hosts would read it from the store: 195 calls for each change of the routes, against
five copies.
"""

MAX_NEAR_BYTES = 131_072
"""No news are longer. Within a data centre only the sender's link is used.

To 33 neighbours that takes a link of 35 Mbit/s one second, of the six or so within
which a change has to be in force.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Hearer:
    """A host to tell; `passes_on` has it tell all others of its data centre."""

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


def choose_hearers(
    own: str, places: Mapping[str, str], *, is_relayed: bool = False
) -> tuple[Hearer, ...]:
    """Return whom the host `own` tells directly; `places` holds all live hosts.

    Tellers differ in whom they choose, so that two of them seldom rely on one relay.
    With `is_relayed` all other data centres are told through a relay, as long news
    are. A relay that is frozen then costs its neighbours a call: the next word, that
    nothing has changed since, tells them that they lack something.

    >>> places = {"a-1": "a", "a-2": "a", "b-1": "b"}
    >>> [hearer.host for hearer in choose_hearers("a-1", places)]
    ['a-2', 'b-1']
    """
    by_place: dict[str, list[str]] = {}
    for host, place in places.items():
        if host != own:
            by_place.setdefault(place, []).append(host)
    hearers: list[Hearer] = []
    for place, hosts in sorted(by_place.items()):
        is_near = place == places.get(own)
        if is_near or (len(hosts) < RELAY_FROM and not is_relayed):
            hearers += [
                Hearer(host=host, passes_on=False, is_near=is_near)
                for host in sorted(hosts)
            ]
        else:
            relay = rank_hosts(own, hosts)[0]
            hearers.append(Hearer(host=relay, passes_on=True, is_near=False))
    return tuple(hearers)


def list_neighbours(own: str, places: Mapping[str, str]) -> tuple[str, ...]:
    """Return the other hosts of `own`'s data centre, whom a relay tells."""
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
