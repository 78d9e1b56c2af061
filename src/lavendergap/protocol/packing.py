"""The msgpack codec, for messages that are frequent or long.

Cap'n Proto takes many times as long for these in Python (see
docs/design/connections.md); it encodes all other messages between hosts.
"""

import zlib
from functools import lru_cache
from typing import Any

import msgspec

from ..state.customers import NO_CUSTOMER, Precedence
from ..state.feeds import FeedChange, FeedEntry, StoreContact, StorePosition
from ..state.forwarding import ForwardedRequest
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from ..state.quarantine import Strike
from .messages import (
    Answers,
    BadFrameError,
    FeedFetch,
    FeedState,
    FeedUpdate,
    Frame,
    GreatestOptions,
    Search,
    ShardAnswer,
    ShardRef,
    StrikeReport,
)
from .packedlimits import PackedLimitMessage, unpack_limit_message


class _PackedGreatest(msgspec.Struct, array_like=True):
    method: bytes
    target: bytes
    attempt: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    n_wanted: int
    goal_ms: int
    max_attempts: int
    priority: int
    is_repeat: bool
    data_centres: tuple[str, ...] = ()
    customer: str = ""
    weight: float = 1.0


class _PackedSearch(msgspec.Struct, array_like=True, tag=1):
    id: int
    request_id: str
    service: str
    version: int
    left_ms: int
    body: bytes
    shards: list[tuple[str, str]]
    greatest: _PackedGreatest | None = None
    # Customer, weight and priority.
    precedence: tuple[str, float, int] | None = None


class _PackedAnswered(msgspec.Struct, array_like=True, tag=1):
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class _PackedNotRun(msgspec.Struct, array_like=True, tag=2):
    step: Step
    peer: str
    reason: Reason
    retry_after_ms: int


class _PackedUnknown(msgspec.Struct, array_like=True, tag=3):
    step: Step
    peer: str
    reason: Reason


_PackedOutcome = _PackedAnswered | _PackedNotRun | _PackedUnknown


class _PackedAnswer(msgspec.Struct, array_like=True):
    shard: str
    server: str
    outcome: _PackedOutcome
    versions: tuple[int, ...]
    n_servers: int = 1


class _PackedAnswers(msgspec.Struct, array_like=True, tag=2):
    id: int
    answers: list[_PackedAnswer]
    records: bytes = b""


class _PackedFeedUpdate(msgspec.Struct, array_like=True, tag=3):
    id: int
    feed: str
    base: int
    revision: int
    changes: list[tuple[str, bytes | None]]
    fingerprint: int
    should_relay: bool
    # All changes, compressed; `changes` is then empty.
    deflated: bytes = b""
    epoch: int = 0
    steady_ms: int = 0
    failing_ms: int = 0


class _PackedFetch(msgspec.Struct, array_like=True, tag=4):
    id: int
    feed: str
    hashes: tuple[int, ...] = ()


class _PackedState(msgspec.Struct, array_like=True, tag=5):
    id: int
    feed: str
    revision: int
    entries: list[tuple[str, bytes]]
    # All entries, compressed; `entries` is then empty.
    deflated: bytes = b""
    buckets: tuple[int, ...] | None = None
    epoch: int = 0


class _PackedStrikeReport(msgspec.Struct, array_like=True, tag=6):
    id: int
    name: str
    content: str
    host: str
    servers: tuple[str, ...]
    is_trial: bool
    should_relay: bool


_Packed = (
    _PackedSearch
    | _PackedAnswers
    | _PackedFeedUpdate
    | _PackedFetch
    | _PackedState
    | _PackedStrikeReport
    | PackedLimitMessage
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Packed).decode
_decode_changes = msgspec.msgpack.Decoder(list[tuple[str, bytes | None]]).decode
_decode_entries = msgspec.msgpack.Decoder(list[tuple[str, bytes]]).decode

MIN_DEFLATED_BYTES = 1_024
"""The total size from which entries are compressed.

Operators' documents compress well; a single server's entry of 200 bytes hardly does.
"""

MAX_CACHED_DEFLATED = 4
"""Size of the cache of compressed entries, which are sent to many hosts alike."""

MAX_AGE_S = 3_600.0
"""Longer ages of the store's answers are sent as this."""

MAX_INFLATED_BYTES = 4_000_000
"""Limit on decompressed entries, about the longest frame, to bound memory use."""


