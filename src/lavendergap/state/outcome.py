"""Outcomes of requests and calls, as tagged data classes.

Each outcome other than an answer carries the step that failed and the peer involved,
for log lines and error bodies.
"""

from dataclasses import dataclass
from enum import StrEnum


class Step(StrEnum):
    """The steps of a request, in order."""

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
    OVER_LIMIT = "over limit"


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A complete answer, with the `body` that the backend server sent.

    `status` and `headers` are the server's if its answer is forwarded unchanged. An
    answer that is merged with others keeps at most its proof header.
    """

    body: bytes
    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request did not run: nothing was sent, or the server reported so.

    `retry_after_ms` is how long the caller should wait before a retry; 0 if not known.
    """

    step: Step
    peer: str
    reason: Reason
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may have run. Only an idempotent call may be retried."""

    step: Step
    peer: str
    reason: Reason


Outcome = Answered | NotRun | Unknown


def is_server_end(outcome: Outcome) -> bool:
    """Return whether the server process ended while it handled the request."""
    return isinstance(outcome, Unknown) and outcome.reason is Reason.SERVER_ENDED


@dataclass(frozen=True, kw_only=True, slots=True)
class MissingShard:
    """A shard that an answer does not cover, and the reason."""

    shard: str
    reason: Reason
    step: Step
    peer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Coverage:
    """The part of a snapshot that an answer covers.

    `share` is the sum of the answered shards' shares of the library, from 0 to 1, by
    the snapshot's partition map. Only verified answers count.
    """

    n_asked: int
    n_answered: int
    share: float
    missing: tuple[MissingShard, ...]
