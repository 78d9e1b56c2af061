"""Which hosts hold the platform's watches, and how often the others read it."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..state.member import Member
from .ranking import rank_hosts

WATCH_KEY = "watch"
MIN_READ_INTERVAL_S = 20.0
"""Shortest mean interval between one host's own reads of the platform."""

MAX_READS_PER_S = 0.5
"""Limit on the calls for these reads by all hosts together, for any number of hosts."""

CALLS_PER_READ = 2
"""One listing of the settings' versions and one of the indexes'."""

WATCH_WAIT_S = 7.0
"""How long the platform holds a watch.

A watch whose connection has gone silent is abandoned two seconds later, and the next
one returns the missed changes. So this also bounds the delay of an edit when a network
device drops the connections of all holders at once. An edit has to be active
within 13 s.
"""

WATCHES_PER_HOLDER = 2
"""One watch of the settings and one of the prefix `index/`."""


def choose_watch_holders(members: Iterable[Member], n_holders: int) -> tuple[str, ...]:
    """Return the hosts that hold the platform's watches, the first ranked first.

    The number of watches at the platform does not depend on the number of hosts. The
    holders are in different data centres if possible, so that a watch remains when one
    data centre is lost. Every host computes the same holders from the same members;
    when a holder dies, the next ranked host replaces it.

    >>> from lavendergap.state.settings import Address
    >>> fleet = [
    ...     Member(name=name, data_centre=name[:5], incarnation=1,
    ...            peers=Address(ip="127.0.0.1", port=port))
    ...     for port, name in enumerate(["ptl-a-1", "ptl-a-2", "sea-a-1"], 8101)
    ... ]
    >>> holders = choose_watch_holders(fleet, 2)
    >>> sorted(name[:5] for name in holders)
    ['ptl-a', 'sea-a']
    """
    data_centres = {m.name: m.data_centre for m in members if m.may_own}
    ranked = rank_hosts(WATCH_KEY, data_centres)
    chosen: list[str] = []
    used: set[str] = set()
    for name in ranked:
        if len(chosen) < n_holders and data_centres[name] not in used:
            chosen.append(name)
            used.add(data_centres[name])
    for name in ranked:
        if len(chosen) < n_holders and name not in chosen:
            chosen.append(name)
    return tuple(chosen)


def compute_read_interval(n_hosts: int) -> float:
    """Return the mean seconds between one host's own reads of the platform.

    The reads are the fallback for when all watch holders are cut off from the platform:
    a host that reads something newer passes it on. Only versions are listed; bodies are
    read when they are newer.

    >>> compute_read_interval(7), compute_read_interval(550)
    (28.0, 2200.0)
    """
    return max(MIN_READ_INTERVAL_S, n_hosts * CALLS_PER_READ / MAX_READS_PER_S)


def draw_read_delay(n_hosts: int, random: Random) -> float:
    """Return the seconds until this host's next own read, with 50 % jitter.

    Without jitter, hosts that started together would read at the same time.

    >>> 14.0 <= draw_read_delay(7, Random(1)) <= 42.0
    True
    """
    return compute_read_interval(n_hosts) * random.uniform(0.5, 1.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformLoad:
    """Waiting watches and calls per second at the platform, from all hosts."""

    waiting: int
    renewals: float
    fetches: float
    reads: float

    @property
    def calls_per_s(self) -> float:
        """Mean calls per second, of all kinds."""
        return self.renewals + self.fetches + self.reads


def bound_platform_load(
    *, n_hosts: int, n_holders: int, changes_per_s: float
) -> PlatformLoad:
    """Return an upper bound of the load of all hosts on the platform.

    Each change ends each holder's watch of its prefix, and each holder fetches it.

    >>> load = bound_platform_load(n_hosts=550, n_holders=2, changes_per_s=0.04)
    >>> load.waiting, round(load.calls_per_s, 2)
    (4, 1.23)
    """
    waiting = n_holders * WATCHES_PER_HOLDER
    return PlatformLoad(
        waiting=waiting,
        renewals=waiting / WATCH_WAIT_S,
        fetches=2 * n_holders * changes_per_s,
        reads=n_hosts * CALLS_PER_READ / compute_read_interval(n_hosts),
    )
