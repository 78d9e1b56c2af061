"""The messages of the gossip protocol between hosts, and its events."""

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
    """Asks a third host to ping `target` and to relay the answer."""

    source: Member
    sequence: int
    target: Member


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Answers a ping; `subject` is the answering host if a third host relays it."""

    source: Member
    sequence: int
    subject: Member | None
    documents: DocumentsDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """Sends updates without requesting an answer."""

    source: Member
    documents: DocumentsDigest
    updates: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Hashes of the sender's member table, one for each bucket of names.

    In an answer, `truncated` is set if the tables sent before it were incomplete.
    """

    source: Member
    is_answer: bool
    truncated: bool
    buckets: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """The part of the sender's member table in which two summaries differ."""

    source: Member
    members: tuple[Member, ...]


Message = Ping | ProbeRequest | Ack | Gossip | Summary | Table


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """A message to send in one datagram to the host at `to`."""

    to: Address
    message: Message


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged:
    """The table now holds `member`, as reported by the host `reported_by`."""

    member: Member
    previous: Member | None
    reported_by: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentsAdvertised:
    """A member advertised documents that differ from this host's."""

    member: Member
    documents: DocumentsDigest


Event = MemberChanged | DocumentsAdvertised
