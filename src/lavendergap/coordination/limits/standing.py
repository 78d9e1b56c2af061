"""What a host is for one customer, and which part of the reserve that gives it."""

from dataclasses import dataclass

RANK_FRACTIONS = (1 / 4, 1 / 2, 1 / 8, 1 / 16, 0.0)
"""The part of the reserve of a host that may not count in full, by rank.

The second host gets most, as it is the one asked when the first is silent. They add up
to less than one: the rest covers permits used after the window of their grant.
"""

N_RANKED = len(RANK_FRACTIONS) - 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Standing:
    """What this host is for one customer, valid until `expires_at` or a change.

    `is_sole` is set if it is first and no host before it may still count. `since` is
    when it became so. `fraction` is its part of the reserve.
    """

    rank: int
    is_first: bool
    is_sole: bool
    since: float
    fraction: float
    expires_at: float


def get_fraction(n_lasting: int, n_any: int) -> float:
    """Return the smallest fraction of the ranks that a host held in the last window.

    `n_lasting` hosts were before it all the time and `n_any` at some time. Whatever the
    order in which hosts come and go, no window has more than one host of each rank.

    >>> get_fraction(1, 1), get_fraction(0, 2), get_fraction(2, 9)
    (0.5, 0.125, 0.0)
    """
    low, high = min(n_lasting, N_RANKED), min(n_any, N_RANKED)
    return min(RANK_FRACTIONS[min(low, high) : high + 1])
