"""The messages by which hosts probe each other and gossip what they know."""

from dataclasses import dataclass

from .member import DocumentsDigest, Member
from .settings import Address


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks the host at an address to answer with an `Ack` of the same sequence."""

    source: Member
    sequence: int
    documents: DocumentsDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeRequest:
    """Asks a third host to ping `target` and to pass on what it answers."""

    source: Member
    sequence: int
    target: Member


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Answers a ping; `subject` is set when a third host passes an answer on."""

    source: Member
    sequence: int
    subject: Member | None
    documents: DocumentsDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """Tells news without asking for an answer."""

    source: Member
    documents: DocumentsDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Hashes of the sender's member table, one for each bucket of names.

    In an answer, `truncated` says that the tables sent before it left some out.
    """

    source: Member
    is_answer: bool
    truncated: bool
    buckets: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """A part of the sender's member table: what a summary showed to differ."""

    source: Member
    members: tuple[Member, ...]


Message = Ping | ProbeRequest | Ack | Gossip | Summary | Table


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """A message to put into one datagram for the host at `to`."""

    to: Address
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged:
    """A member is now taken to be as `member` says, by the word of `reported_by`."""

    member: Member
    previous: Member | None
    reported_by: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentsAdvertised:
    """A member holds documents other than ours."""

    member: Member
    documents: DocumentsDigest


Event = MemberChanged | DocumentsAdvertised
