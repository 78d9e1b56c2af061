"""Which few hosts watch the platform for all, and how rarely the others read it."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..state.member import Member
from .ranking import rank_hosts

WATCH_KEY = "watch"
MIN_READ_INTERVAL_S = 20.0
"""No host reads the platform of its own accord more often than this on average."""

MAX_READS_PER_S = 0.5
"""Calls a second for all hosts' own reads together, whatever the fleet."""

CALLS_PER_READ = 2
"""One list of the settings' versions and one of the indexes'."""

WATCH_WAIT_S = 7.0
"""How long the platform holds a watch.

A watch whose connection has gone silent is given up two seconds later, and the next
one tells what was missed. Were it 30 s, an edit would wait for so long when something
in the way forgets the connections of all holders at once; it has 13 s.
"""

WATCHES_PER_HOLDER = 2
"""One watch of the settings and one of the prefix `index/`."""


def choose_watch_holders(members: Iterable[Member], n_holders: int) -> tuple[str, ...]:
    """Return the hosts that hold the platform's watches, the first one first.

    The platform sees as many waiting watches whatever the size of the fleet. The
    holders stand in different data centres where the members allow it, so that
    the loss of one data centre leaves a watch; every host works out the same
    answer from the same members, and the next takes over when a holder dies.

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
    taken: set[str] = set()
    for name in ranked:
        if len(chosen) < n_holders and data_centres[name] not in taken:
            chosen.append(name)
            taken.add(data_centres[name])
    for name in ranked:
        if len(chosen) < n_holders and name not in chosen:
            chosen.append(name)
    return tuple(chosen)


def compute_read_interval(n_hosts: int) -> float:
    """Return the mean seconds between one host's own reads of the platform.

    They are the safety net for when every watch holder is cut off from it: whoever
    reads something newer passes it on, and from five hosts on somebody reads every
    four seconds on average. Only versions are listed; bodies are read when
    they are newer.

    >>> compute_read_interval(7), compute_read_interval(550)
    (28.0, 2200.0)
    """
    return max(MIN_READ_INTERVAL_S, n_hosts * CALLS_PER_READ / MAX_READS_PER_S)


def draw_read_delay(n_hosts: int, random: Random) -> float:
    """Return the seconds until this host's next own read, jittered by half.

    Without the jitter hosts that were started together would read together.

    >>> 14.0 <= draw_read_delay(7, Random(1)) <= 42.0
    True
    """
    return compute_read_interval(n_hosts) * random.uniform(0.5, 1.5)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformLoad:
    """Calls a second that the whole fleet asks of the platform, and its parts."""

    waiting: int
    renewals: float
    news: float
    reads: float

    @property
    def calls_per_s(self) -> float:
        """All calls that are made in a second, on average."""
        return self.renewals + self.news + self.reads


def bound_platform_load(
    *, n_hosts: int, n_holders: int, changes_per_s: float
) -> PlatformLoad:
    """Return the upper bound of what the fleet asks of the platform.

    Each change ends each holder's watch of its prefix, and each holder fetches it.

    >>> load = bound_platform_load(n_hosts=550, n_holders=2, changes_per_s=0.04)
    >>> load.waiting, round(load.calls_per_s, 2)
    (4, 1.23)
    """
    waiting = n_holders * WATCHES_PER_HOLDER
    return PlatformLoad(
        waiting=waiting,
        renewals=waiting / WATCH_WAIT_S,
        news=2 * n_holders * changes_per_s,
        reads=n_hosts * CALLS_PER_READ / compute_read_interval(n_hosts),
    )
