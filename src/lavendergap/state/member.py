"""Members of the fleet as the hosts tell each other of them."""

from dataclasses import dataclass
from enum import StrEnum

from .settings import Address


class MemberState(StrEnum):
    """What is believed of a member; each later one wins at equal incarnations."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One process of the fleet as its last known record describes it.

    `incarnation` is the time in milliseconds at which the process drew it when it
    started, so that a restart at the same address is newer than what it replaces.
    `refutations` grows each time that the process contradicts a false suspicion,
    or declares something new of itself; only the process itself raises it.
    """

    name: str
    data_centre: str
    peers: Address
    incarnation: int
    refutations: int = 0
    state: MemberState = MemberState.LIVE
    settings_version: int = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """What decides which of two records of one member is newer."""
        return self.incarnation, self.refutations, _PRECEDENCE[self.state]

    @property
    def may_own(self) -> bool:
        """Whether new work may go to it.

        A suspect keeps its work until the suspicion is confirmed: most are
        refuted, and moving its shards to and fro would cost more than bypassing
        it for a few seconds.
        """
        return self.state in (MemberState.LIVE, MemberState.SUSPECT)


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentVersion:
    """A named document, such as `index/scheduler`, at a version of the platform."""

    name: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentsDigest:
    """What a host holds, small enough to ride on each datagram.

    `fingerprint` covers all documents, so equal ones mean that there is nothing to
    compare. `newest` lists as many as fit, the highest version first; `truncated`
    says that some are left out.
    """

    fingerprint: int = 0
    newest: tuple[DocumentVersion, ...] = ()
    truncated: bool = False
