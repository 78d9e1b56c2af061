"""Groups, calls and schedulers for the tests of the group scheduler."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lavendergap.coordination.calls import (
    AttemptEnded,
    Call,
    Effect,
    FinishCall,
    ServerReport,
    ServerState,
    StartAttempt,
)
from lavendergap.coordination.hedging import KindLatencies
from lavendergap.coordination.scheduler import GroupScheduler
from lavendergap.state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from lavendergap.state.settings import (
    Address,
    Control,
    Group,
    Server,
    Service,
    WaitForCoverage,
)

ANSWER = Answered(body=b"{}")


def make_group(
    names: str = "ab", *, slots: int = 2, port: int = 20_000, connections: int = 25
) -> Group:
    servers = tuple(
        Server(
            name=name,
            address=Address(ip="127.0.0.1", port=port + ord(name)),
            data_centre="ptl-a",
            slots=slots,
            connections=connections,
        )
        for name in names
    )
    return Group(name="scheduler-00", servers=servers)


def make_service(group: Group, **changes: Any) -> Service:
    options: dict[str, Any] = {
        "name": "scheduler",
        "idempotent": True,
        "groups": (group,),
        "deadline_ms": 280,
        "stragglers": WaitForCoverage(),
        "hedge_budget": 0.05,
        "hedge_after_quantile": 0.95,
        "retry_budget": 0.1,
        "queue_limit": 20,
        "max_body_bytes": 1_000,
        "weight": 1.0,
    }
    return Service(**(options | changes))


def make_report(
    state: ServerState = "serving",
    *,
    versions: tuple[int, ...] = (),
    in_use: int = 0,
    queued: int = 0,
) -> ServerReport:
    return ServerReport(
        in_use=in_use, slots=2, queued=queued, state=state, versions=versions
    )


def refuse(reason: Reason, *, retry_after_ms: int = 0) -> NotRun:
    return NotRun(
        step=Step.RECEIVE, peer="a", reason=reason, retry_after_ms=retry_after_ms
    )


def lose(reason: Reason) -> Unknown:
    return Unknown(step=Step.RECEIVE, peer="a", reason=reason)


@dataclass
class Owner:
    """Drives a scheduler by hand; `now` moves only when a test moves it."""

    scheduler: GroupScheduler
    now: float = 100.0
    check: Callable[[list[Effect]], None] | None = None
    n_calls: int = 0
    finished: dict[int, FinishCall] = field(default_factory=dict)
    started: list[StartAttempt] = field(default_factory=list)
    open: dict[int, StartAttempt] = field(default_factory=dict)

    def take(self, effects: list[Effect]) -> list[Effect]:
        for effect in effects:
            match effect:
                case StartAttempt():
                    self.started.append(effect)
                    self.open[effect.attempt_id] = effect
                case FinishCall():
                    assert effect.call.call_id not in self.finished
                    self.finished[effect.call.call_id] = effect
        if self.check is not None:
            self.check(effects)
        return effects

    def submit(
        self,
        *,
        in_ms: float = 280,
        version: int = 7,
        idempotent: bool = True,
        request_id: str = "r-1",
        max_attempts: int = 0,
        is_repeat: bool = False,
        goal_ms: float | None = None,
        priority: int = 0,
        kind: str = "",
        customer: str = "",
        weight: float = 1.0,
    ) -> Call:
        self.n_calls += 1
        call = Call(
            call_id=self.n_calls,
            request_id=request_id,
            service="scheduler",
            group="scheduler-00",
            shard="s00",
            version=version,
            deadline=self.now + in_ms / 1000,
            body=b"{}",
            idempotent=idempotent,
            max_attempts=max_attempts,
            is_repeat=is_repeat,
            priority=priority,
            kind=kind,
            customer=customer,
            weight=weight,
            goal_at=0.0 if goal_ms is None else self.now + goal_ms / 1000,
        )
        self.take(self.scheduler.submit(call, now=self.now))
        return call

    def end(
        self,
        attempt_id: int,
        outcome: Outcome = ANSWER,
        report: ServerReport | None = None,
        elapsed: float = 0.010,
    ) -> list[Effect]:
        del self.open[attempt_id]
        ended = AttemptEnded(
            attempt_id=attempt_id, outcome=outcome, report=report, elapsed=elapsed
        )
        return self.take(self.scheduler.end_attempt(ended, now=self.now))

    def get_refusal(self, call_id: int) -> NotRun:
        """Return the outcome of a call that was not run."""
        outcome = self.finished[call_id].outcome
        assert isinstance(outcome, NotRun)
        return outcome

    def end_last(
        self, outcome: Outcome = ANSWER, report: ServerReport | None = None
    ) -> list[Effect]:
        return self.end(self.started[-1].attempt_id, outcome, report)

    def observe(self, server: str, report: ServerReport | None) -> None:
        self.take(self.scheduler.observe(server, report, now=self.now))

    def move(self, seconds: float) -> None:
        """Let time pass and call `advance` whenever the scheduler has something due."""
        until = self.now + seconds
        while (wake := self.scheduler.next_wake()) is not None and wake <= until:
            self.now = max(self.now, wake)
            self.take(self.scheduler.advance(now=self.now))
            again = self.scheduler.next_wake()
            assert again is None or again > self.now, (
                "advance would be called in a loop"
            )
        self.now = until

    def warm_up(self, n_calls: int = 64, elapsed: float = 0.010) -> None:
        """Run calls so that the scheduler has latencies."""
        for _ in range(n_calls):
            self.submit()
            self.now += elapsed
            self.end(self.started[-1].attempt_id, elapsed=elapsed)


def make_owner(
    names: str = "ab",
    *,
    slots: int = 2,
    seed: int = 1,
    data_centre: str = "",
    group: Group | None = None,
    kinds: KindLatencies | None = None,
    **changes,
) -> Owner:
    group = group or make_group(names, slots=slots)
    scheduler = GroupScheduler(
        group=group,
        service=make_service(group, **changes),
        control=Control(),
        random=Random(seed),
        data_centre=data_centre,
        kinds=kinds,
    )
    return Owner(scheduler=scheduler)