def pack_search(frame_id: int, search: Search) -> bytes:
    """Return the bytes of a Search, without the length prefix."""
    return _encode(
        _PackedSearch(
            frame_id,
            search.request_id,
            search.service,
            search.version,
            search.left_ms,
            search.body,
            [(ref.shard, ref.group) for ref in search.shards],
            _pack_greatest(search.greatest),
            _pack_precedence(search.precedence),
        )
    )


def _pack_precedence(precedence: Precedence) -> tuple[str, float, int] | None:
    if precedence == NO_CUSTOMER:
        return None
    return precedence.customer, precedence.weight, precedence.priority


def _unpack_precedence(packed: tuple[str, float, int] | None) -> Precedence:
    if packed is None:
        return NO_CUSTOMER
    customer, weight, priority = packed
    return Precedence(customer=customer, weight=weight, priority=priority)


def pack_answers(frame_id: int, answers: Answers) -> bytes:
    """Return the bytes of Answers, without the length prefix."""
    packed = [
        _PackedAnswer(
            a.shard, a.server, _pack_outcome(a.outcome), a.versions, a.n_servers
        )
        for a in answers.answers
    ]
    return _encode(_PackedAnswers(frame_id, packed, answers.records))


def _pack_greatest(greatest: GreatestOptions | None) -> _PackedGreatest | None:
    if greatest is None:
        return None
    request = greatest.request
    return _PackedGreatest(
        request.method,
        request.target,
        request.attempt,
        request.headers,
        greatest.n_wanted,
        greatest.goal_ms,
        greatest.max_attempts,
        greatest.priority,
        greatest.is_repeat,
        greatest.data_centres,
        greatest.customer,
        greatest.weight,
    )


def _unpack_greatest(packed: _PackedGreatest | None) -> GreatestOptions | None:
    if packed is None:
        return None
    return GreatestOptions(
        request=ForwardedRequest(
            method=packed.method,
            target=packed.target,
            attempt=packed.attempt,
            headers=packed.headers,
        ),
        n_wanted=packed.n_wanted,
        goal_ms=packed.goal_ms,
        max_attempts=packed.max_attempts,
        priority=packed.priority,
        is_repeat=packed.is_repeat,
        data_centres=packed.data_centres,
        customer=packed.customer,
        weight=packed.weight,
    )


def pack_feed_update(frame_id: int, update: FeedUpdate) -> bytes:
    """Return the bytes of a FeedUpdate, without the length prefix."""
    changes, deflated = _deflate(update.changes)
    return _encode(
        _PackedFeedUpdate(
            frame_id,
            update.feed,
            update.base.revision,
            update.position.revision,
            changes,
            update.fingerprint,
            update.should_relay,
            deflated,
            update.position.epoch,
            _pack_age(update.contact.steady_s),
            _pack_age(update.contact.failing_s),
        )
    )


def _pack_age(seconds: float) -> int:
    return int(min(seconds, MAX_AGE_S) * 1_000)


def pack_fetch(frame_id: int, fetch: FeedFetch) -> bytes:
    """Return the bytes of a FeedFetch, without the length prefix."""
    return _encode(_PackedFetch(frame_id, fetch.feed, fetch.hashes))


def pack_state(frame_id: int, state: FeedState) -> bytes:
    """Return the bytes of a FeedState, without the length prefix."""
    entries, deflated = _deflate(state.entries)
    return _encode(
        _PackedState(
            frame_id,
            state.feed,
            state.position.revision,
            entries,
            deflated,
            state.buckets,
            state.position.epoch,
        )
    )


def _deflate(
    entries: tuple[FeedChange, ...] | tuple[FeedEntry, ...],
) -> tuple[list[Any], bytes]:
    """Return the entries as a plain list and as compressed bytes, one of them empty."""
    if sum(len(entry.body or b"") for entry in entries) < MIN_DEFLATED_BYTES:
        return [(entry.name, entry.body) for entry in entries], b""
    return [], _compress(entries)


@lru_cache(maxsize=MAX_CACHED_DEFLATED)
def _compress(entries: tuple[FeedChange, ...] | tuple[FeedEntry, ...]) -> bytes:
    return zlib.compress(_encode([(entry.name, entry.body) for entry in entries]), 1)


def pack_strike_report(frame_id: int, report: StrikeReport) -> bytes:
    """Return the bytes of a StrikeReport, without the length prefix."""
    strike = report.strike
    return _encode(
        _PackedStrikeReport(
            frame_id,
            strike.name,
            strike.content,
            strike.host,
            strike.servers,
            strike.is_trial,
            report.should_relay,
        )
    )


