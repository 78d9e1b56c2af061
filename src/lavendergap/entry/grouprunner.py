"""Carries out what a group's scheduler decides: its attempts and connections."""

import logging
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

import trio

from .. import metrics
from ..coordination.calls import (
    AttemptEnded,
    Call,
    CancelAttempt,
    Effect,
    FinishCall,
    ServerReport,
    StartAttempt,
    WithholdHedge,
)
from ..coordination.contentids import identify_content
from ..coordination.hedging import KindLatencies
from ..coordination.scheduler import GroupScheduler
from ..logs import log_decision
from ..protocol.backend import Verdict
from ..state.outcome import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Step,
    Unknown,
    is_server_end,
)
from ..state.settings import Group, Server, Service, Settings
from ..transport.backend import BackendClient
from ..transport.forward import ForwardClient
from .batch import Batch, FinishCallback, SubmittedCall
from .timerqueue import Timer, TimerQueue

logger = logging.getLogger("lavendergap.route")


class Cancellable(Protocol):
    """A running attempt."""

    def cancel(self) -> None:
        """Cancel the attempt, which ends with an outcome soon after."""


class Client(Protocol):
    """The connections to one backend server, as a group uses them."""

    server: Server

    async def call(self, call: Call, *, attempt: bytes, fresh: bool) -> Verdict:
        """Make one attempt at a call."""

    async def probe(self) -> ServerReport | None:
        """Request the server's health; None if it does not answer."""

    async def close_idle(self, *, now: float) -> None:
        """Close connections that have been idle for too long."""

    async def close(self) -> None:
        """Close every idle connection."""


# Makes the connections to a backend server; tests replace it by a fake.
MakeClient = Callable[[Server, float], Client]


def make_backend_client(server: Server, idle_timeout_s: float) -> Client:
    """Return the connections to `server`, idle ones kept for `idle_timeout_s`."""
    return BackendClient(server=server, idle_timeout_s=idle_timeout_s)


