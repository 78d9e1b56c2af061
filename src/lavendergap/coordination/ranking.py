"""Which host owns a key: rendezvous hashing, without coordination between hosts."""

from collections.abc import Iterable
from heapq import nlargest

from xxhash import xxh3_64_intdigest

RANKING_DEPTH = 4
"""How many hosts a `Ranking` keeps for each key: the owner and its successors."""

# With fewer hosts left for a key, its ranking is computed anew.
_MIN_RANKED = 2


def score_host(key: str, host: str) -> int:
    """Return the weight of `host` for `key`; the highest weight owns the key."""
    return xxh3_64_intdigest(f"{key}\0{host}".encode())


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return `hosts` in the order in which they own `key`, the owner first.

    Hosts with the same set of live hosts compute the same order. When a host leaves,
    only the keys that it owned move, each to the next host in its order:

    >>> hosts = ["ptl-a-1", "ptl-a-2", "sea-a-1"]
    >>> ranked = rank_hosts("scheduler-00", hosts)
    >>> rank_hosts("scheduler-00", ranked[1:]) == ranked[1:]
    True
    """
    return sorted(hosts, key=lambda host: (score_host(key, host), host), reverse=True)


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
    that leaves is removed, and one that joins costs one hash for each key.

    >>> ranking = Ranking(hosts=frozenset({"ptl-a-1", "ptl-a-2"}))
    >>> sorted(ranking.rank("scheduler-00"))
    ['ptl-a-1', 'ptl-a-2']
    >>> ranking.replace_hosts(frozenset({"ptl-a-2"})).rank("scheduler-00")
    ('ptl-a-2',)
    """

    def __init__(self, *, hosts: frozenset[str]) -> None:
        self.hosts = hosts
        self._scored: dict[str, tuple[tuple[int, str], ...]] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str) -> tuple[str, ...]:
        """Return up to `RANKING_DEPTH` hosts for `key`, the owner first."""
        ranked = self._ranked.get(key)
        if ranked is None:
            scored = [(score_host(key, host), host) for host in self.hosts]
            scored = nlargest(RANKING_DEPTH, scored)
            ranked = self._store(key, tuple(scored[:RANKING_DEPTH]))
        return ranked

    def replace_hosts(self, hosts: frozenset[str]) -> "Ranking":
        """Return the ranking for another set of hosts; this one is unchanged."""
        if hosts == self.hosts:
            return self
        ranking = Ranking(hosts=hosts)
        joined = hosts - self.hosts
        if 2 * len(joined) >= len(hosts):
            # With this many new hosts, as when this one joins, the cache saves nothing.
            return ranking
        ranking._scored = self._scored.copy()
        ranking._ranked = self._ranked.copy()
        ranking._remove_hosts(self.hosts - hosts)
        for host in joined:
            ranking._insert_host(host)
        return ranking

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
            entry = (score_host(key, host), host)
            if entry > scored[-1]:
                self._store(key, tuple(nlargest(RANKING_DEPTH, (*scored, entry))))

    def _store(self, key: str, scored: tuple[tuple[int, str], ...]) -> tuple[str, ...]:
        self._scored[key] = scored
        ranked = tuple(host for _, host in scored)
        self._ranked[key] = ranked
        return ranked
