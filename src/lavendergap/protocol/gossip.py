"""The codec of the gossip protocol's datagrams."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from pathlib import Path
from socket import AF_INET, AF_INET6, inet_ntop, inet_pton
from typing import Any

import capnp
from xxhash import xxh3_64_intdigest

from ..state.gossip import (
    Ack,
    Gossip,
    Message,
    Ping,
    ProbeRequest,
    Summary,
    Table,
)
from ..state.member import DocumentsDigest, DocumentVersion, Member, MemberState
from ..state.settings import Address

FORMAT_VERSION = 1
"""The first byte of each datagram; datagrams of other versions are dropped."""

MAX_DATAGRAM_BYTES = 1_400
"""Fits an Ethernet frame of 1,500 bytes with all headers, to avoid fragmentation."""

MAX_NAME_BYTES = 64
MAX_RECORDS = 64
_TRAVERSAL_LIMIT_WORDS = 4_096
_STATES = tuple(MemberState)
_STATE_NUMBERS = {state: rank for rank, state in enumerate(_STATES)}

_schema = capnp.load(str(Path(__file__).with_name("gossip.capnp")))


class RefusedReason(StrEnum):
    """Why a datagram can't be decoded, or a message can't be encoded."""

    TOO_LONG = "too long"
    OTHER_VERSION = "other version"
    OTHER_DEPLOYMENT = "other deployment"
    GARBLED = "garbled"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A datagram that is dropped without an answer, or a message that can't be sent."""

    reason: RefusedReason