class GroupRunner:
    """One group's scheduler, its connections and the attempts that are running."""

    def __init__(
        self,
        *,
        group: Group,
        service: Service,
        settings: Settings,
        nursery: trio.Nursery,
        random: Random,
        attempt_prefix: str,
        make_client: MakeClient,
        data_centre: str,
        kinds: KindLatencies,
        timers: TimerQueue,
        may_warm: Callable[[], bool],
    ) -> None:
        self.group = group
        self.service = service
        self.last_used_at = trio.current_time()
        self.scheduler = GroupScheduler(
            group=group,
            service=service,
            control=settings.control,
            random=random,
            data_centre=data_centre,
            kinds=kinds,
            may_warm=may_warm,
        )
        self._settings = settings
        self._nursery = nursery
        self._attempt_prefix = attempt_prefix
        self._make_client = make_client
        self._clients: dict[str, Client] = {}
        self._finishes: dict[int, FinishCallback] = {}
        self._running: dict[int, Cancellable] = {}
        self._versions: dict[str, tuple[int, ...]] = {}
        self._timers = timers
        self._timer = Timer(wake=self._advance)
        self._scope = trio.CancelScope()
        self._attempt_counters = {
            cause: metrics.attempts.labels(service.name, cause)
            for cause in ("first", "retry", "hedge")
        }
        self._add_clients(group)
        nursery.start_soon(self._run)

    def _add_clients(self, group: Group) -> None:
        idle_timeout_s = self._settings.control.idle_connection_ms / 1_000
        before, self._clients = self._clients, {}
        for server in group.servers:
            held = before.get(server.name)
            if held is not None and held.server.is_same_process(server):
                held.server = server
                self._clients[server.name] = before.pop(server.name)
            else:
                self._clients[server.name] = self._make_client(server, idle_timeout_s)
        for client in before.values():
            # Otherwise its connections would stay open to a process that has ended or
            # takes no new work, and count against that server's limit.
            self._nursery.start_soon(client.close)

    def replace(self, *, group: Group, service: Service, settings: Settings) -> None:
        """Apply new settings; running calls finish under the old ones."""
        self.group = group
        self.service = service
        self._settings = settings
        self._add_clients(group)
        self.apply(
            self.scheduler.replace(
                group=group,
                service=service,
                control=settings.control,
                now=trio.current_time(),
            )
        )

    def submit(self, submitted: SubmittedCall, batch: Batch) -> list[StartAttempt]:
        """Submit a call; return the attempts that start at once, for the log."""
        now = trio.current_time()
        self.last_used_at = now
        self._finishes[submitted.call.call_id] = batch.track(submitted.finish)
        effects = self.scheduler.submit(
            submitted.call, now=now, may_hedge=batch.may_hedge
        )
        return self.apply(effects, is_in_plan=True)

    def cancel(self, call_id: int) -> None:
        """Cancel a call whose result is no longer needed."""
        if call_id in self._finishes:
            self.apply(self.scheduler.cancel(call_id, now=trio.current_time()))

    def stop(self) -> None:
        """Refuse queued calls; running ones go on."""
        self.apply(self.scheduler.stop(now=trio.current_time()))

    @property
    def is_busy(self) -> bool:
        """Whether any call has not ended yet."""
        return bool(self._finishes) or bool(self._running)

    def close(self) -> None:
        """End the group's tasks; call it only while the group is not busy."""
        self._scope.cancel()

    def apply(
        self, effects: list[Effect], *, is_in_plan: bool = False
    ) -> list[StartAttempt]:
        """Carry out effects in order; return the attempts started.

        First attempts are not logged if the "plan" event lists them (`is_in_plan`).
        """
        starts = []
        for effect in effects:
            match effect:
                case StartAttempt():
                    starts.append(effect)
                    self._attempt_counters[effect.cause].inc()
                    self._launch(effect)
                    if not is_in_plan or effect.cause != "first":
                        self._log_start(effect)
                case CancelAttempt(attempt_id=attempt_id):
                    running = self._running.get(attempt_id)
                    if running is not None:
                        running.cancel()
                case FinishCall():
                    self._finish(effect)
                case WithholdHedge():
                    log_decision(
                        logger,
                        "hedge withheld",
                        request_id=effect.call.request_id,
                        shard=effect.call.shard,
                        why=effect.why,
                    )
        self._timers.set(self._timer, self.scheduler.next_wake())
        return starts

    def _log_start(self, effect: StartAttempt) -> None:
        log_decision(
            logger,
            effect.cause,
            request_id=effect.call.request_id,
            shard=effect.call.shard,
            server=effect.server,
            why=effect.why,
        )

    def _finish(self, effect: FinishCall) -> None:
        finish = self._finishes.pop(effect.call.call_id)
        outcome = effect.outcome
        if not isinstance(outcome, Answered):
            log_decision(
                logger,
                "no answer",
                request_id=effect.call.request_id,
                shard=effect.call.shard,
                server=effect.server,
                step=outcome.step.value,
                peer=outcome.peer,
                reason=outcome.reason.value,
                n_attempts=effect.n_attempts,
            )
        finish(effect, self._versions.get(effect.server, ()))

    def _launch(self, effect: StartAttempt) -> None:
        """Start an attempt.

        Before the attempt's task first runs, new settings may remove the server and the
        call may be cancelled. The connections are therefore looked up here, not in the
        task, and the attempt can be cancelled from here on.
        """
        started = trio.current_time()
        match self._clients[effect.server]:
            case ForwardClient() as client:
                self._running[effect.attempt_id] = client.begin(
                    effect.call,
                    fresh=effect.fresh_connection,
                    end=partial(self._end_attempt, effect, started),
                )
            case client:
                scope = trio.CancelScope()
                self._running[effect.attempt_id] = scope
                self._nursery.start_soon(self._attempt, effect, client, scope)

    async def _attempt(
        self, effect: StartAttempt, client: Client, scope: trio.CancelScope
    ) -> None:
        started = trio.current_time()
        attempt = (
            f"{self._attempt_prefix}-{self.group.name}-{effect.attempt_id}".encode()
        )
        verdict = Verdict(outcome=_make_cancelled(effect.server), report=None)
        with scope:
            verdict = await self._call(client, effect, attempt)
        self._end_attempt(effect, started, verdict)

    def _end_attempt(
        self, effect: StartAttempt, started: float, verdict: Verdict
    ) -> None:
        del self._running[effect.attempt_id]
        now = trio.current_time()
        if not isinstance(verdict.outcome, Answered):
            self._count_failure(verdict.outcome)
            self._log_server_end(effect, verdict.outcome, now - started)
        if verdict.report is not None:
            self._versions[effect.server] = verdict.report.versions
        self.apply(
            self.scheduler.end_attempt(
                AttemptEnded(
                    attempt_id=effect.attempt_id,
                    outcome=verdict.outcome,
                    report=verdict.report,
                    elapsed=now - started,
                ),
                now=now,
            )
        )

    async def _call(
        self, client: Client, effect: StartAttempt, attempt: bytes
    ) -> Verdict:
        """Make the call; an unexpected exception fails this attempt only.

        Propagated, it would end the process and every request on this host.
        """
        try:
            return await client.call(
                effect.call, attempt=attempt, fresh=effect.fresh_connection
            )
        except Exception:
            logger.exception("attempt at %s failed", effect.server)
            outcome = Unknown(
                step=Step.SEND, peer=effect.server, reason=Reason.SERVER_ERROR
            )
            return Verdict(outcome=outcome, report=None)

    def _count_failure(self, outcome: Outcome) -> None:
        match outcome:
            case NotRun(reason=reason) | Unknown(reason=reason):
                metrics.attempt_ends.labels(self.service.name, reason.value).inc()
                if reason is Reason.WRONG_ANSWER:
                    metrics.dropped_answers.labels("wrong answer of a server").inc()

    def _log_server_end(
        self, effect: StartAttempt, outcome: Outcome, elapsed: float
    ) -> None:
        """Log which request a server crashed on, with its content id."""
        call = effect.call
        if call.forward is None or not is_server_end(outcome):
            return
        log_decision(
            logger,
            "server ended",
            request_id=call.request_id,
            content=identify_content(call.forward, call.body),
            shard=call.shard,
            server=effect.server,
            cause=effect.cause,
            after_ms=round(elapsed * 1_000, 1),
        )

    async def _run(self) -> None:
        """Probe the servers until the group is closed; then close its connections."""
        with self._scope:
            await self._keep_probing()
        self._timers.clear(self._timer)
        with trio.CancelScope(shield=True):
            for client in self._clients.values():
                await client.close()

    def _advance(self) -> None:
        if self.scheduler.next_wake() is None:
            return  # All calls for which the timer was set have ended.
        self.apply(self.scheduler.advance(now=trio.current_time()))

    async def _keep_probing(self) -> None:
        """Probe each server's health periodically, one server after the other."""
        while True:
            for server in self.group.servers:
                client = self._clients.get(server.name)
                if client is None:
                    continue  # New settings removed it while another server was probed.
                report = await client.probe()
                now = trio.current_time()
                self.apply(self.scheduler.observe(server.name, report, now=now))
                await client.close_idle(now=now)
            await trio.sleep(self._settings.control.server_probe_interval_ms / 1_000)


def _make_cancelled(server: str) -> Outcome:
    return Unknown(step=Step.RECEIVE, peer=server, reason=Reason.CANCELLED)
