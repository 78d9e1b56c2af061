"""Which host owns a group for a caller's host: near the servers, then near the host.

A part that crosses between data centres costs its users more than anything else
that this tier does, so the owner of a group stands in a data centre of its servers.
Where the servers stand in several, each of these has an owner of its own, and the
host that a caller came to asks the one nearest to itself.
"""

from collections.abc import Collection, Mapping

from .ranking import Ranking, rank_hosts

HOSTS_A_PLACE = 2
"""How many hosts of one data centre are tried before another data centre's."""


class Placement:
    """The owners of groups among the live hosts, as one host ranks them.

    >>> placement = Placement(own_data_centre="ptl-a")
    >>> placement.replace_hosts({"ptl-a-1": "ptl-a", "ptl-b-1": "ptl-b"})
    >>> placement.replace_servers({"g1": frozenset({"ptl-b"})})
    >>> placement.rank("g1")
    ('ptl-b-1', 'ptl-a-1')
    """

    def __init__(self, *, own_data_centre: str) -> None:
        self._own = own_data_centre
        self._all = Ranking(hosts=frozenset())
        self._places: dict[str, Ranking] = {}
        self._servers: Mapping[str, frozenset[str]] = {}
        self._order: list[str] = []
        self._ranked: dict[str, tuple[str, ...]] = {}

    def replace_hosts(self, hosts: Mapping[str, str]) -> None:
        """Take the live hosts and the data centre of each."""
        by_place: dict[str, set[str]] = {}
        for host, data_centre in hosts.items():
            by_place.setdefault(data_centre, set()).add(host)
        self._all = self._all.replace_hosts(frozenset(hosts))
        self._places = {
            place: self._places.get(place, Ranking(hosts=frozenset())).replace_hosts(
                frozenset(names)
            )
            for place, names in by_place.items()
        }
        self._replan()

    def replace_servers(self, servers: Mapping[str, frozenset[str]]) -> None:
        """Take the data centres in which each group has servers."""
        self._servers = servers
        self._replan()

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the hosts that may own `group`, the best first; may be empty."""
        ranked = self._ranked.get(group)
        if ranked is None:
            ranked = self._ranked[group] = self._rank(group)
        return ranked

    def _rank(self, group: str) -> tuple[str, ...]:
        found: list[str] = []
        for place in self._order_places(self._servers.get(group, frozenset())):
            found += self._places[place].rank(group)[:HOSTS_A_PLACE]
        found += self._all.rank(group)
        return tuple(dict.fromkeys(found))

    def _order_places(self, places: Collection[str]) -> list[str]:
        return [place for place in self._order if place in places]

    def _replan(self) -> None:
        """Order the data centres: the own one, then so that few serve the rest.

        Each owner that is asked sends a list of its own. With servers of a group in
        two of four data centres, half of the groups have none in the own one; asked
        wherever the group alone would have it, they take two or three other data
        centres, and asked where most of them have a server, one.
        """
        self._ranked.clear()
        left = [places for places in self._servers.values() if self._own not in places]
        # Hosts of one data centre agree on the order, hosts of others have another
        # one where it makes no difference, so that not all ask the same owners.
        rest = rank_hosts(self._own, set(self._places) - {self._own})
        self._order = [self._own] if self._own in self._places else []
        while rest:
            best = max(rest, key=lambda place: sum(place in p for p in left))
            rest.remove(best)
            self._order.append(best)
            left = [places for places in left if best not in places]
