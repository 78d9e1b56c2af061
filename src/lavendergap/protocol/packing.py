"""A second codec, for the two messages that go with every query: msgpack.

Cap'n Proto spends about ten times as long on them in Python (see
docs/design/connections.md); all other messages between hosts stay with it.
"""

import msgspec

from ..state.forwarding import ForwardedRequest
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from .messages import (
    Answers,
    BadFrameError,
    Frame,
    Greatest,
    Search,
    ShardAnswer,
    ShardRef,
)


class _PackedGreatest(msgspec.Struct, array_like=True):
    method: bytes
    target: bytes
    attempt: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    n_wanted: int
    hold_ms: int
    max_attempts: int
    is_repeat: bool


class _PackedSearch(msgspec.Struct, array_like=True, tag=1):
    id: int
    request_id: str
    service: str
    version: int
    left_ms: int
    body: bytes
    shards: list[tuple[str, str]]
    greatest: _PackedGreatest | None = None


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


class _PackedAnswers(msgspec.Struct, array_like=True, tag=2):
    id: int
    answers: list[_PackedAnswer]
    records: bytes = b""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_PackedSearch | _PackedAnswers).decode


def pack_search(frame_id: int, search: Search) -> bytes:
    """Return the bytes of a Search, without its length."""
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
        )
    )


def pack_answers(frame_id: int, answers: Answers) -> bytes:
    """Return the bytes of Answers, without their length."""
    packed = [
        _PackedAnswer(a.shard, a.server, _pack_outcome(a.outcome), a.versions)
        for a in answers.answers
    ]
    return _encode(_PackedAnswers(frame_id, packed, answers.records))


def _pack_greatest(greatest: Greatest | None) -> _PackedGreatest | None:
    if greatest is None:
        return None
    request = greatest.request
    return _PackedGreatest(
        request.method,
        request.target,
        request.attempt,
        request.headers,
        greatest.n_wanted,
        greatest.hold_ms,
        greatest.max_attempts,
        greatest.is_repeat,
    )


def _unpack_greatest(packed: _PackedGreatest | None) -> Greatest | None:
    if packed is None:
        return None
    return Greatest(
        request=ForwardedRequest(
            method=packed.method,
            target=packed.target,
            attempt=packed.attempt,
            headers=packed.headers,
        ),
        n_wanted=packed.n_wanted,
        hold_ms=packed.hold_ms,
        max_attempts=packed.max_attempts,
        is_repeat=packed.is_repeat,
    )


def unpack(body: bytes) -> Frame:
    """Return the frame in `body`, or raise `BadFrameError`."""
    try:
        packed = _decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadFrameError(problem=str(error)) from error
    if isinstance(packed, _PackedSearch):
        return Frame(id=packed.id, message=_unpack_search(packed))
    answers = tuple(
        ShardAnswer(
            shard=answer.shard,
            server=answer.server,
            outcome=_unpack_outcome(answer.outcome),
            versions=answer.versions,
        )
        for answer in packed.answers
    )
    message = Answers(answers=answers, records=packed.records)
    return Frame(id=packed.id, message=message)


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
