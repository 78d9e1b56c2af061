"""State of a call and of its attempts in the scheduler."""

from collections.abc import Callable

from ..state.outcome import NotRun, Reason, Unknown
from ..state.settings import Server
from .calls import Call, Cause
from .replicas import Replica

NO_REPLICAS: frozenset[Replica] = frozenset()


class Attempt:
    """An attempt in flight; it holds a slot of `replica` until the transport ends it.

    `progress` is None once the call is finished and only the slot is still held.
    """

    __slots__ = (
        "attempt_id",
        "progress",
        "replica",
        "cause",
        "fresh",
        "started",
        "call",
    )

    def __init__(
        self,
        *,
        attempt_id: int,
        progress: "Progress",
        replica: Replica,
        cause: Cause,
        fresh: bool,
        started: float,
        call: Call,
    ) -> None:
        self.attempt_id = attempt_id
        self.progress: Progress | None = progress
        self.replica = replica
        self.cause = cause
        self.fresh = fresh
        self.started = started
        self.call = call


class Progress:
    """A call that is queued or running.

    `servers` has the server of each attempt that was started, those still running among
    them; `n_not_run` counts the attempts with proof that they did not run.
    `unknown` is the first outcome with which the call may have run; once it is set, the
    call never ends as "not run". `refusal` is the last outcome that proves an attempt
    has not run. `may_hedge` is called before each hedge. With `fresh` the next attempt
    needs a new connection. `excluded` and `tried` hold `Replica` objects and not names,
    as a restarted server has refused and failed nothing.
    """

    __slots__ = (
        "call",
        "attempts",
        "servers",
        "n_not_run",
        "cause",
        "fresh",
        "excluded",
        "tried",
        "unknown",
        "refusal",
        "server",
        "n_hedges",
        "is_waiting",
        "is_hedge_withheld",
        "may_hedge",
    )

    def __init__(self, *, call: Call, may_hedge: Callable[[], bool]) -> None:
        self.call = call
        self.may_hedge = may_hedge
        self.attempts: list[Attempt] = []
        self.servers: list[Server] = []
        self.n_not_run = 0
        self.cause: Cause = "first"
        self.fresh = False
        self.excluded = NO_REPLICAS
        self.tried = NO_REPLICAS
        self.unknown: Unknown | None = None
        self.refusal: NotRun | None = None
        self.server = ""
        self.n_hedges = 0
        self.is_waiting = False
        self.is_hedge_withheld = False

    def count_servers(self) -> int:
        """Count the different servers of all attempts."""
        servers = self.servers
        if len(servers) < 2:
            return len(servers)
        return sum(
            not any(server.is_same_process(other) for other in servers[:index])
            for index, server in enumerate(servers)
        )

    def note_failure(self, outcome: NotRun | Unknown, replica: Replica) -> None:
        """Record a failed attempt and the servers that the next should avoid."""
        self.server = replica.server.name
        match outcome:
            case NotRun():
                self.n_not_run += 1
                self._note_refusal(outcome, replica)
            case Unknown(reason=reason):
                self.unknown = self.unknown or outcome
                self.tried |= {replica}
                if reason in (Reason.SILENT_CONNECTION, Reason.LOST_CONNECTION):
                    self.fresh = True

    def _note_refusal(self, outcome: NotRun, replica: Replica) -> None:
        # "Version gone" is kept over later refusals, as it makes the coordinator start
        # again at another version.
        if self.refusal is None or self.refusal.reason is not Reason.VERSION_GONE:
            self.refusal = outcome
        # A server that sheds load is not excluded: its backoff keeps calls away from
        # it.
        if outcome.reason is not Reason.SHED:
            self.excluded |= {replica}

    def get_failure(self) -> NotRun | Unknown | None:
        """Return the outcome so far: "unknown" if any attempt may have run."""
        return self.unknown or self.refusal
