"""The records of the other members: merging, hashing and expiry of the dead."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from xxhash import xxh3_64_intdigest

from ..state.member import Member, MemberState

N_BUCKETS = 64
"""Into how many buckets the table is hashed; the hashes take 512 bytes."""

TOMBSTONE_S = 86_400.0
"""How long dead members are remembered: far beyond the life of any datagram."""

MAX_TOMBSTONES = 4_096
"""Tombstones kept, about a megabyte; the oldest are dropped first. With 680
replacements a day they last six days.
"""


@dataclass(kw_only=True, slots=True)
class _Entry:
    member: Member
    digest: int
    stale: bool = False


def _hash_member(member: Member) -> int:
    order = f"{member.name}\0{member.incarnation}\0{member.refutations}\0{member.state}"
    return xxh3_64_intdigest(order.encode())


def get_bucket(name: str) -> int:
    """Return the bucket of the table that holds the member called `name`."""
    return xxh3_64_intdigest(name.encode()) % N_BUCKETS


class Roster:
    """The newest record of each other member, the dead included for a while.

    A record replaces another of the same name only if its order (incarnation,
    refutations, state) is higher. So the record of an earlier process's death never
    marks its successor dead, and a record that arrives late changes nothing.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._died_at: dict[str, float] = {}
        self._buckets = [0] * N_BUCKETS
        self._owner_names: frozenset[str] | None = None

    def get(self, name: str) -> Member | None:
        """Return the record of a member, dead or alive, or None."""
        entry = self._entries.get(name)
        return entry.member if entry else None

    def members(self) -> Iterator[Member]:
        """Iterate over all records except those of the dead."""
        return (
            entry.member
            for entry in self._entries.values()
            if entry.member.state is not MemberState.DEAD
        )

    def names_that_may_own(self) -> frozenset[str]:
        """Return the names of the members to which new work may go."""
        if self._owner_names is None:
            self._owner_names = frozenset(m.name for m in self.members() if m.may_own)
        return self._owner_names

    def dead_since(self, earliest: float) -> list[Member]:
        """Return the records of those that died at `earliest` or later."""
        return [
            self._entries[name].member
            for name, died_at in self._died_at.items()
            if died_at >= earliest
        ]

    def merge(self, member: Member, *, now: float) -> bool:
        """Merge `member` and return whether it changes the known record."""
        entry = self._entries.get(member.name)
        if entry is None:
            self._put(member, now=now)
            return True
        known = entry.member
        if member.order < known.order:
            return False
        if entry.stale:
            entry.stale = False
            self._toggle(entry)
        if member.capacity == 0 and member.incarnation == known.incarnation:
            # A host of an earlier release leaves out the capacity when it passes on the
            # record.
            member = replace(member, capacity=known.capacity)
        is_capacity_new = known.capacity == 0 and member.capacity > 0
        if member.order > known.order or is_capacity_new:
            self._put(member, now=now)
            return True
        if member.settings_version > known.settings_version:
            entry.member = member
        return False

    def mark_all_stale(self) -> None:
        """Mark all records stale, after a pause of this process.

        A stale record is not sent to others until it has been received again. Otherwise
        a process that resumes after hours would bring back members whose tombstones the
        other hosts have dropped.
        """
        for entry in self._entries.values():
            if not entry.stale and entry.member.state is not MemberState.DEAD:
                self._toggle(entry)
                entry.stale = True

    def is_stale(self, name: str) -> bool:
        """Whether the record of `name` has not been received since a pause."""
        entry = self._entries.get(name)
        return entry is not None and entry.stale

    def list_stale(self) -> list[Member]:
        """Return the records that have not been received since a pause."""
        return [entry.member for entry in self._entries.values() if entry.stale]

    def forget_dead(self, *, now: float) -> None:
        """Drop the tombstones that are too old, or too many, the oldest first."""
        while self._died_at:
            name, died_at = next(iter(self._died_at.items()))
            if len(self._died_at) <= MAX_TOMBSTONES and now - died_at < TOMBSTONE_S:
                return
            del self._died_at[name]
            del self._entries[name]

    def hash_buckets(self, own: Member) -> tuple[int, ...]:
        """Return the hash of each bucket of the table with `own` added to it.

        Dead members are left out: hosts forget them at different times, and their
        tables must not differ for that.
        """
        buckets = list(self._buckets)
        buckets[get_bucket(own.name)] ^= _hash_member(own)
        return tuple(buckets)

    def list_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the records in some buckets, dead ones included, stale ones not."""
        return [
            entry.member
            for name, entry in self._entries.items()
            if not entry.stale and get_bucket(name) in buckets
        ]

    def _put(self, member: Member, *, now: float) -> None:
        old = self._entries.get(member.name)
        if old is not None and not old.stale:
            self._toggle(old)
        entry = _Entry(member=member, digest=_hash_member(member))
        self._entries[member.name] = entry
        self._toggle(entry)
        self._died_at.pop(member.name, None)
        if member.state is MemberState.DEAD:
            self._died_at[member.name] = now
        if old is None or old.member.may_own != member.may_own:
            self._owner_names = None

    def _toggle(self, entry: _Entry) -> None:
        """Add an entry to the hash of its bucket, or remove it again."""
        if entry.member.state is not MemberState.DEAD:
            self._buckets[get_bucket(entry.member.name)] ^= entry.digest
