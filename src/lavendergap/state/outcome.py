"""What became of a request or of one call, as tagged outcomes.

Each outcome that is not an answer carries the step at which it arose and the peer
it arose with, so that a log line or an error body needs no guesswork.
"""

from dataclasses import dataclass
from enum import StrEnum


class Step(StrEnum):
    """The steps of a request, in their order."""

    ADMIT = "admit"
    PIN = "pin"
    ROUTE = "route"
    QUEUE = "queue"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    CHECK = "check"
    RECORD = "record"


class Reason(StrEnum):
    """Why a call or a request has no answer."""

    SHED = "shed"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    REFUSED_CONNECTION = "refused connection"
    LOST_CONNECTION = "lost connection"
    SILENT_CONNECTION = "silent connection"
    SERVER_ENDED = "server ended"
    HELD_BACK = "held back"
    VERSION_GONE = "version gone"
    WRONG_ANSWER = "wrong answer"
    SERVER_ERROR = "server error"
    NO_REPLICA = "no replica"
    STRAGGLER = "straggler"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    NOT_READY = "not ready"
    UNKNOWN_SERVICE = "unknown service"
    WITNESS_LOST = "witness lost"
    ISSUER_LOST = "issuer lost"
    VOID = "void"
    EXPIRED = "expired"


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The whole answer: `body` is what the backend server sent.

    `status` and `headers` are the server's own too, where a caller gets its answer
    unchanged; an answer that is joined with others has no use for them.
    """

    body: bytes
    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Proved never to have run: no byte left, or the server itself said so.

    `retry_after_ms` tells the caller when to come back.
    """

    step: Step
    peer: str
    reason: Reason
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """May or may not have run. An idempotent call may be tried again; others not."""

    step: Step
    peer: str
    reason: Reason


Outcome = Answered | NotRun | Unknown


def is_server_end(outcome: Outcome) -> bool:
    """Tell whether the server of a request ended while it had it."""
    return isinstance(outcome, Unknown) and outcome.reason is Reason.SERVER_ENDED


@dataclass(frozen=True, kw_only=True, slots=True)
class Missing:
    """A shard that an answer does not cover, and why."""

    shard: str
    reason: Reason
    step: Step
    peer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Coverage:
    """The part of a snapshot that an answer covers.

    `share` is the sum of the answered shards' shares of the library, from 0 to 1,
    taken from the snapshot's partition map and only from checked answers.
    """

    n_asked: int
    n_answered: int
    share: float
    missing: tuple[Missing, ...]
