"""Calls to one group of replicas, and the messages to and from its scheduler.

`ServerReport` and `AttemptEnded` are inputs; the effects are outputs, which the owner
of the group carries out in the order given.
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

    `call_id` is unique within the scheduler. `request_id` is shared by all calls of a
    query: for logs, and to admit the same queries in all groups under overload.
    `version` is the index version that the query is pinned to, or 0 for any. `deadline`
    and `goal_at` are seconds on the loop's monotonic clock. An answer is most useful by
    `goal_at`; 0 means at any time up to the deadline.

    `forward` is set for a request that is forwarded unchanged. `max_attempts` limits
    the different servers that the call is sent to, not the attempts at them that did
    not run; 0 leaves that to the scheduler. `is_repeat` is
    set if another host may have sent the call already; it then counts as an extra call.
    Calls of one `kind` take about as long at every server, also of other groups; if it
    is empty, the call is compared with the group's own calls. Of waiting calls, those
    of the lowest `priority` go first. With `no_retry_after_server_end`, a call is not
    retried after its server ended: its sender sees all shards of the query and decides.
    Only servers in `data_centres` may run the call; None means all. Of waiting calls of
    one priority, those of different `customer`s share the slots by `weight`.
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
    goal_at: float = 0.0
    priority: int = 0
    kind: str = ""
    no_retry_after_server_end: bool = False
    data_centres: frozenset[str] | None = None
    customer: str = ""
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """State that a backend server reports in an answer or to a health probe.

    `versions` are the index versions that it serves now; empty if not reported.
    """

    in_use: int
    slots: int
    queued: int
    state: ServerState
    versions: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptEnded:
    """The transport has ended an attempt, and its slot is free.

    `elapsed` is the time since the attempt started, in seconds. A cancelled attempt
    ends with `Reason.CANCELLED`, and frees its slot only then.
    """

    attempt_id: int
    outcome: Outcome
    report: ServerReport | None
    elapsed: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAttempt:
    """Send the call to `server`, by its name in the settings.

    With `fresh_connection` a pooled connection must not be used, as an earlier attempt
    met a silent or lost one. `why` lists the candidates with their load, for the log.
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
    """The call has its final outcome.

    `server` is where the outcome is from, empty if no server was reached. `n_attempts`
    counts all attempts that were started, hedges included, and `n_servers` the
    different servers of these attempts.
    """

    call: Call
    outcome: Outcome
    server: str
    n_attempts: int
    n_servers: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class WithholdHedge:
    """A slow call gets no hedge for now; sent at most once for each call.

    It is only logged, so that the log of a late answer shows why no other server was
    used.
    """

    call: Call
    why: WhyWithheld


Effect = StartAttempt | CancelAttempt | FinishCall | WithholdHedge