class GossipCodec:
    """Encodes and decodes the datagrams of one deployment.

    Datagrams of other deployments are refused: they arrive if an address is reassigned
    from one fleet to another, and would merge the two fleets' member tables.

    >>> from lavendergap.state.gossip import Gossip
    >>> own = Member(name="ptl-a-1", data_centre="ptl-a", incarnation=1,
    ...              peers=Address(ip="127.0.0.1", port=8101))
    >>> codec = GossipCodec(deployment="cedarlight")
    >>> message = Gossip(source=own, documents=DocumentsDigest(), updates=())
    >>> codec.decode(codec.encode(message)) == message
    True
    >>> codec.decode(b"no datagram").reason.value
    'other version'
    """

    def __init__(self, *, deployment: str) -> None:
        self._deployment = xxh3_64_intdigest(deployment.encode())

    def encode(self, message: Message) -> bytes | Refused:
        """Return the datagram, or `Refused` with the reason why it can't be sent."""
        datagram = _schema.Datagram.new_message()
        datagram.deployment = self._deployment
        _write_member(datagram.source, message.source)
        _write_message(datagram, message)
        packed: bytes = datagram.to_bytes_packed()
        encoded = bytes([FORMAT_VERSION]) + packed
        if len(encoded) > MAX_DATAGRAM_BYTES:
            return Refused(reason=RefusedReason.TOO_LONG)
        return encoded

    def decode(self, data: bytes) -> Message | Refused:
        """Return the message, or `Refused`; never raises on malformed bytes."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return Refused(reason=RefusedReason.TOO_LONG)
        if data[:1] != bytes([FORMAT_VERSION]):
            return Refused(reason=RefusedReason.OTHER_VERSION)
        try:
            return self._read(data[1:])
        except (capnp.KjException, ValueError, LookupError, OSError):
            # Cap'n Proto decodes lazily, so any field access may raise.
            return Refused(reason=RefusedReason.GARBLED)

    def _read(self, payload: bytes) -> Message | Refused:
        datagram = _schema.Datagram.from_bytes_packed(
            payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        )
        if datagram.deployment != self._deployment:
            return Refused(reason=RefusedReason.OTHER_DEPLOYMENT)
        return _read_message(datagram)


def _write_message(datagram: Any, message: Message) -> None:
    match message:
        case Ping(sequence=sequence, documents=documents, updates=updates):
            datagram.ping = None
            datagram.sequence = sequence
            _write_updates(datagram, documents, updates)
        case Ack(sequence=sequence, documents=documents, updates=updates):
            if message.subject is None:
                datagram.ack = None
            else:
                _write_member(datagram.init("passedOn"), message.subject)
            datagram.sequence = sequence
            _write_updates(datagram, documents, updates)
        case Gossip(documents=documents, updates=updates):
            datagram.gossip = None
            _write_updates(datagram, documents, updates)
        case ProbeRequest(sequence=sequence, target=target):
            datagram.sequence = sequence
            _write_member(datagram.init("probeRequest"), target)
        case Table(members=members):
            datagram.table = None
            _write_members(datagram, members)
        case Summary():
            summary = datagram.init("summary")
            summary.isAnswer = message.is_answer
            summary.truncated = message.truncated
            summary.buckets = list(message.buckets)


def _write_updates(
    datagram: Any, documents: DocumentsDigest, updates: Sequence[Member]
) -> None:
    written = datagram.documents
    written.fingerprint = documents.fingerprint
    written.truncated = documents.truncated
    if documents.newest:
        versions = written.init("newest", len(documents.newest))
        for index, entry in enumerate(documents.newest):
            versions[index].name = entry.name
            versions[index].version = entry.version
    _write_members(datagram, updates)


def _write_members(datagram: Any, members: Sequence[Member]) -> None:
    if members:
        written = datagram.init("members", len(members))
        for index, member in enumerate(members):
            _write_member(written[index], member)


def _write_member(written: Any, member: Member) -> None:
    written.name = member.name
    written.dataCentre = member.data_centre
    written.ip = _pack_ip(member.peers.ip)
    written.port = member.peers.port
    written.state = _STATE_NUMBERS[member.state]
    written.refutations = member.refutations
    written.incarnation = member.incarnation
    written.settingsVersion = member.settings_version
    written.capacity = member.capacity


def _read_message(datagram: Any) -> Message:
    source = _read_member(datagram.source)
    match datagram.which():
        case "ping":
            return Ping(
                source=source,
                sequence=datagram.sequence,
                documents=_read_documents(datagram.documents),
                updates=_read_members(datagram.members),
            )
        case "ack":
            return _read_ack(datagram, source, None)
        case "passedOn":
            return _read_ack(datagram, source, _read_member(datagram.passedOn))
        case "gossip":
            return Gossip(
                source=source,
                documents=_read_documents(datagram.documents),
                updates=_read_members(datagram.members),
            )
        case "probeRequest":
            return ProbeRequest(
                source=source,
                sequence=datagram.sequence,
                target=_read_member(datagram.probeRequest),
            )
        case "table":
            return Table(source=source, members=_read_members(datagram.members))
        case "summary":
            summary = datagram.summary
            return Summary(
                source=source,
                is_answer=summary.isAnswer,
                truncated=summary.truncated,
                buckets=tuple(_read_list(summary.buckets)),
            )
        case other:
            raise ValueError(f"unknown kind of datagram: {other}")


def _read_ack(datagram: Any, source: Member, subject: Member | None) -> Ack:
    return Ack(
        source=source,
        sequence=datagram.sequence,
        subject=subject,
        documents=_read_documents(datagram.documents),
        updates=_read_members(datagram.members),
    )


def _read_documents(read: Any) -> DocumentsDigest:
    newest = tuple(
        DocumentVersion(name=_read_name(entry.name), version=entry.version)
        for entry in _read_list(read.newest)
    )
    return DocumentsDigest(
        fingerprint=read.fingerprint, newest=newest, truncated=read.truncated
    )


def _read_members(read: Any) -> tuple[Member, ...]:
    return tuple(_read_member(member) for member in _read_list(read))


def _read_list(read: Any) -> Any:
    if len(read) > MAX_RECORDS:
        raise ValueError("too many records in one datagram")
    return read


def _read_member(read: Any) -> Member:
    return Member(
        name=_read_name(read.name),
        data_centre=_read_name(read.dataCentre),
        peers=_build_address(bytes(read.ip), read.port),
        incarnation=read.incarnation,
        refutations=read.refutations,
        state=_STATES[read.state.raw],
        settings_version=read.settingsVersion,
        capacity=read.capacity,
    )


def _read_name(name: str) -> str:
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise ValueError("a name is empty or too long")
    return name


@lru_cache(maxsize=4_096)
def _pack_ip(ip: str) -> bytes:
    return inet_pton(AF_INET6 if ":" in ip else AF_INET, ip)


@lru_cache(maxsize=4_096)
def _build_address(packed: bytes, port: int) -> Address:
    return Address(
        ip=inet_ntop(AF_INET6 if len(packed) == 16 else AF_INET, packed), port=port
    )
