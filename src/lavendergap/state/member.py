"""Member records of the gossip protocol."""

from dataclasses import dataclass
from enum import StrEnum

from .settings import Address


class MemberState(StrEnum):
    """The state of a member, in rising precedence among records otherwise equal."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


CAPACITY_STEPS_PER_CORE = 8
"""Whole steps, so that owners do not change with small differences of capacity."""

MAX_CAPACITY = 65_535

_PRECEDENCE = {state: rank for rank, state in enumerate(MemberState)}


def convert_to_capacity(cores: float) -> int:
    """Return a host's capacity in steps of an eighth of a core, at least one.

    >>> [convert_to_capacity(cores) for cores in (0.01, 0.361, 0.5, 2.15)]
    [1, 3, 4, 17]
    """
    return min(MAX_CAPACITY, max(1, round(cores * CAPACITY_STEPS_PER_CORE)))


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """The last known record of one process of the fleet.

    `incarnation` is the start time of the process in Unix milliseconds, so that a
    restarted process supersedes its predecessor at the same address. `refutations` is
    incremented by the process itself when it refutes a false suspicion or announces a
    change of its record. `capacity` is in steps of an eighth of a core, the same for
    the life of the process; 0 is not stated, as by earlier releases.
    """

    name: str
    data_centre: str
    peers: Address
    incarnation: int
    refutations: int = 0
    state: MemberState = MemberState.LIVE
    settings_version: int = 0
    capacity: int = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """The sort key by which the newer of two records of a member is chosen."""
        return self.incarnation, self.refutations, _PRECEDENCE[self.state]

    @property
    def may_own(self) -> bool:
        """Whether the member may own shards and receive new work.

        A suspect keeps its shards until the suspicion is confirmed: most suspicions
        are refuted, and moving shards back and forth would cost more than bypassing
        the member for a few seconds.
        """
        return self.state in (MemberState.LIVE, MemberState.SUSPECT)


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentVersion:
    """The name of a document, such as `index/scheduler`, and its platform version."""

    name: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentsDigest:
    """A digest of the documents that a host holds, carried on each datagram.

    `fingerprint` covers all documents: hosts with equal fingerprints hold the same.
    `newest` lists as many documents as fit, the highest version first; `truncated` is
    set if some are left out.
    """

    fingerprint: int = 0
    newest: tuple[DocumentVersion, ...] = ()
    truncated: bool = False
