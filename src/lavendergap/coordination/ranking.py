"""Which host owns a key: rendezvous hashing, without coordination between hosts."""

from collections.abc import Collection, Iterable, Mapping
from heapq import nlargest
from math import log1p

from xxhash import xxh3_64_intdigest

RANKING_DEPTH = 4
"""How many hosts a `Ranking` keeps for each key: the owner and its successors."""

# With fewer hosts left for a key, its ranking is computed anew.
_MIN_RANKED = 2

# Keys that are no longer used are kept up to this number beyond those in use.
_MAX_UNUSED_KEYS = 1_024

_N_HASHES = 2**64
_LARGEST_BELOW_ONE = 1.0 - 2.0**-53
_NO_WEIGHTS: Mapping[str, int] = {}


def score_host(key: str, host: str) -> int:
    """Return the weight of `host` for `key`; the highest weight owns the key."""
    return xxh3_64_intdigest(f"{key}\0{host}".encode())


def score_weighted_host(key: str, host: str, weight: int) -> float:
    """Return the score of `host` for `key`, as `score_host`, by the host's weight.

    Each host is first for a share of the keys in proportion to its weight: -1 / ln(u)
    of a uniform number u is the inverse of an exponential variable, and the least of
    several such variables is in proportion to their rates.

    >>> score_weighted_host("k", "a", 3) == 3 * score_weighted_host("k", "a", 1)
    True
    """
    return _weigh(score_host(key, host), weight)


def _weigh(score: int, weight: int) -> float:
    # Close to one, where the highest scores are, 1 - u is more exact than u.
    distance = (_N_HASHES - score - 0.5) / _N_HASHES
    return -weight / log1p(-min(distance, _LARGEST_BELOW_ONE))


def select_weights(
    hosts: Collection[str], weights: Mapping[str, int]
) -> Mapping[str, int]:
    """Return the weights of `hosts`, or an empty mapping if all count as equal.

    They do if any weight is unknown, that is missing or 0. So a fleet in which the
    first hosts state their weights keeps its owners until all do.

    >>> select_weights(["a", "b"], {"a": 3, "b": 17, "c": 0})
    {'a': 3, 'b': 17}
    >>> select_weights(["a", "b", "c"], {"a": 3, "b": 17, "c": 0})
    {}
    """
    selected = {host: weights.get(host, 0) for host in hosts}
    is_equal = len(set(selected.values())) < 2
    return _NO_WEIGHTS if is_equal or 0 in selected.values() else selected


def rank_hosts(
    key: str, hosts: Iterable[str], weights: Mapping[str, int] = _NO_WEIGHTS
) -> list[str]:
    """Return `hosts` in the order in which they own `key`, the owner first.

    Hosts with the same set of live hosts compute the same order. `weights` holds those
    of all `hosts`, or none if these are equal. When a host leaves, only the keys that
    it owned move, each to the next host in its order:

    >>> hosts = ["ptl-a-1", "ptl-a-2", "sea-a-1"]
    >>> ranked = rank_hosts("scheduler-00", hosts)
    >>> rank_hosts("scheduler-00", ranked[1:]) == ranked[1:]
    True
    """
    return [host for _, host in sorted(_score_hosts(key, hosts, weights), reverse=True)]


def _score_hosts(
    key: str, hosts: Iterable[str], weights: Mapping[str, int]
) -> list[tuple[float, str]]:
    if not weights:
        return [(score_host(key, host), host) for host in hosts]
    return [(score_weighted_host(key, host, weights[host]), host) for host in hosts]


def _score_best(
    key: str, hosts_by_weight: Mapping[int, Collection[str]]
) -> list[tuple[float, str]]:
    """Return the scores of the first hosts of each weight.

    Among hosts of one weight the plain score gives the same order, and takes a third of
    the time. `score_host` is inlined: a new key is scored for all hosts.
    """
    prefix = f"{key}\0".encode()
    best: list[tuple[float, str]] = []
    for weight, hosts in hosts_by_weight.items():
        scored = [(xxh3_64_intdigest(prefix + host.encode()), host) for host in hosts]
        first = nlargest(RANKING_DEPTH, scored)
        if len(hosts_by_weight) == 1:
            return list(first)
        best += [(_weigh(score, weight), host) for score, host in first]
    return best


