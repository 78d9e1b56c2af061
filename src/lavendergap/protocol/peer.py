"""The codec of the frames on the channels between hosts.

A frame is a length of four bytes and one encoded message. The highest bit of the
length is set for msgpack and clear for Cap'n Proto. Decoding raises only
`BadFrameError`, whatever the bytes.
"""

import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

from ..state.customers import NO_CUSTOMER, Precedence
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from .messages import (
    Answers,
    BadFrameError,
    Cancel,
    CountHandover,
    Document,
    FeedFetch,
    FeedState,
    FeedUpdate,
    Fetch,
    Frame,
    GoingAway,
    HandoverRequest,
    Hello,
    Message,
    PermitGrant,
    PermitRequest,
    PermitReturn,
    Ping,
    Pong,
    Run,
    RunOutcome,
    Search,
    StrikeReport,
    TicketReply,
    TicketRequest,
)
from .packedlimits import pack_limit_message
from .packing import (
    pack_answers,
    pack_feed_update,
    pack_fetch,
    pack_search,
    pack_state,
    pack_strike_report,
    unpack,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
LENGTH_PREFIX = struct.Struct(">I")
PACKED_BIT = 1 << 31

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_Frame = _schema.Frame

_ANSWERED, _NOT_RUN, _UNKNOWN, _NO_OUTCOME = range(4)


def _write_outcome(target: Any, outcome: Outcome | None) -> None:
    match outcome:
        case None:
            target.kind = _NO_OUTCOME
        case Answered(body=body):
            target.kind = _ANSWERED
            target.body = body
        case NotRun(step=step, peer=peer, reason=reason, retry_after_ms=after):
            target.kind = _NOT_RUN
            target.step = step.value
            target.peer = peer
            target.reason = reason.value
            target.retryAfterMs = after
        case Unknown(step=step, peer=peer, reason=reason):
            target.kind = _UNKNOWN
            target.step = step.value
            target.peer = peer
            target.reason = reason.value


def _read_outcome(source: Any) -> Outcome | None:
    kind = source.kind
    if kind == _ANSWERED:
        return Answered(body=bytes(source.body))
    if kind == _NO_OUTCOME:
        return None
    step = Step(source.step)
    reason = Reason(source.reason)
    if kind == _NOT_RUN:
        return NotRun(
            step=step,
            peer=source.peer,
            reason=reason,
            retry_after_ms=source.retryAfterMs,
        )
    if kind == _UNKNOWN:
        return Unknown(step=step, peer=source.peer, reason=reason)
    raise BadFrameError(problem=f"unknown kind of outcome: {kind}")


def _require_outcome(source: Any) -> Outcome:
    outcome = _read_outcome(source)
    if outcome is None:
        raise BadFrameError(problem="the message lacks its outcome")
    return outcome


def _write_precedence(target: Any, precedence: Precedence) -> None:
    if precedence != NO_CUSTOMER:
        written = target.init("precedence")
        written.customer = precedence.customer
        written.weight = precedence.weight
        written.priority = precedence.priority


def _read_precedence(source: Any) -> Precedence:
    return Precedence(
        customer=source.customer, weight=source.weight, priority=source.priority
    )


def _write_message(frame: Any, message: Message) -> None:
    match message:
        case Hello():
            hello = frame.init("hello")
            hello.format = message.format
            hello.deployment = message.deployment
            hello.host = message.host
            hello.incarnation = message.incarnation
        case Ping():
            frame.ping = None
        case Pong():
            frame.pong = None
        case GoingAway():
            frame.goingAway = None
        case Cancel():
            frame.init("cancel").shards = list(message.shards)
        case Run():
            run = frame.init("run")
            run.requestId = message.request_id
            run.service = message.service
            run.group = message.group
            run.leftMs = message.left_ms
            run.body = message.body
            _write_precedence(run, message.precedence)
        case RunOutcome():
            ran = frame.init("ran")
            ran.server = message.server
            _write_outcome(ran.init("outcome"), message.outcome)
        case Fetch():
            fetch = frame.init("fetch")
            fetch.name = message.name
            fetch.atLeast = message.at_least
        case Document():
            document = frame.init("document")
            document.name = message.name
            document.version = message.version
            document.body = message.body
        case TicketRequest():
            ask = frame.init("ticket")
            ask.verb = message.verb
            ask.ticket = message.ticket
            ask.body = message.body
            ask.leftMs = message.left_ms
            _write_precedence(ask, message.precedence)
            _write_outcome(ask.init("outcome"), message.outcome)
        case TicketReply():
            reply = frame.init("ticketReply")
            reply.verdict = message.verdict
            _write_outcome(reply.init("outcome"), message.outcome)


_READERS: dict[str, Callable[[Any], Message]] = {
    "hello": lambda f: Hello(
        format=f.format,
        deployment=f.deployment,
        host=f.host,
        incarnation=f.incarnation,
    ),
    "ping": lambda f: Ping(),
    "pong": lambda f: Pong(),
    "goingAway": lambda f: GoingAway(),
    "cancel": lambda f: Cancel(shards=tuple(f.shards)),
    "run": lambda f: Run(
        request_id=f.requestId,
        service=f.service,
        group=f.group,
        left_ms=f.leftMs,
        body=bytes(f.body),
        precedence=_read_precedence(f.precedence),
    ),
    "ran": lambda f: RunOutcome(server=f.server, outcome=_require_outcome(f.outcome)),
    "fetch": lambda f: Fetch(name=f.name, at_least=f.atLeast),
    "document": lambda f: Document(name=f.name, version=f.version, body=bytes(f.body)),
    "ticket": lambda f: TicketRequest(
        verb=f.verb,
        ticket=f.ticket,
        body=bytes(f.body),
        outcome=_read_outcome(f.outcome),
        left_ms=f.leftMs,
        precedence=_read_precedence(f.precedence),
    ),
    "ticketReply": lambda f: TicketReply(
        verdict=f.verdict, outcome=_read_outcome(f.outcome)
    ),
}


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, with the length prefix."""
    packed = _pack(frame)
    if packed is not None:
        return LENGTH_PREFIX.pack(len(packed) | PACKED_BIT) + packed
    target = _Frame.new_message()
    target.id = frame.id
    _write_message(target, frame.message)
    plain: bytes = target.to_bytes()
    return LENGTH_PREFIX.pack(len(plain)) + plain


def _pack(frame: Frame) -> bytes | None:
    """Return the message encoded by msgpack, or None if Cap'n Proto encodes it."""
    match frame.message:
        case Search() as search:
            return pack_search(frame.id, search)
        case Answers() as answers:
            return pack_answers(frame.id, answers)
        case FeedUpdate() as update:
            return pack_feed_update(frame.id, update)
        case FeedFetch() as fetch:
            return pack_fetch(frame.id, fetch)
        case FeedState() as state:
            return pack_state(frame.id, state)
        case StrikeReport() as report:
            return pack_strike_report(frame.id, report)
        case (
            PermitRequest()
            | PermitGrant()
            | PermitReturn()
            | HandoverRequest()
            | CountHandover()
        ) as message:
            return pack_limit_message(frame.id, message)
    return None


def read_length_prefix(head: bytes | bytearray, start: int) -> tuple[int, bool]:
    """Return the length prefix at `start`, and whether the message is msgpack."""
    (word,) = LENGTH_PREFIX.unpack_from(head, start)
    return word & ~PACKED_BIT, bool(word & PACKED_BIT)


def decode_frame(body: bytes, *, is_packed: bool = False) -> Frame:
    """Return the frame in `body`, without length prefix, or raise `BadFrameError`."""
    if is_packed:
        return unpack(body)
    try:
        with _Frame.from_bytes(body) as source:
            which = str(source.which())
            return Frame(id=source.id, message=_READERS[which](getattr(source, which)))
    except BadFrameError:
        raise
    except Exception as error:
        # Cap'n Proto raises exceptions of several types for broken pointers, and
        # invalid text or enum values raise ValueError.
        raise BadFrameError(problem=f"{type(error).__name__}: {error}") from error
