"""Addresses at which other hosts may be found, and how many are pinged at once."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random

from ..state.settings import Address

MAX_HINTS = 2_048

SEARCH_S = 5.0
"""How long after its start a host that has found no other searches at full rate.

The platform's list keeps the entries of hosts that are gone, so a few live hosts may be
listed among hundreds.
"""

N_SEARCH_PINGS = 64
"""Pings in one round of a search; about 8 KB."""

N_PINGS_ALONE = 8
"""Pings in one round of a host that finds no other for longer; about 1.5 KB/s."""

N_PINGS_JOINING = 3
"""Pings in one round of a host that has found others, until it has their table."""

# These are in probe intervals.
_SEARCH_INTERVAL = 0.5
_JOINING_INTERVAL = 1
_JOINED_INTERVAL = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class PingRound:
    """How many unknown addresses to ping, and how many probe intervals to wait then."""

    n_pings: int
    interval: float


def plan_round(*, is_alone: bool, has_joined: bool, uptime_s: float) -> PingRound:
    """Return the next round of pings of a host.

    A host without others keeps searching after it has become ready alone: the hints
    may have come late, and no other host pings one that it doesn't know.
    """
    if is_alone and uptime_s < SEARCH_S:
        return PingRound(n_pings=N_SEARCH_PINGS, interval=_SEARCH_INTERVAL)
    if is_alone:
        return PingRound(n_pings=N_PINGS_ALONE, interval=_JOINING_INTERVAL)
    if not has_joined:
        return PingRound(n_pings=N_PINGS_JOINING, interval=_JOINING_INTERVAL)
    return PingRound(n_pings=1, interval=_JOINED_INTERVAL)


class Hints:
    """Addresses of hosts that may be members, from the settings or the platform.

    >>> hints = Hints()
    >>> first, second = (Address(ip="10.0.0.1", port=port) for port in (1, 2))
    >>> hints.add([first, second])
    True
    >>> [hints.choose([], set(), 1, Random(1)) for _ in range(3)] == [
    ...     [first], [second], [first]]
    True
    """

    def __init__(self) -> None:
        self._addresses: dict[Address, None] = {}

    def add(self, addresses: Iterable[Address]) -> bool:
        """Add addresses, the oldest dropped beyond a limit; return whether any is new.

        Known ones keep their turn.
        """
        n_before = len(self._addresses)
        new = [each for each in addresses if each not in self._addresses]
        self._addresses.update(dict.fromkeys(new))
        while len(self._addresses) > max(n_before, MAX_HINTS):
            del self._addresses[next(iter(self._addresses))]
        return bool(new)

    def list_all(self) -> list[Address]:
        """Return all addresses, the next to be pinged first."""
        return list(self._addresses)

    def choose(
        self,
        others: Iterable[Address],
        excluded: Collection[Address],
        n_wanted: int,
        random: Random,
    ) -> list[Address]:
        """Return addresses to ping: hints in turn, with `others` drawn among them."""
        hints = [each for each in self._addresses if each not in excluded]
        drawn = [each for each in dict.fromkeys(others) if each not in excluded]
        drawn = [each for each in drawn if each not in self._addresses]
        if not drawn:
            chosen = hints[:n_wanted]
        else:
            n_found = len(hints) + len(drawn)
            chosen = random.sample([*hints, *drawn], min(n_wanted, n_found))
        for address in chosen:
            if address in self._addresses:
                del self._addresses[address]
                self._addresses[address] = None
        return chosen
