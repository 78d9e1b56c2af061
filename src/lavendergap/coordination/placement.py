"""Which host owns a group for a caller's host: near the servers, then near the host.

A part that crosses between data centres costs its users more than anything else
that this tier does, so the owner of a group stands in a data centre of its servers.
Where the servers stand in several, each of these has an owner of its own, and the
host that a caller came to asks the one nearest to itself.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from xxhash import xxh3_64_intdigest

from .ranking import Ranking, rank_hosts

HOSTS_A_PLACE = 2
"""How many hosts of one data centre are tried before another data centre's."""

NEARLY_ALL = 0.8
"""The share of the most groups that a data centre has to serve to be as good.

Were it all of them, one server lost would have every group asked in another data
centre, by owners that know nothing of their servers yet.
"""

SHARDS_A_BUCKET = 32
"""Of how many shards of one query a bucket is made.

The shards of a query with servers in the same data centres are owned together in so
many buckets. Owned each by itself, 90 shards were spread over 25 hosts: sending to all
of them took a weak host 10 ms, a quarter of the time of a quick query, and each sent a
list of records back. With buckets there are 8. Where servers stand in pairs of six data
centres a bucket has three shards, and a slow or lost owner costs a query less than it
may miss; with parts of 18 of 87 shards, one such owner makes it late or failed.
"""


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
        self._hosts: Mapping[str, str] = {}
        self._places: dict[str, Ranking] = {}
        self._servers: Mapping[str, frozenset[str]] = {}
        self._sets: tuple[tuple[str, ...], ...] = ()
        self._order: list[str] = []
        self._buckets: dict[str, str] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}

    def replace_hosts(self, hosts: Mapping[str, str]) -> None:
        """Take the live hosts and the data centre of each."""
        self._hosts = hosts
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

    def replace_servers(
        self,
        servers: Mapping[str, frozenset[str]],
        sets: Iterable[tuple[str, ...]] = (),
    ) -> None:
        """Take the data centres in which each group has servers.

        `sets` are the groups that queries ask together. Nothing is planned anew where
        they are as before, as when a host joined or a server changed its address.
        """
        sets = tuple(sets)
        if servers == self._servers and sets == self._sets:
            return
        self._servers = servers
        self._sets = sets
        self._buckets = {}
        for groups in sets:
            self._fill_buckets(groups)
        self._replan()

    def _fill_buckets(self, groups: tuple[str, ...]) -> None:
        """Put groups that are asked together, and stand alike, into few buckets.

        Which bucket a group is in depends on it alone and on the size of the set:
        were it its place in a list, one server lost would move many groups.
        """
        n_buckets = max(1, len(groups) // SHARDS_A_BUCKET)
        for group in groups:
            places = ",".join(sorted(self._servers.get(group, ())))
            number = xxh3_64_intdigest(group.encode()) % n_buckets
            self._buckets.setdefault(group, f"{groups[0]}/{places}/{number}")

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the hosts that may own `group`, the best first; may be empty."""
        ranked = self._ranked.get(group)
        if ranked is None:
            ranked = self._ranked[group] = self._rank(group)
        return ranked

    def get_data_centre(self, host: str) -> str | None:
        """Return the data centre of a live host; None for another one."""
        return self._hosts.get(host)

    def get_host_beside(self, group: str) -> str | None:
        """Return the host of the own data centre that is first ranked for `group`.

        Whether or not the group has servers there; None without a live host.
        """
        ranking = self._places.get(self._own)
        ranked = ranking.rank(self._buckets.get(group, group)) if ranking else ()
        return ranked[0] if ranked else None

    def _rank(self, group: str) -> tuple[str, ...]:
        found: list[str] = []
        key = self._buckets.get(group, group)
        for place in self._order_places(self._servers.get(group, frozenset())):
            found += self._places[place].rank(key)[:HOSTS_A_PLACE]
        found += self._all.rank(key)
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
        left = Counter(p for p in self._servers.values() if self._own not in p)
        # Hosts of one data centre agree on the order, hosts of others have another
        # one where it makes no difference, so that not all ask the same owners.
        rest = rank_hosts(self._own, set(self._places) - {self._own})
        self._order = [self._own] if self._own in self._places else []
        while rest:
            counts = {
                place: sum(n for places, n in left.items() if place in places)
                for place in rest
            }
            enough = NEARLY_ALL * max(counts.values())
            best = next(place for place in rest if counts[place] >= enough)
            rest.remove(best)
            self._order.append(best)
            left = Counter({p: n for p, n in left.items() if best not in p})
