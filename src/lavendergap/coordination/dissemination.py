"""News on its way: which records still ride on datagrams, and how often."""

from dataclasses import dataclass
from math import ceil, log10

from ..state.member import Member

RETRANSMIT_FACTOR = 4
"""Sends of one record by one host, times the decimal logarithm of the fleet."""

MAX_UPDATE_BYTES = 600
"""Room for piggybacked records in one datagram."""

_BYTES_FOR_EACH = 88
_WORD = 8


def estimate_bytes(member: Member) -> int:
    """Return an upper bound of the bytes that a record takes on the wire."""
    n_bytes = len(member.name.encode()) + len(member.data_centre.encode())
    return _BYTES_FOR_EACH + n_bytes + 2 * _WORD


def limit_sends(n_members: int) -> int:
    """Return how often each host passes one record on in a fleet of that size.

    >>> limit_sends(7), limit_sends(550)
    (4, 12)
    """
    return RETRANSMIT_FACTOR * ceil(log10(n_members + 1))


@dataclass(kw_only=True, slots=True)
class _Item:
    member: Member
    n_sent: int = 0


class Dissemination:
    """Records to piggyback, those sent least often first.

    The bound on sends keeps the cost of one change at the logarithm of the fleet
    for each host; what this leaves out is found by comparing tables.
    """

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}

    def __bool__(self) -> bool:
        return bool(self._items)

    def add(self, member: Member) -> None:
        """Start passing a record on, in place of an older one of the same name."""
        self._items[member.name] = _Item(member=member)

    def drop(self, name: str) -> None:
        """Stop passing on what is known of a member."""
        self._items.pop(name, None)

    def clear(self) -> None:
        """Stop passing anything on."""
        self._items.clear()

    def take(self, n_members: int, first: Member | None = None) -> tuple[Member, ...]:
        """Return the records for one datagram and count them as sent.

        `first` goes with it in any case: what is said of the receiver, so that it
        can refute a suspicion with its answer.
        """
        room = MAX_UPDATE_BYTES
        taken = []
        if first is not None:
            room -= estimate_bytes(first)
            taken.append(first)
        limit = limit_sends(n_members)
        for item in sorted(self._items.values(), key=lambda item: item.n_sent):
            if item.member is first:
                continue
            room -= estimate_bytes(item.member)
            if room < 0:
                break
            taken.append(item.member)
            item.n_sent += 1
            if item.n_sent >= limit:
                del self._items[item.member.name]
        return tuple(taken)
