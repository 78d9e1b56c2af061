"""Who hears news of the store from whom: one host of a data centre tells the others."""

from collections.abc import Mapping
from dataclasses import dataclass

from .ranking import rank_hosts

RELAY_FROM = 5
"""How many hosts of another data centre are told through one of them.

Told one by one, 77 hosts in four data centres have 58 copies of each message cross
between these, which is paid for, and the teller's own link carries 76; at 550 hosts in
ten the word that nothing has changed alone is 44 KB a second. Through relays 3 and 9
copies cross. With fewer hosts there is little to save, and a relay that is frozen keeps
its neighbours waiting until they ask the store themselves, some 2 s.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class Hearer:
    """A host to tell; `passes_on` has it tell all others of its data centre."""

    host: str
    passes_on: bool


def choose_hearers(own: str, places: Mapping[str, str]) -> tuple[Hearer, ...]:
    """Return whom the host `own` tells directly; `places` holds all live hosts.

    Tellers differ in whom they choose, so that two of them seldom rely on one relay.

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
        if place == places.get(own) or len(hosts) < RELAY_FROM:
            hearers += [Hearer(host=host, passes_on=False) for host in sorted(hosts)]
        else:
            relay = rank_hosts(own, hosts)[0]
            hearers.append(Hearer(host=relay, passes_on=True))
    return tuple(hearers)


def list_neighbours(own: str, places: Mapping[str, str]) -> tuple[str, ...]:
    """Return the other hosts of `own`'s data centre, whom a relay tells."""
    place = places.get(own)
    return tuple(sorted(h for h, p in places.items() if p == place and h != own))
