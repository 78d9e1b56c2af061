"""Joins the shards' answers into one answer, and decides when to stop waiting."""

from dataclasses import dataclass
from statistics import median

from ..state.outcome import (
    Answered,
    Coverage,
    MissingShard,
    NotRun,
    Outcome,
    Reason,
    Step,
    Unknown,
)
from ..state.settings import (
    AnswerByGoal,
    GiveUpStragglers,
    StragglerPolicy,
    WaitForCoverage,
)
from ..state.snapshot import Shard, Snapshot

# Sums of shares, such as 20 times 0.05, may fall short of 1 by rounding.
SHARE_TOLERANCE = 1e-9
# Lower bound of the wait for stragglers, in seconds, when answers take microseconds.
MIN_PATIENCE_S = 0.002


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardBody:
    """The answer of one shard."""

    shard: str
    body: bytes


class Join:
    """The answers to one query, which is pinned to one snapshot.

    `started` and `deadline` are in seconds on the event loop's clock. Each shard counts
    once, with its first outcome. Coverage is computed from received answers only, so it
    never includes a shard whose answer did not arrive.

    >>> shards = tuple(Shard(name=n, group=n, share=0.5) for n in ("s0", "s1"))
    >>> join = Join(
    ...     snapshot=Snapshot(service="fleet", version=7, shards=shards),
    ...     policy=GiveUpStragglers(min_share=0.5, patience=2.0),
    ...     started=0.0,
    ...     deadline=0.28,
    ... )
    >>> join.add("s0", Answered(body=b"{}"), "fleet-00-a", now=0.010)
    >>> round(join.next_wake(), 3)
    0.03
    >>> join.advance(now=0.030)
    >>> join.is_done, join.give_up(), join.coverage().share
    (True, ['s1'], 0.5)
    """

    __slots__ = (
        "snapshot",
        "policy",
        "started",
        "deadline",
        "is_done",
        "needs_newer_snapshot",
        "n_ignored",
        "_pending",
        "_answers",
        "_missing",
        "_answer_times",
        "_share",
        "_lost_share",
        "_give_up_at",
    )

    def __init__(
        self,
        *,
        snapshot: Snapshot,
        policy: StragglerPolicy,
        started: float,
        deadline: float,
    ) -> None:
        self.snapshot = snapshot
        self.policy = policy
        self.started = started
        self.deadline = deadline
        self.is_done = not snapshot.shards
        self.needs_newer_snapshot = False
        self.n_ignored = 0
        self._pending: dict[str, Shard] = {s.name: s for s in snapshot.shards}
        self._answers: dict[str, bytes] = {}
        self._missing: dict[str, MissingShard] = {}
        self._answer_times: list[float] = []
        self._share = 0.0
        self._lost_share = 0.0
        self._give_up_at: float | None = None

    def add(self, shard: str, outcome: Outcome, server: str, *, now: float) -> None:
        """Add the outcome of one shard's call.

        An outcome for a shard that was not asked or already has one, or that arrives
        when the query is done, only increments `n_ignored`: the reported coverage must
        stay true.
        """
        if self.is_done or shard not in self._pending:
            self.n_ignored += 1
            return
        pending_shard = self._pending.pop(shard)
        self._lost_share += pending_shard.share
        match outcome:
            case Answered(body=body):
                self._answers[shard] = body
                self._share += pending_shard.share
                self._lost_share -= pending_shard.share
                self._answer_times.append(now - self.started)
            case NotRun(step=step, peer=peer, reason=reason):
                self._record_missing(shard, reason, step, peer or server)
                if reason is Reason.VERSION_GONE:
                    self._require_newer_snapshot()
            case Unknown(step=step, peer=peer, reason=reason):
                self._record_missing(shard, reason, step, peer or server)
        if not self._pending:
            self.is_done = True
        self._update_give_up_time(now)

    def advance(self, *, now: float) -> None:
        """Stop waiting if the wait for stragglers or the deadline has passed."""
        wake = self.next_wake()
        if wake is not None and wake <= now:
            self.is_done = True

    def next_wake(self) -> float | None:
        """Return when to call `advance` next, or None when the query is done."""
        if self.is_done:
            return None
        if self._give_up_at is None:
            return self.deadline
        return min(self.deadline, self._give_up_at)

    def give_up(self) -> list[str]:
        """Stop waiting and return the stragglers, whose calls are to be cancelled.

        These are the shards without an outcome.
        """
        self.is_done = True
        return list(self._pending)

    def coverage(self) -> Coverage:
        """Return how much of the snapshot the answers cover so far."""
        missing = [
            self._missing.get(shard.name) or self._make_straggler(shard)
            for shard in self.snapshot.shards
            if shard.name not in self._answers
        ]
        return Coverage(
            n_asked=len(self.snapshot.shards),
            n_answered=len(self._answers),
            share=min(1.0, self._share) if missing else 1.0,
            missing=tuple(missing),
        )

    def results(self) -> list[ShardBody]:
        """Return the answered shards and their answers, in the snapshot's order."""
        return [
            ShardBody(shard=shard.name, body=self._answers[shard.name])
            for shard in self.snapshot.shards
            if shard.name in self._answers
        ]

    def _record_missing(
        self, shard: str, reason: Reason, step: Step, peer: str
    ) -> None:
        self._missing[shard] = MissingShard(
            shard=shard, reason=reason, step=step, peer=peer
        )

    def _make_straggler(self, shard: Shard) -> MissingShard:
        return MissingShard(
            shard=shard.name,
            reason=Reason.STRAGGLER,
            step=Step.RECEIVE,
            peer=shard.group,
        )

    def _require_newer_snapshot(self) -> None:
        # The shard no longer serves this version, and an answer that mixed versions
        # could contain a record twice or not at all. The caller restarts the query with
        # another snapshot if time allows, else it reports the shard as not covered.
        self.needs_newer_snapshot = True

    def _update_give_up_time(self, now: float) -> None:
        match self.policy:
            case GiveUpStragglers(min_share=min_share, patience=patience):
                if (
                    self._give_up_at is None
                    and self._share + SHARE_TOLERANCE >= min_share
                ):
                    wait = max(MIN_PATIENCE_S, patience * median(self._answer_times))
                    self._give_up_at = now + wait
            case AnswerByGoal(min_share=min_share, goal_ms=goal_ms):
                if self._share + SHARE_TOLERANCE >= min_share:
                    self._give_up_at = max(now, self.started + goal_ms / 1_000)
                elif self._lost_share > 1.0 - min_share + SHARE_TOLERANCE:
                    # The remaining shards cannot reach `min_share`, so the caller gets
                    # the answer now and not at its deadline.
                    self.is_done = True
            case WaitForCoverage():
                pass
