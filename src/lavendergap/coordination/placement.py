"""Which host owns a group, as one host ranks the hosts near the group's servers.

Sending parts of a query between data centres is the largest cost to callers, so the
owner of a group is in a data centre of its servers. Where the servers are in several,
each of these data centres has an owner. A host asks the one in its own data centre or,
if there is none, the one in the data centre that serves most groups.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from statistics import median_low

from xxhash import xxh3_64_intdigest

from ..state.member import CAPACITY_STEPS_PER_CORE
from .ranking import Ranking, rank_hosts, select_weights

HOSTS_PER_DATA_CENTRE = 2
"""How many hosts of one data centre are tried before those of another."""

MIN_SERVED_SHARE = 0.8
"""A data centre ranks as equal to the best if it serves this share of as many groups.

At 1, the loss of one server would move all groups to owners in another data centre,
which have no state of their servers yet.
"""

SHARDS_PER_BUCKET = 32
"""Shards of one query for each bucket, if all have the same data centres.

Fewer where hosts are weak: see `choose_bucket_size`.

Shards with servers in the same data centres are owned together in buckets, so that a
query goes to few owners. Owned each by itself, 90 shards were spread over 25 hosts:
sending to all of them took a weak host 10 ms, a quarter of the time of a quick query,
and each owner sent its own list of records. With larger buckets a query would lose more
shards to a slow or lost owner.
"""

FULL_BUCKET_CAPACITY = CAPACITY_STEPS_PER_CORE // 2
"""The capacity from which a host takes full buckets: half a core."""

MIN_SHARDS_PER_BUCKET = 8


def choose_bucket_size(capacities: Collection[int]) -> int:
    """Return the number of shards for each bucket by the hosts' median capacity.

    A weak host sends and reads the calls of a full bucket too late for the goal. A
    capacity of 0 is not known; buckets are full then.

    >>> [choose_bucket_size([n]) for n in (17, 4, 3, 2, 1, 0)]
    [32, 32, 24, 16, 8, 32]
    """
    if not capacities or 0 in capacities:
        return SHARDS_PER_BUCKET
    part = SHARDS_PER_BUCKET * median_low(capacities) // FULL_BUCKET_CAPACITY
    return min(SHARDS_PER_BUCKET, max(MIN_SHARDS_PER_BUCKET, part))


class Placement:
    """The owners of groups among the live hosts, as one host ranks them.

    >>> placement = Placement(own_data_centre="ptl-a")
    >>> placement.replace_hosts({"ptl-a-1": "ptl-a", "ptl-b-1": "ptl-b"})
    >>> placement.replace_servers({"g1": frozenset({"ptl-b"})})
    >>> placement.rank("g1")
    ('ptl-b-1', 'ptl-a-1')
    """

    def __init__(self, *, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        self._all_hosts = Ranking(hosts=frozenset())
        self._hosts: Mapping[str, str] = {}
        self._rankings: dict[str, Ranking] = {}
        self._servers: Mapping[str, frozenset[str]] = {}
        self._shard_sets: tuple[tuple[str, ...], ...] = ()
        self._first_sets: dict[str, tuple[str, ...]] = {}
        self._bucket_size = SHARDS_PER_BUCKET
        self._data_centre_order: list[str] = []
        self._buckets: dict[str, str] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}

    def replace_hosts(
        self, hosts: Mapping[str, str], capacities: Mapping[str, int] | None = None
    ) -> None:
        """Set the live hosts and the data centre of each.

        Each owns groups in proportion to its capacity, which is in steps of
        `CAPACITY_STEPS_PER_CORE`. All count as equal if that of any host is missing
        or 0.
        """
        self._hosts = hosts
        weights = select_weights(hosts, capacities or {})
        by_data_centre: dict[str, set[str]] = {}
        for host, data_centre in hosts.items():
            by_data_centre.setdefault(data_centre, set()).add(host)
        self._all_hosts = self._all_hosts.replace_hosts(frozenset(hosts), weights)
        self._rankings = {
            data_centre: self._rankings.get(
                data_centre, Ranking(hosts=frozenset())
            ).replace_hosts(frozenset(names), weights)
            for data_centre, names in by_data_centre.items()
        }
        known = capacities or {}
        size = choose_bucket_size([known.get(host, 0) for host in hosts])
        if size != self._bucket_size:
            self._bucket_size = size
            self._assign_buckets()
        self._update_order()

    def replace_servers(
        self,
        servers: Mapping[str, frozenset[str]],
        shard_sets: Iterable[tuple[str, ...]] = (),
    ) -> None:
        """Set the data centres in which each group has servers.

        `shard_sets` are the groups that queries ask together. Nothing is recomputed if
        both are unchanged, as when a host joined or a server changed its address.
        """
        shard_sets = tuple(shard_sets)
        if servers == self._servers and shard_sets == self._shard_sets:
            return
        self._servers = servers
        if shard_sets != self._shard_sets:
            self._shard_sets = shard_sets
            self._first_sets = {}
            for groups in shard_sets:
                for group in groups:
                    self._first_sets.setdefault(group, groups)
        self._assign_buckets()
        self._update_order()

    def _assign_buckets(self) -> None:
        """Put groups of one set and the same data centres into buckets.

        The bucket of a group depends on its name and data centres and on the size of
        the set. If it depended on the group's position in a list, the loss of one
        server would move many groups.
        """
        names = {
            data_centres: ",".join(sorted(data_centres))
            for data_centres in {frozenset[str](), *self._servers.values()}
        }
        buckets = {}
        for group, groups in self._first_sets.items():
            n_buckets = max(1, len(groups) // self._bucket_size)
            number = xxh3_64_intdigest(group.encode()) % n_buckets
            data_centres = names[self._servers.get(group, frozenset())]
            buckets[group] = f"{groups[0]}/{data_centres}/{number}"
        self._buckets = buckets
        used = {*buckets.values(), *self._servers.keys() - buckets.keys()}
        for ranking in (self._all_hosts, *self._rankings.values()):
            ranking.forget_unused(used)

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the hosts that may own `group`, the best first; may be empty."""
        ranked = self._ranked.get(group)
        if ranked is None:
            ranked = self._ranked[group] = self._rank(group)
        return ranked

    def get_data_centre(self, host: str) -> str | None:
        """Return the data centre of a live host, or None if it is not live."""
        return self._hosts.get(host)

    def get_first_host_nearby(self, group: str) -> str | None:
        """Return the first ranked host for `group` in this host's own data centre.

        The group need not have servers there. None without a live host.
        """
        ranking = self._rankings.get(self._own_data_centre)
        ranked = ranking.rank(self._buckets.get(group, group)) if ranking else ()
        return ranked[0] if ranked else None

    def _rank(self, group: str) -> tuple[str, ...]:
        found: list[str] = []
        key = self._buckets.get(group, group)
        for data_centre in self._sort_data_centres(
            self._servers.get(group, frozenset())
        ):
            found += self._rankings[data_centre].rank(key)[:HOSTS_PER_DATA_CENTRE]
        found += self._all_hosts.rank(key)
        return tuple(dict.fromkeys(found))

    def _sort_data_centres(self, data_centres: Collection[str]) -> list[str]:
        return [
            data_centre
            for data_centre in self._data_centre_order
            if data_centre in data_centres
        ]

    def _update_order(self) -> None:
        """Order the data centres: the own one first, then those that serve most groups.

        Each owner that is asked sends its own list of records, so a query should go to
        few data centres. With servers of each group in two of four data centres, the
        groups without one in the own data centre would be spread over two or three
        others if each were ranked by itself. The order is greedy: each next data centre
        serves most of the groups not served by those before.
        """
        self._ranked.clear()
        uncovered = Counter(
            dcs for dcs in self._servers.values() if self._own_data_centre not in dcs
        )
        # Hosts of one data centre have the same order. Those of other data centres
        # break ties in another one, so that they do not all ask the same owners.
        remaining = rank_hosts(
            self._own_data_centre, set(self._rankings) - {self._own_data_centre}
        )
        self._data_centre_order = (
            [self._own_data_centre] if self._own_data_centre in self._rankings else []
        )
        while remaining:
            counts = {
                data_centre: sum(
                    n
                    for data_centres, n in uncovered.items()
                    if data_centre in data_centres
                )
                for data_centre in remaining
            }
            threshold = MIN_SERVED_SHARE * max(counts.values())
            best = next(
                data_centre
                for data_centre in remaining
                if counts[data_centre] >= threshold
            )
            remaining.remove(best)
            self._data_centre_order.append(best)
            uncovered = Counter(
                {dcs: n for dcs, n in uncovered.items() if best not in dcs}
            )
