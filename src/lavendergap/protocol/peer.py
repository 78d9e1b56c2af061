"""The typed messages between entry processes, and their Cap'n Proto codec.

A frame on a channel is four bytes of length, then one encoded message. Decoding
never raises anything but `BadFrameError`, whatever bytes come in.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown

FORMAT = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
LENGTH = struct.Struct(">I")

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_Frame = _schema.Frame


class BadFrameError(Exception):
    """Bytes that are no message of ours; `problem` says why."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """The first message each way: who speaks, and in which format."""

    format: int = FORMAT
    deployment: str
    host: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks for a Pong, to prove that the channel still carries bytes both ways."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Pong:
    """The answer to a Ping."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GoingAway:
    """The sender is stopping: it finishes what runs and wants nothing new."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardRef:
    """A shard to search, and the group of replicas that serves it."""

    shard: str
    group: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Search:
    """One query, for all the shards of it that the receiver owns.

    `left_ms` is the time until the deadline: clocks differ between hosts.
    """

    request_id: str
    service: str
    version: int
    left_ms: int
    body: bytes
    shards: tuple[ShardRef, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardAnswer:
    """The outcome for one shard, and the index versions its server now serves."""

    shard: str
    server: str
    outcome: Outcome
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """Outcomes of a Search, as they come; several in one message when they can."""

    answers: tuple[ShardAnswer, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """The coordinator no longer wants these shards of a Search."""

    shards: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that is not idempotent: the receiver sends it on at most once."""

    request_id: str
    service: str
    group: str
    left_ms: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Ran:
    """What became of a Run."""

    server: str
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class Fetch:
    """Asks for a document at a version of at least `at_least`."""

    name: str
    at_least: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """A document as the sender has it; version 0 when it has none new enough."""

    name: str
    version: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketAsk:
    """An order or a question about one ticket; `verb` names which."""

    verb: str
    ticket: str
    body: bytes = b""
    outcome: Outcome | None = None
    left_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketReply:
    """The verdict on a TicketAsk, with the outcome where one is known."""

    verdict: str
    outcome: Outcome | None = None


Message = (
    Hello
    | Ping
    | Pong
    | GoingAway
    | Search
    | Answers
    | Cancel
    | Run
    | Ran
    | Fetch
    | Document
    | TicketAsk
    | TicketReply
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A message with the id that ties replies to their request."""

    id: int
    message: Message


_ANSWERED, _NOT_RUN, _UNKNOWN, _NO_OUTCOME = range(4)


def _fill_outcome(target: Any, outcome: Outcome | None) -> None:
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
    raise BadFrameError(problem=f"outcome of kind {kind}")


def _need_outcome(source: Any) -> Outcome:
    outcome = _read_outcome(source)
    if outcome is None:
        raise BadFrameError(problem="an outcome is missing")
    return outcome


def _fill(frame: Any, message: Message) -> None:
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
        case Search():
            _fill_search(frame.init("search"), message)
        case Answers():
            _fill_answers(frame.init("answers"), message)
        case Cancel():
            frame.init("cancel").shards = list(message.shards)
        case Run():
            run = frame.init("run")
            run.requestId = message.request_id
            run.service = message.service
            run.group = message.group
            run.leftMs = message.left_ms
            run.body = message.body
        case Ran():
            ran = frame.init("ran")
            ran.server = message.server
            _fill_outcome(ran.init("outcome"), message.outcome)
        case Fetch():
            fetch = frame.init("fetch")
            fetch.name = message.name
            fetch.atLeast = message.at_least
        case Document():
            document = frame.init("document")
            document.name = message.name
            document.version = message.version
            document.body = message.body
        case TicketAsk():
            ask = frame.init("ticket")
            ask.verb = message.verb
            ask.ticket = message.ticket
            ask.body = message.body
            ask.leftMs = message.left_ms
            _fill_outcome(ask.init("outcome"), message.outcome)
        case TicketReply():
            reply = frame.init("ticketReply")
            reply.verdict = message.verdict
            _fill_outcome(reply.init("outcome"), message.outcome)


def _fill_search(target: Any, message: Search) -> None:
    target.requestId = message.request_id
    target.service = message.service
    target.version = message.version
    target.leftMs = message.left_ms
    target.body = message.body
    shards = target.init("shards", len(message.shards))
    for place, ref in enumerate(message.shards):
        entry = shards[place]
        entry.shard = ref.shard
        entry.group = ref.group


def _fill_answers(target: Any, message: Answers) -> None:
    answers = target.init("answers", len(message.answers))
    for place, answer in enumerate(message.answers):
        entry = answers[place]
        entry.shard = answer.shard
        entry.server = answer.server
        entry.versions = list(answer.versions)
        _fill_outcome(entry.outcome, answer.outcome)


def _read_search(source: Any) -> Search:
    return Search(
        request_id=source.requestId,
        service=source.service,
        version=source.version,
        left_ms=source.leftMs,
        body=bytes(source.body),
        shards=tuple(ShardRef(shard=s.shard, group=s.group) for s in source.shards),
    )


def _read_answers(source: Any) -> Answers:
    return Answers(
        answers=tuple(
            ShardAnswer(
                shard=a.shard,
                server=a.server,
                outcome=_need_outcome(a.outcome),
                versions=tuple(a.versions),
            )
            for a in source.answers
        )
    )


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
    "search": _read_search,
    "answers": _read_answers,
    "cancel": lambda f: Cancel(shards=tuple(f.shards)),
    "run": lambda f: Run(
        request_id=f.requestId,
        service=f.service,
        group=f.group,
        left_ms=f.leftMs,
        body=bytes(f.body),
    ),
    "ran": lambda f: Ran(server=f.server, outcome=_need_outcome(f.outcome)),
    "fetch": lambda f: Fetch(name=f.name, at_least=f.atLeast),
    "document": lambda f: Document(name=f.name, version=f.version, body=bytes(f.body)),
    "ticket": lambda f: TicketAsk(
        verb=f.verb,
        ticket=f.ticket,
        body=bytes(f.body),
        outcome=_read_outcome(f.outcome),
        left_ms=f.leftMs,
    ),
    "ticketReply": lambda f: TicketReply(
        verdict=f.verdict, outcome=_read_outcome(f.outcome)
    ),
}


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, its length in front."""
    target = _Frame.new_message()
    target.id = frame.id
    _fill(target, frame.message)
    body: bytes = target.to_bytes()
    return LENGTH.pack(len(body)) + body


def decode_frame(body: bytes) -> Frame:
    """Return the frame in `body` (its length left off), or raise `BadFrameError`."""
    try:
        with _Frame.from_bytes(body) as source:
            which = str(source.which())
            return Frame(id=source.id, message=_READERS[which](getattr(source, which)))
    except BadFrameError:
        raise
    except Exception as error:
        # The library raises its own kinds for broken pointers, and ValueError
        # for text or enums that are not ours; to a reader they are one thing.
        raise BadFrameError(problem=f"{type(error).__name__}: {error}") from error
