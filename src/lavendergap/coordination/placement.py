"""Which host owns a group for a caller's host: near the servers, then near the host.

A part that crosses between data centres costs its users more than anything else
that this tier does, so the owner of a group stands in a data centre of its servers.
Where the servers stand in several, each of these has an owner of its own, and the
host that a caller came to asks the one nearest to itself.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from .ranking import Ranking, rank_hosts

HOSTS_A_PLACE = 2
"""How many hosts of one data centre are tried before another data centre's."""

NEARLY_ALL = 0.8
"""The share of the most groups that a data centre has to serve to be as good.

Were it all of them, one server lost would have every group asked in another data
centre, by owners that know nothing of their servers yet.
"""

SHARDS_A_BUCKET = 16
"""Of how many shards a bucket is made: those of a query that one owner is asked for.

A part takes its owner 0.4 ms of a core and an owner takes the coordinator 0.3 ms (a
message there, one back, records to join), one after the other, so that few owners make
long parts and many a long round. The sum is flat between eight and sixteen; of these,
sixteen have the fewest lists of records cross between data centres. With 129 shards in
six data centres 13 owners and 11 ms, where buckets for each pair of data centres came
to 43 owners and 15 ms; with 87 shards 10 owners in place of 27, and 10 ms as before.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Bucket:
    """Some shards of one set; they have one owner in each data centre."""

    set_name: str
    number: int

    @property
    def key(self) -> str:
        return f"{self.set_name}/{self.number}"


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
        self._sets: tuple[tuple[str, ...], ...] = ()
        self._order: list[str] = []
        self._buckets: dict[str, _Bucket] = {}
        self._n_buckets: dict[str, int] = {}
        self._dealt: dict[tuple[str, str], list[tuple[str, ...]]] = {}
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
        self._n_buckets = {}
        for groups in sets:
            self._fill_buckets(groups)
        self._replan()

    def _fill_buckets(self, groups: tuple[str, ...]) -> None:
        """Put groups that are asked together into buckets of about equal size.

        Which bucket a group is in depends on the names in its set alone, and their
        number on little else: were it on where servers are at the moment, one server
        lost would move many groups.
        """
        places = [self._servers[group] for group in groups if group in self._servers]
        n_places = len(frozenset().union(*places))
        n_copies = round(sum(map(len, places)) / max(1, len(places)))
        n_here = len(groups) * n_copies / max(1, n_places)
        n_buckets = max(1, round(n_here / SHARDS_A_BUCKET))
        set_name = groups[0]
        self._n_buckets[set_name] = n_buckets
        shuffled = sorted(groups, key=lambda g: (xxh3_64_intdigest(g.encode()), g))
        for position, group in enumerate(shuffled):
            number = position * n_buckets // len(groups)
            self._buckets.setdefault(group, _Bucket(set_name=set_name, number=number))

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the hosts that may own `group`, the best first; may be empty."""
        ranked = self._ranked.get(group)
        if ranked is None:
            ranked = self._ranked[group] = self._rank(group)
        return ranked

    def _rank(self, group: str) -> tuple[str, ...]:
        found: list[str] = []
        bucket = self._buckets.get(group)
        for place in self._order_places(self._servers.get(group, frozenset())):
            if bucket is None:
                found += self._places[place].rank(group)[:HOSTS_A_PLACE]
            else:
                found += self._deal(place, bucket.set_name)[bucket.number]
        found += self._all.rank(group if bucket is None else bucket.key)
        return tuple(dict.fromkeys(found))

    def _deal(self, place: str, set_name: str) -> list[tuple[str, ...]]:
        """Return for each bucket of a set its owner in a data centre, and the next.

        A host gets a second bucket only when all others have one: by rank alone two of
        three often go to one host, which then takes twice as long as the others.
        """
        dealt = self._dealt.get((place, set_name))
        if dealt is not None:
            return dealt
        hosts = self._places[place].hosts
        n_buckets = self._n_buckets[set_name]
        n_each = -(-n_buckets // len(hosts))
        n_taken: Counter[str] = Counter()
        dealt = self._dealt[place, set_name] = []
        for number in range(n_buckets):
            bucket = _Bucket(set_name=set_name, number=number)
            ranked = rank_hosts(bucket.key, hosts)
            owner = next(host for host in ranked if n_taken[host] < n_each)
            n_taken[owner] += 1
            ranked.remove(owner)
            dealt.append((owner, *ranked[: HOSTS_A_PLACE - 1]))
        return dealt

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
        self._dealt.clear()
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
