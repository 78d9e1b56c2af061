"""Updates to piggyback on datagrams, and how often each is sent."""

from dataclasses import dataclass
from math import ceil, log10

from ..state.member import Member

RETRANSMIT_FACTOR = 4
"""How often a host sends one record, per decimal logarithm of the host count."""

MAX_UPDATE_BYTES = 600
"""Space for piggybacked records in one datagram."""

# Encoded size of a record without its texts, and the most that a text is padded by.
_RECORD_BYTES = 92
_PADDING_BYTES = 8


def estimate_bytes(member: Member) -> int:
    """Return an upper bound of the size of an encoded record."""
    n_bytes = len(member.name.encode()) + len(member.data_centre.encode())
    return _RECORD_BYTES + n_bytes + 2 * _PADDING_BYTES


def limit_sends(n_members: int) -> int:
    """Return how often each host sends one record, with that many members.

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

    The limit on sends keeps the cost of one change logarithmic in the number of hosts;
    updates that a host misses are found by comparing tables.
    """

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}

    def __bool__(self) -> bool:
        return bool(self._items)

    def add(self, member: Member) -> None:
        """Queue a record, replacing an older one of the same name."""
        self._items[member.name] = _Item(member=member)

    def drop(self, name: str) -> None:
        """Remove the record of a member from the queue."""
        self._items.pop(name, None)

    def clear(self) -> None:
        """Empty the queue."""
        self._items.clear()

    def take(self, n_members: int, first: Member | None = None) -> tuple[Member, ...]:
        """Return the records for one datagram and count them as sent.

        `first` is always included: the record that the receiver has to refute, so that
        its answer can carry the refutation.
        """
        bytes_left = MAX_UPDATE_BYTES
        taken = []
        if first is not None:
            bytes_left -= estimate_bytes(first)
            taken.append(first)
        limit = limit_sends(n_members)
        for item in sorted(self._items.values(), key=lambda item: item.n_sent):
            if item.member is first:
                continue
            bytes_left -= estimate_bytes(item.member)
            if bytes_left < 0:
                break
            taken.append(item.member)
            item.n_sent += 1
            if item.n_sent >= limit:
                del self._items[item.member.name]
        return tuple(taken)