def rank_owner(key: str, hosts: Iterable[str]) -> str | None:
    """Return the host that owns `key`, or None when there is no host.

    >>> rank_owner("scheduler-00", ["ptl-a-1"])
    'ptl-a-1'
    """
    return max(hosts, key=lambda host: (score_host(key, host), host), default=None)


class Ranking:
    """The first hosts of each key for one set of live hosts, cached.

    A query ranks all of its shards, so `rank` has to be a look-up. When the set
    changes, `replace_hosts` returns a new ranking that keeps the valid entries: a host
    that leaves is removed, and one that joins or whose weight changes costs one hash
    for each key. Between equal and different weights, it starts anew.

    >>> ranking = Ranking(hosts=frozenset({"ptl-a-1", "ptl-a-2"}))
    >>> sorted(ranking.rank("scheduler-00"))
    ['ptl-a-1', 'ptl-a-2']
    >>> ranking.replace_hosts(frozenset({"ptl-a-2"})).rank("scheduler-00")
    ('ptl-a-2',)
    """

    def __init__(
        self, *, hosts: frozenset[str], weights: Mapping[str, int] = _NO_WEIGHTS
    ) -> None:
        self.hosts = hosts
        self._weights = select_weights(hosts, weights)
        self._hosts_by_weight: dict[int, list[str]] = {}
        for host in hosts:
            weight = self._weights.get(host, 0)
            self._hosts_by_weight.setdefault(weight, []).append(host)
        self._scored: dict[str, tuple[tuple[float, str], ...]] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str) -> tuple[str, ...]:
        """Return up to `RANKING_DEPTH` hosts for `key`, the owner first."""
        ranked = self._ranked.get(key)
        if ranked is None:
            scored = _score_best(key, self._hosts_by_weight)
            ranked = self._store(key, tuple(nlargest(RANKING_DEPTH, scored)))
        return ranked

    def replace_hosts(
        self, hosts: frozenset[str], weights: Mapping[str, int] = _NO_WEIGHTS
    ) -> "Ranking":
        """Return the ranking for another set of hosts; this one is unchanged."""
        ranking = Ranking(hosts=hosts, weights=weights)
        if hosts == self.hosts and ranking._weights == self._weights:
            return self
        if bool(ranking._weights) != bool(self._weights):
            return ranking
        changed = {
            host
            for host in hosts & self.hosts
            if ranking._weights.get(host) != self._weights.get(host)
        }
        added = (hosts - self.hosts) | changed
        if 2 * len(added) >= len(hosts):
            # With this many new hosts, as when this one joins, the cache saves nothing.
            return ranking
        ranking._scored = self._scored.copy()
        ranking._ranked = self._ranked.copy()
        ranking._remove_hosts((self.hosts - hosts) | changed)
        for host in added:
            ranking._insert_host(host)
        return ranking

    def forget_unused(self, used: Collection[str]) -> None:
        """Drop keys that are not in `used` if there are many of them.

        A key that is used again is ranked anew, with the same result. Each host that
        joins costs one hash for every key that is kept.
        """
        if len(self._ranked) <= len(used) + _MAX_UNUSED_KEYS:
            return
        for key in self._ranked.keys() - used:
            del self._scored[key], self._ranked[key]

    def _remove_hosts(self, removed: frozenset[str]) -> None:
        n_wanted = min(_MIN_RANKED, len(self.hosts))
        for key, ranked in list(self._ranked.items()) if removed else ():
            if removed.isdisjoint(ranked):
                continue
            kept = tuple(e for e in self._scored[key] if e[1] not in removed)
            if len(kept) >= n_wanted:
                self._store(key, kept)
            else:
                del self._scored[key], self._ranked[key]

    def _insert_host(self, host: str) -> None:
        """Insert a host that joined into the kept ranking of each key.

        The kept hosts are the first of the key without a gap: a new host that ranks
        before the last of these is inserted, and any other is left out.
        """
        for key, scored in self._scored.items():
            [entry] = _score_hosts(key, (host,), self._weights)
            if entry > scored[-1]:
                self._store(key, tuple(nlargest(RANKING_DEPTH, (*scored, entry))))

    def _store(
        self, key: str, scored: tuple[tuple[float, str], ...]
    ) -> tuple[str, ...]:
        self._scored[key] = scored
        ranked = tuple(host for _, host in scored)
        self._ranked[key] = ranked
        return ranked
