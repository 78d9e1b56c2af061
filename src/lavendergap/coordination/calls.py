"""Calls to one group of replicas, and the messages of the scheduler that runs them.

What happens comes in as `ServerReport` and `AttemptEnded`; what is to be done comes
out as effects, which the owner of the group carries out in the order given.
"""

from dataclasses import dataclass
from typing import Literal

from ..state.forwarding import ForwardedRequest
from ..state.outcome import Outcome

ServerState = Literal["serving", "starting", "draining"]
Cause = Literal["first", "retry", "hedge"]
WhyWithheld = Literal["no budget", "no free slot", "no answer yet"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One call to one shard, to be answered by any replica of its group.

    `deadline` is in seconds on the loop's monotonic clock. `version` is the index
    version that the query is pinned to; 0 means that the call is not tied to one.
    `call_id` is unique within the scheduler, `request_id` is for the logs.
    `forward` is set for a request that goes on unchanged. `max_attempts` bounds the
    servers that it is sent to; 0 leaves that to the scheduler. `is_repeat` says that
    another host may have sent it already, so that it counts as an extra call.
    `wanted_by` is the time by which an answer is of most use; 0 where all up to the
    deadline are alike. Calls of one `kind` take about as long at every server, also
    of other groups; where it is empty, the group's own calls are the measure. Of
    calls that wait, those of the lowest `priority` go first. With `ends_with_server` a
    call under which a server has ended is finished: whoever made it sees all shards of
    its query, and decides whether another server gets it. Only servers in
    `data_centres` may run it; None where all may.
    """

    call_id: int
    request_id: str
    service: str
    group: str
    shard: str
    version: int
    deadline: float
    body: bytes
    idempotent: bool
    forward: ForwardedRequest | None = None
    max_attempts: int = 0
    is_repeat: bool = False
    wanted_by: float = 0.0
    priority: int = 0
    kind: str = ""
    ends_with_server: bool = False
    data_centres: frozenset[str] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """What a backend server says of itself, in an answer or to a health probe.

    `versions` are the index versions that it serves now; empty when it did not say.
    """

    in_use: int
    slots: int
    queued: int
    state: ServerState
    versions: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """The transport is done with an attempt and its slot may be used again.

    `elapsed` is the time since the attempt started, in seconds. An attempt that was
    cancelled ends too, with `Reason.CANCELLED`, and only then frees its slot.
    """

    attempt_id: int
    outcome: Outcome
    report: ServerReport | None
    elapsed: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt:
    """Send the call to the server named, by its name in the settings.

    `fresh_connection` forbids a pooled connection: an earlier attempt found one
    silent or lost. `why` names the candidates with their load, for the log.
    """

    attempt_id: int
    call: Call
    server: str
    cause: Cause
    fresh_connection: bool
    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CancelAttempt:
    """Cancel the attempt, then report its end."""

    attempt_id: int


@dataclass(frozen=True, kw_only=True, slots=True)
class FinishCall:
    """The call has its one and final outcome.

    `server` gave the outcome and is empty when no server was reached. `n_attempts`
    counts every attempt that was started, hedges too.
    """

    call: Call
    outcome: Outcome
    server: str
    n_attempts: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WithholdHedge:
    """A slow call gets no second attempt for now; told once for each call.

    Nothing is to be done but to log it: whoever looks for the cause of a late answer
    would else see a slow server, and not why no other was asked.
    """

    call: Call
    why: WhyWithheld


Effect = StartAttempt | CancelAttempt | FinishCall | WithholdHedge