def unpack(body: bytes) -> Frame:
    """Return the frame in `body`, or raise `BadFrameError`."""
    try:
        packed = _decode(body)
        if isinstance(packed, _PackedFeedUpdate) and packed.deflated:
            packed.changes = _decode_changes(_inflate(packed.deflated))
        elif isinstance(packed, _PackedState) and packed.deflated:
            packed.entries = _decode_entries(_inflate(packed.deflated))
    except (ValueError, RecursionError, zlib.error) as error:
        raise BadFrameError(problem=str(error)) from error
    match packed:
        case _PackedSearch():
            return Frame(id=packed.id, message=_unpack_search(packed))
        case _PackedAnswers():
            return Frame(id=packed.id, message=_unpack_answers(packed))
        case _PackedFeedUpdate():
            return Frame(id=packed.id, message=_unpack_feed_update(packed))
        case _PackedFetch(id=frame_id, feed=feed, hashes=hashes):
            return Frame(id=frame_id, message=FeedFetch(feed=feed, hashes=hashes))
        case _PackedState():
            return Frame(id=packed.id, message=_unpack_state(packed))
        case _PackedStrikeReport():
            return Frame(id=packed.id, message=_unpack_strike_report(packed))
        case _:
            return Frame(id=packed.id, message=unpack_limit_message(packed))


def _inflate(deflated: bytes) -> bytes:
    """Return the decompressed bytes; raises zlib.error if there are too many."""
    inflater = zlib.decompressobj()
    plain = inflater.decompress(deflated, MAX_INFLATED_BYTES)
    if not inflater.eof:
        raise zlib.error("compressed entries are truncated or too large")
    return plain


def _unpack_feed_update(packed: _PackedFeedUpdate) -> FeedUpdate:
    return FeedUpdate(
        feed=packed.feed,
        base=StorePosition(epoch=packed.epoch, revision=packed.base),
        position=StorePosition(epoch=packed.epoch, revision=packed.revision),
        changes=tuple(
            FeedChange(name=name, body=body) for name, body in packed.changes
        ),
        fingerprint=packed.fingerprint,
        should_relay=packed.should_relay,
        contact=StoreContact(
            steady_s=packed.steady_ms / 1_000, failing_s=packed.failing_ms / 1_000
        ),
    )


def _unpack_state(packed: _PackedState) -> FeedState:
    return FeedState(
        feed=packed.feed,
        position=StorePosition(epoch=packed.epoch, revision=packed.revision),
        entries=tuple(FeedEntry(name=name, body=body) for name, body in packed.entries),
        buckets=packed.buckets,
    )


def _unpack_strike_report(packed: _PackedStrikeReport) -> StrikeReport:
    strike = Strike(
        name=packed.name,
        content=packed.content,
        host=packed.host,
        servers=packed.servers,
        is_trial=packed.is_trial,
    )
    return StrikeReport(strike=strike, should_relay=packed.should_relay)


def _unpack_answers(packed: _PackedAnswers) -> Answers:
    answers = tuple(
        ShardAnswer(
            shard=answer.shard,
            server=answer.server,
            outcome=_unpack_outcome(answer.outcome),
            versions=answer.versions,
            n_servers=answer.n_servers,
        )
        for answer in packed.answers
    )
    return Answers(answers=answers, records=packed.records)


def _unpack_search(packed: _PackedSearch) -> Search:
    return Search(
        request_id=packed.request_id,
        service=packed.service,
        version=packed.version,
        left_ms=packed.left_ms,
        body=packed.body,
        shards=tuple(
            ShardRef(shard=shard, group=group) for shard, group in packed.shards
        ),
        greatest=_unpack_greatest(packed.greatest),
        precedence=_unpack_precedence(packed.precedence),
    )


def _pack_outcome(outcome: Outcome) -> _PackedOutcome:
    match outcome:
        case Answered(body=body, headers=headers):
            return _PackedAnswered(body, headers)
        case NotRun():
            return _PackedNotRun(
                outcome.step, outcome.peer, outcome.reason, outcome.retry_after_ms
            )
        case Unknown():
            return _PackedUnknown(outcome.step, outcome.peer, outcome.reason)


def _unpack_outcome(packed: _PackedOutcome) -> Outcome:
    match packed:
        case _PackedAnswered():
            return Answered(body=packed.body, headers=packed.headers)
        case _PackedNotRun():
            return NotRun(
                step=packed.step,
                peer=packed.peer,
                reason=packed.reason,
                retry_after_ms=packed.retry_after_ms,
            )
        case _PackedUnknown():
            return Unknown(step=packed.step, peer=packed.peer, reason=packed.reason)
