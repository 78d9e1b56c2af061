"""Scheduler of the calls to one group: dispatch, queueing, retries and hedges."""

from collections.abc import Callable
from itertools import count
from random import Random

from ..state.outcome import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Step,
    Unknown,
    is_server_end,
)
from ..state.settings import Control, Group, Server, Service
from .admission import Admission, Capacity, compute_retry_after_ms
from .attempts import is_bound, list_candidates, may_try
from .budget import Budget
from .calls import (
    AttemptEnded,
    Call,
    CancelAttempt,
    Cause,
    Effect,
    FinishCall,
    ServerReport,
    StartAttempt,
    WhyWithheld,
    WithholdHedge,
)
from .choice import Busy, Choice, Chosen, NoneLeft, choose, measure_capacity
from .hedging import (
    STRAGGLER_MEDIAN_FACTOR,
    KindLatencies,
    RecentLatencies,
    choose_hedge_delay,
    choose_quantile,
)
from .progress import NO_REPLICAS, Attempt, Progress
from .replicas import FAILURE_WEIGHTS, NEVER, Replica
from .summary import GroupSummary, summarize_server, to_ms
from .timers import CallTimers
from .waiting import WaitingCalls

MIN_HEDGE_DELAY_S = 0.001
# Hedge tokens kept for stragglers. Where latencies hardly vary, the quantile is close
# to the median, and ordinary calls just beyond it would spend every token.
STRAGGLER_HEDGE_TOKENS = 3.0
# How often within one hedge delay a hedge without a free slot is tried again.
HEDGE_TRIES_PER_DELAY = 8
MAX_HEDGES = 2
# A server that has held a call for this many medians is taken to be stalled. If it is
# not, the only effect is that other replicas are preferred for a while.
STALL_MEDIAN_FACTOR = 3.0
# Shorter waits may come from this process and not from a server.
MIN_STALL_S = 0.01
# How many waiting calls without a free replica are skipped per dispatch, so that a long
# queue for one version costs a bounded time at each event.
MAX_SKIPPED_CALLS = 8
# How many retries that wait for the backoff of servers used before are skipped besides,
# so that they do not keep calls behind them from free servers.
MAX_SKIPPED_RETRIES = 32


def _always() -> bool:
    return True


def _never() -> bool:
    return False


class GroupScheduler:
    """Runs the calls to one group on its replicas, within their slots.

    Every method takes the present time and returns the effects to carry out, in order.
    Each submitted call gets exactly one `FinishCall`. Each `StartAttempt` has to be
    followed by exactly one `AttemptEnded`, also after `CancelAttempt`, and holds a slot
    of its server until then. `next_wake` returns when to call `advance` if nothing else
    happens before. Attempt ids count from 1 within the scheduler. All times, a call's
    deadline among them, are seconds of one monotonic clock.

    >>> from lavendergap.state.settings import Address, Server, WaitForCoverage
    >>> server = Server(
    ...     name="scheduler-00-a", address=Address(ip="127.0.0.1", port=9001),
    ...     data_centre="ptl-a", slots=2, connections=25)
    >>> group = Group(name="scheduler-00", servers=(server,))
    >>> service = Service(
    ...     name="scheduler", idempotent=True, groups=(group,), deadline_ms=280,
    ...     stragglers=WaitForCoverage(), hedge_budget=0.05,
    ...     hedge_after_quantile=0.95, retry_budget=0.05, queue_limit=64,
    ...     max_body_bytes=65_536, weight=1.0)
    >>> scheduler = GroupScheduler(
    ...     group=group, service=service, control=Control(), random=Random(1))
    >>> call = Call(
    ...     call_id=1, request_id="r1", service="scheduler", group="scheduler-00",
    ...     shard="s00", version=7, deadline=0.28, body=b"{}", idempotent=True)
    >>> [start] = scheduler.submit(call, now=0.0)
    >>> start.server  # Send the call there, then report how the attempt ended.
    'scheduler-00-a'
    >>> ended = AttemptEnded(
    ...     attempt_id=start.attempt_id, outcome=Answered(body=b"[]"), report=None,
    ...     elapsed=0.005)
    >>> [finish] = scheduler.end_attempt(ended, now=0.005)
    >>> finish.outcome.body, finish.n_attempts
    (b'[]', 1)
    """

    def __init__(
        self,
        *,
        group: Group,
        service: Service,
        control: Control,
        random: Random,
        data_centre: str = "",
        kinds: KindLatencies | None = None,
        may_warm: Callable[[], bool] = _always,
    ) -> None:
        self.group = group
        self.service = service
        self.control = control
        self.random = random
        self.data_centre = data_centre
        self._may_warm = may_warm
        self._replicas = [self._make_replica(server) for server in group.servers]
        self._leaving: list[Replica] = []
        self._calls: dict[int, Progress] = {}
        self._attempts: dict[int, Attempt] = {}
        self._waiting = WaitingCalls()
        # Stragglers whose hedge waits for a free slot. Finished ones are removed when a
        # slot is freed while calls wait.
        self._blocked_hedges: dict[int, Progress] = {}
        self._timers = CallTimers()
        self._attempt_ids = count(1)
        self._group_latencies = RecentLatencies(quantile=choose_quantile(service))
        self._kind_latencies = kinds or KindLatencies()
        self._admission = Admission(latencies=self._group_latencies)
        self._retries = Budget(
            share=service.retry_budget,
            burst=service.extra.retry_burst,
            per_second=service.extra.retries_per_second,
        )
        self._hedges = Budget(
            share=service.hedge_budget,
            burst=service.extra.hedge_burst,
            per_second=service.extra.hedges_per_second,
        )
        self._capacity_opens_at = NEVER
        self._is_stopping = False
        self._n_calls = 0
        self._n_refused = 0
        self._n_retries = 0
        self._n_hedges = 0
        self._n_budget_denials = 0

    def _make_replica(self, server: Server, ramp_starts_at: float = -NEVER) -> Replica:
        # Each data centre has one host that warms up its cold servers.
        is_near = server.data_centre == self.data_centre
        may_warm = self._may_warm if is_near else _never
        return Replica(server=server, ramp_starts_at=ramp_starts_at, may_warm=may_warm)

    # Events.

    def submit(
        self, call: Call, *, now: float, may_hedge: Callable[[], bool] = _always
    ) -> list[Effect]:
        """Start a call, queue it for a slot, or refuse it.

        A call that is not expected to finish before its deadline, given the calls ahead
        of it and recent latencies, is refused as not run: a late answer would use a
        slot for nothing. The call is hedged only while `may_hedge` returns true. Raises
        ValueError if a call with this id is unfinished.
        """
        if call.call_id in self._calls:
            raise ValueError(f"call {call.call_id} was already submitted")
        progress = Progress(call=call, may_hedge=may_hedge)
        self._n_calls += 1
        self._admission.arrivals.add(now=now)
        self._retries.record_call()
        if call.idempotent:
            self._hedges.record_call()
        if self._is_stopping:
            return [self._refuse(progress, Step.ADMIT, Reason.STOPPING)]
        if call.deadline <= now:
            return [self._refuse(progress, Step.ADMIT, Reason.DEADLINE)]
        if call.is_repeat and not self._retries.try_spend(now=now):
            self._n_budget_denials += 1
            return [self._refuse(progress, Step.ADMIT, Reason.OVERLOADED)]
        if not self._waiting:
            match self._choose(progress, now):
                case Chosen() as chosen:
                    self._calls[call.call_id] = progress
                    return [self._start(progress, chosen, progress.cause, now)]
                case NoneLeft(reason=reason):
                    return [self._refuse(progress, Step.ROUTE, reason)]
        return self._admit(progress, now)

    def end_attempt(self, ended: AttemptEnded, *, now: float) -> list[Effect]:
        """Record the end of an attempt and free its slot."""
        attempt = self._attempts.pop(ended.attempt_id, None)
        if attempt is None:
            return []
        self._record_end(attempt, ended, now)
        effects: list[Effect] = []
        progress = attempt.progress
        if progress is not None:
            progress.attempts.remove(attempt)
            self._handle_outcome(progress, attempt, ended.outcome, now, effects)
        if self._waiting:
            self._start_blocked_hedges(now, effects)
            self._dispatch(now, effects)
        return effects

    def cancel(self, call_id: int, *, now: float) -> list[Effect]:
        """Cancel a call that has no caller left; a finished call is ignored."""
        progress = self._calls.get(call_id)
        if progress is None:
            return []
        effects: list[Effect] = []
        self._end_unanswered(progress, Reason.CANCELLED, effects)
        return effects

    def observe(
        self, server: str, report: ServerReport | None, *, now: float
    ) -> list[Effect]:
        """Record the result of a health probe; None if there was no answer."""
        for replica in self._replicas:
            if replica.server.name != server:
                continue
            if report is None:
                replica.note_no_health(now=now, rng=self.random)
            else:
                replica.note_health(report, now=now)
        return self.advance(now=now)

    def advance(self, *, now: float) -> list[Effect]:
        """Do what is due: end late calls, hedge slow ones, use free slots."""
        effects: list[Effect] = []
        while (call_id := self._timers.pop_due(now)) is not None:
            progress = self._calls.get(call_id)
            if progress is not None and progress.attempts:
                self._run_timer(progress, now, effects)
        if self._waiting:
            self._dispatch(now, effects)
        return effects

    def replace(
        self, *, group: Group, service: Service, control: Control, now: float
    ) -> list[Effect]:
        """Apply changed settings; running calls go on.

        A server that was removed, or has another address, gets no new calls. A new or
        restarted one starts slowly, as its caches are cold, and with a new record:
        slots, queues and failures of the process before do not apply to it. Attempts
        that still run on the old process update only the old record.
        """
        known = {
            (r.server.address, r.server.incarnation): r
            for r in self._leaving + self._replicas
        }
        staying = {r.server.address for r in self._replicas}
        self._replicas = []
        for server in group.servers:
            replica = known.pop((server.address, server.incarnation), None)
            if replica is None:
                replica = self._make_replica(server, ramp_starts_at=now)
            elif server.address not in staying or server.name != replica.server.name:
                # The process at the address may be another one, so the old state does
                # not apply.
                replica.rejoin(now)
            replica.server = server
            self._replicas.append(replica)
        # Kept because their attempts still hold slots: a server that is removed and
        # added again would otherwise be given twice its slots.
        self._leaving = [r for r in known.values() if r.in_flight > 0]
        self.group = group
        self.service = service
        self.control = control
        self._group_latencies.quantile = choose_quantile(service)
        self._retries.replace(
            share=service.retry_budget,
            burst=service.extra.retry_burst,
            per_second=service.extra.retries_per_second,
        )
        self._hedges.replace(
            share=service.hedge_budget,
            burst=service.extra.hedge_burst,
            per_second=service.extra.hedges_per_second,
        )
        return self.advance(now=now)

    def stop(self, *, now: float) -> list[Effect]:
        """End the waiting calls as not run; running calls may finish."""
        self._is_stopping = True
        effects: list[Effect] = []
        for progress in tuple(self._waiting):
            refusal = self._make_refusal(Step.QUEUE, Reason.STOPPING)
            self._finish(progress, progress.unknown or refusal, effects)
        return effects

    def next_wake(self) -> float | None:
        """Return when `advance` next has something to do, or None."""
        wake = self._timers.find_next(self._calls) if self._calls else NEVER
        first_deadline = self._waiting.first_deadline if self._waiting else None
        if first_deadline is not None:
            wake = min(
                wake,
                self._capacity_opens_at,
                first_deadline - self._admission.needed_time,
            )
        return None if wake == NEVER else wake

    def describe(self, *, now: float) -> GroupSummary:
        """Return a summary for logs and the status page."""
        return GroupSummary(
            group=self.group.name,
            n_waiting=len(self._waiting),
            n_running=len(self._calls) - len(self._waiting),
            n_in_flight=len(self._attempts),
            n_calls=self._n_calls,
            n_refused=self._n_refused,
            n_retries=self._n_retries,
            n_hedges=self._n_hedges,
            n_budget_denials=self._n_budget_denials,
            retry_tokens=self._retries.tokens,
            hedge_tokens=self._hedges.tokens,
            hedge_delay_ms=to_ms(self._group_latencies.delay),
            service_time_ms=to_ms(self._group_latencies.mean),
            is_stopping=self._is_stopping,
            servers=tuple(summarize_server(replica, now) for replica in self._replicas),
        )

    # Admission and dispatch.

    def _admit(self, progress: Progress, now: float) -> list[Effect]:
        """Queue a call, in place of a less urgent one if need be, or refuse it."""
        call = progress.call
        capacity = measure_capacity(self._replicas, now)
        n_ahead = self._waiting.count_ahead(call)
        time_left = call.deadline - now
        if capacity.is_cold or not self._admission.can_finish(
            n_ahead=n_ahead, time_left=time_left, capacity=capacity
        ):
            return [self._refuse_overload(progress, capacity, now)]
        effects: list[Effect] = []
        is_full = len(self._waiting) >= self.service.queue_limit
        # What goes ahead of most waiting calls is not what makes the group overloaded.
        is_ahead = bool(call.customer) and 2 * n_ahead <= len(self._waiting)
        if is_full or not (
            is_ahead
            or self._admission.is_in_share(
                call.request_id, n_ahead=n_ahead, time_left=time_left, capacity=capacity
            )
        ):
            replaced = self._waiting.find_replaceable(call, is_full=is_full)
            if replaced is None:
                return [self._refuse_overload(progress, capacity, now)]
            self._displace(replaced, capacity, now, effects)
        elif n_ahead < len(self._waiting):
            self._displace_late(call, capacity, now, effects)
        self._calls[call.call_id] = progress
        self._waiting.add(progress)
        self._dispatch(now, effects)
        return effects

    def _displace_late(
        self, call: Call, capacity: Capacity, now: float, effects: list[Effect]
    ) -> None:
        """End a less urgent call that can no longer finish behind a new one."""
        last = self._waiting.find_replaceable(call, is_full=False)
        if last is None:
            return
        # The new call takes the place of the last one itself in the count.
        n_ahead = self._waiting.count_ahead(last.call)
        time_left = last.call.deadline - now
        if not self._admission.can_finish(
            n_ahead=n_ahead, time_left=time_left, capacity=capacity
        ):
            self._displace(last, capacity, now, effects)

    def _displace(
        self, progress: Progress, capacity: Capacity, now: float, effects: list[Effect]
    ) -> None:
        """End a waiting call as not run, for a more urgent one."""
        self._n_refused += 1
        outcome = self._make_overload_refusal(progress.call, capacity, now)
        self._finish(progress, outcome, effects)

    def _dispatch(self, now: float, effects: list[Effect]) -> None:
        waiting = self._waiting
        for late in waiting.pop_expiring(now=now, needed=self._admission.needed_time):
            self._end_late(late, now, effects)
        n_skipped = n_bound = 0
        for progress in waiting:
            if n_skipped >= MAX_SKIPPED_CALLS + n_bound or not self._has_free_slot(now):
                break
            match self._choose(progress, now):
                case Chosen() as chosen:
                    waiting.take(progress)
                    effects.append(self._start(progress, chosen, progress.cause, now))
                case NoneLeft(reason=reason):
                    outcome = self._make_refusal(Step.ROUTE, reason)
                    self._finish(progress, progress.get_failure() or outcome, effects)
                case Busy():
                    n_skipped += 1
                    if n_bound < MAX_SKIPPED_RETRIES and is_bound(progress):
                        n_bound += 1
        self._capacity_opens_at = min(
            (replica.get_reopen_time(now) for replica in self._replicas), default=NEVER
        )

    def _end_late(self, progress: Progress, now: float, effects: list[Effect]) -> None:
        capacity = measure_capacity(self._replicas, now)
        wait = self._admission.estimate_retry_delay(len(self._waiting), capacity)
        outcome = self._make_refusal(Step.QUEUE, Reason.DEADLINE, wait)
        self._finish(progress, progress.get_failure() or outcome, effects)

    def _has_free_slot(self, now: float) -> bool:
        return any(r.in_flight < r.limit(now) for r in self._replicas)

    def _choose(self, progress: Progress, now: float) -> Choice:
        excluded = progress.excluded
        tried = progress.tried
        if self._attempts:
            tried |= self._find_stalled(now)
        if progress.attempts:
            running = {attempt.replica for attempt in progress.attempts}
            # A hedge on the same server would be held up by the same cause. Once two
            # servers are slow, a running one may be chosen again as a last resort.
            if len(progress.attempts) == 1:
                excluded = excluded | running
            else:
                tried = tried | running
        return choose(
            list_candidates(progress, self._replicas),
            version=progress.call.version,
            excluded=excluded,
            tried=tried,
            fastest_slowness=self._find_fastest_slowness(),
            now=now,
            rng=self.random,
            data_centre=self.data_centre,
            allowed=progress.call.data_centres,
        )

    def _find_fastest_slowness(self) -> float:
        """Return the slowness of the fastest replica, the baseline for the others.

        The group's mean would not do: it follows the replica that gets most calls, the
        near one as a rule. If that one turned slow, the mean would rise with it, and no
        calls would move to the others.
        """
        fastest = 0.0
        for replica in self._replicas:
            slowness = replica.slowness
            if slowness > 0.0 and (slowness < fastest or fastest == 0.0):
                fastest = slowness
        return fastest

    def _find_stalled(self, now: float) -> frozenset[Replica]:
        """Return the servers that have held a call for much longer than usual.

        A server that pauses, for example for a garbage collection, answers nothing for
        a while. Calls sent there meanwhile would wait for the end of the pause or cost
        a hedge, so other replicas are preferred until it answers.
        """
        stalled = [
            attempt.replica
            for attempt in self._attempts.values()
            # No limit is shorter, so most attempts need no look at latencies.
            if now - attempt.started > MIN_STALL_S
            and now - attempt.started > self._get_stall_limit(attempt.call)
        ]
        return frozenset(stalled) if stalled else NO_REPLICAS

    def _get_stall_limit(self, call: Call) -> float:
        median = self._get_latencies(call).median
        return (
            NEVER if median is None else max(MIN_STALL_S, STALL_MEDIAN_FACTOR * median)
        )

    def _start(
        self, progress: Progress, chosen: Chosen, cause: Cause, now: float
    ) -> StartAttempt:
        replica = chosen.replica
        replica.note_start(now)
        attempt = Attempt(
            attempt_id=next(self._attempt_ids),
            progress=progress,
            replica=replica,
            cause=cause,
            fresh=progress.fresh,
            started=now,
            call=progress.call,
        )
        self._attempts[attempt.attempt_id] = attempt
        progress.attempts.append(attempt)
        progress.servers.append(replica.server)
        self._set_timer(progress, now)
        return StartAttempt(
            attempt_id=attempt.attempt_id,
            call=progress.call,
            server=replica.server.name,
            cause=cause,
            fresh_connection=progress.fresh,
            why=chosen.why,
        )

    # Ends of attempts and retries.

    def _record_end(self, attempt: Attempt, ended: AttemptEnded, now: float) -> None:
        replica = attempt.replica
        recent = self._get_latencies(attempt.call)
        median = recent.median
        own_in_flight = replica.in_flight
        replica.in_flight -= 1
        if ended.report is not None:
            replica.note_answer(
                ended.report,
                started=attempt.started,
                own_in_flight=own_in_flight,
                now=now,
            )
        replica.note_end(
            ended.outcome,
            # In medians of the kind of call. In seconds, a replica that served long
            # calls would look slower than one that served short calls, and idle near
            # replicas would be passed over for remote ones.
            elapsed=ended.elapsed / median if median else 1.0,
            fresh=attempt.fresh,
            now=now,
            rng=self.random,
            fastest_slowness=self._find_fastest_slowness(),
        )
        if attempt.progress is None and self._was_cancelled_as_slow(
            attempt, ended, now
        ):
            replica.count_failure(
                FAILURE_WEIGHTS[Reason.DEADLINE], now=now, rng=self.random
            )
        # A hedge runs only when the first attempt is slow. If its fast answers were
        # counted, they would lower the quantile and cause more hedges.
        if attempt.cause == "hedge":
            return
        self._record_latency(self._group_latencies, ended)
        if recent is not self._group_latencies:
            self._record_latency(recent, ended)

    def _record_latency(self, recent: RecentLatencies, ended: AttemptEnded) -> None:
        match ended.outcome:
            case Answered():
                recent.add(ended.elapsed)
            case Unknown(reason=Reason.CANCELLED | Reason.DEADLINE):
                if ended.elapsed >= (recent.median or 0.0):
                    recent.add(ended.elapsed)

    def _get_latencies(self, call: Call) -> RecentLatencies:
        """Return the recent latencies that a call is compared with."""
        if not call.kind:
            return self._group_latencies
        return self._kind_latencies.get(
            call.kind, quantile=self._group_latencies.quantile
        )

    def _was_cancelled_as_slow(
        self, attempt: Attempt, ended: AttemptEnded, now: float
    ) -> bool:
        """Return whether an attempt was cancelled because its server was slow.

        A server that accepts calls and never answers shows no other sign, as each of
        its attempts is cancelled when a hedge wins or at the deadline.
        """
        match ended.outcome:
            case Unknown(reason=Reason.CANCELLED):
                delay = self._get_latencies(attempt.call).delay
                is_slow = delay is not None and ended.elapsed >= 2 * delay
                return is_slow or now >= attempt.call.deadline
        return False

    def _handle_outcome(
        self,
        progress: Progress,
        attempt: Attempt,
        outcome: Outcome,
        now: float,
        effects: list[Effect],
    ) -> None:
        server = attempt.replica.server.name
        match outcome:
            case Answered():
                progress.server = server
                self._finish(progress, outcome, effects)
                return
            case NotRun(step=Step.CONNECT, reason=Reason.OVERLOADED):
                progress.servers.remove(attempt.replica.server)
                self._wait_for_connection(progress, outcome, now, effects)
                return
            case NotRun() | Unknown():
                progress.note_failure(outcome, attempt.replica)
        if progress.attempts:
            return
        if not self._retry(progress, now, effects):
            self._finish(progress, progress.get_failure() or outcome, effects)

    def _wait_for_connection(
        self, progress: Progress, outcome: Outcome, now: float, effects: list[Effect]
    ) -> None:
        """Queue a call whose attempt found all connections to its server in use.

        Nothing was sent, so that it neither counts as an attempt nor as a retry. The
        replica's backoff limits how often it is tried.
        """
        if progress.attempts:
            return
        is_late = now + self._admission.needed_time >= progress.call.deadline
        if is_late or self._is_stopping:
            self._finish(progress, progress.get_failure() or outcome, effects)
        else:
            self._waiting.add(progress)

    def _retry(self, progress: Progress, now: float, effects: list[Effect]) -> bool:
        """Start or queue another attempt; return False if none is possible."""
        call = progress.call
        # Once a byte of a non-idempotent call may have left, another attempt could run
        # it twice. Only proof from the server or the connection that it has not run
        # allows one.
        if progress.unknown is not None and not call.idempotent:
            return False
        if not may_try(progress):
            return False
        failure = progress.unknown
        if (
            call.no_retry_after_server_end
            and failure is not None
            and is_server_end(failure)
        ):
            return False
        if now + self._admission.needed_time >= call.deadline:
            return False
        choice = self._choose(progress, now)
        match choice:
            case NoneLeft():
                return False
            case Busy():
                candidates = list_candidates(progress, self._replicas)
                opens_in = measure_capacity(candidates, now).opens_in
                if self._is_stopping or now + opens_in >= call.deadline:
                    return False
        if not self._may_spend_retry(progress, now):
            self._n_budget_denials += 1
            return False
        self._n_retries += 1
        progress.cause = "retry"
        match choice:
            case Chosen():
                effects.append(self._start(progress, choice, "retry", now))
            case _:
                self._waiting.add(progress)
        return True

    def _may_spend_retry(self, progress: Progress, now: float) -> bool:
        # Retries of refusals are free unless the platform counts them: a refusal costs
        # its server next to nothing, and the server is excluded, backed off or ejected,
        # so they cannot amplify an outage. An attempt that may have run used a slot and
        # is charged.
        if progress.unknown is None and not self.service.extra.counts_refusals:
            return True
        return self._retries.try_spend(now=now)

    # Timers and hedges.

    def _set_timer(self, progress: Progress, now: float) -> None:
        call = progress.call
        due = self._get_hedge_time(progress)
        if due <= now:
            # The hedge was due but found no free slot or no token: try again soon.
            pause = (self._get_latencies(call).delay or 0.0) / HEDGE_TRIES_PER_DELAY
            due = now + max(MIN_HEDGE_DELAY_S, pause)
        self._timers.add(due if due < call.deadline else call.deadline, call.call_id)
        self._timers.drop_stale(self._calls, len(self._calls))

    def _get_hedge_time(self, progress: Progress) -> float:
        call = progress.call
        if not call.idempotent:
            return NEVER
        if progress.n_hedges >= MAX_HEDGES or self._hedges.share <= 0.0:
            return NEVER
        if not may_try(progress):
            return NEVER
        started = progress.attempts[-1].started
        recent = self._get_latencies(call)
        delay = choose_hedge_delay(recent, left=call.goal_at - started)
        return started + (delay if delay > MIN_HEDGE_DELAY_S else MIN_HEDGE_DELAY_S)

    def _run_timer(self, progress: Progress, now: float, effects: list[Effect]) -> None:
        if progress.call.deadline <= now:
            self._end_unanswered(progress, Reason.DEADLINE, effects)
            return
        hedges = self._hedge(progress, now)
        effects.extend(hedges)
        if (
            not _has_started(hedges)
            and self._waiting
            and self._may_overtake(progress, now)
        ):
            self._blocked_hedges[progress.call.call_id] = progress
        # The next timer is for another hedge or for the deadline.
        self._set_timer(progress, now)

    def _hedge(self, progress: Progress, now: float) -> list[Effect]:
        """Start another attempt on a replica with a free slot, within the budget."""
        if self._is_stopping:
            return []
        if self._waiting and not self._may_overtake(progress, now):
            return []
        if self._get_hedge_time(progress) > now:
            return []
        if not progress.may_hedge():
            return self._withhold(progress, "no answer yet")
        match self._choose(progress, now):
            case Busy():
                return self._withhold(progress, "no free slot")
            case Chosen(replica=replica) as chosen if replica.ejected_until <= now:
                if self._is_reserved(progress, now):
                    return []
                if not self._hedges.try_spend(now=now):
                    self._n_budget_denials += 1
                    return self._withhold(progress, "no budget")
                progress.n_hedges += 1
                self._n_hedges += 1
                return [self._start(progress, chosen, "hedge", now)]
        return []

    def _withhold(self, progress: Progress, why: WhyWithheld) -> list[Effect]:
        if progress.is_hedge_withheld:
            return []
        progress.is_hedge_withheld = True
        return [WithholdHedge(call=progress.call, why=why)]

    def _may_overtake(self, progress: Progress, now: float) -> bool:
        """Return whether a hedge of this call may take a slot before waiting calls.

        Free slots go to waiting calls first, as a hedge would delay one call to speed
        up another. A straggler, though, delays its whole query by far more than one
        slot costs a waiting call. So it may go first, within the budget, unless the
        queue is longer than the number of slots, which is a sign of overload.
        """
        n_slots = sum(replica.n_slots for replica in self._replicas)
        is_short = len(self._waiting) <= n_slots
        return is_short and self._is_straggling(progress, now)

    def _start_blocked_hedges(self, now: float, effects: list[Effect]) -> None:
        """Hedge blocked stragglers before waiting calls take the free slot."""
        for call_id, progress in list(self._blocked_hedges.items()):
            if call_id not in self._calls or not progress.attempts:
                del self._blocked_hedges[call_id]
                continue
            hedges = self._hedge(progress, now)
            effects.extend(hedges)
            if _has_started(hedges):
                self._blocked_hedges.pop(call_id, None)
                self._set_timer(progress, now)

    def _is_straggling(self, progress: Progress, now: float) -> bool:
        waited = now - progress.attempts[-1].started
        median = self._get_latencies(progress.call).median or 0.0
        return waited >= STRAGGLER_MEDIAN_FACTOR * median

    def _is_reserved(self, progress: Progress, now: float) -> bool:
        """Return whether the remaining tokens are reserved for slower calls."""
        return (
            not self._is_straggling(progress, now)
            and self._hedges.tokens < 1.0 + STRAGGLER_HEDGE_TOKENS
        )

    # Outcomes.

    def _refuse(self, progress: Progress, step: Step, reason: Reason) -> FinishCall:
        self._n_refused += 1
        refusal = self._make_refusal(step, reason)
        return FinishCall(call=progress.call, outcome=refusal, server="", n_attempts=0)

    def _refuse_overload(
        self, progress: Progress, capacity: Capacity, now: float
    ) -> FinishCall:
        self._n_refused += 1
        refusal = self._make_overload_refusal(progress.call, capacity, now)
        return FinishCall(call=progress.call, outcome=refusal, server="", n_attempts=0)

    def _make_overload_refusal(
        self, call: Call, capacity: Capacity, now: float
    ) -> NotRun:
        n_waiting = len(self._waiting)
        if not call.customer:
            wait = self._admission.estimate_retry_delay(n_waiting, capacity)
            return self._make_refusal(Step.QUEUE, Reason.OVERLOADED, wait)
        retry_after_ms = self._admission.plan_return(
            n_waiting, capacity, spread=self.random.random(), now=now
        )
        return NotRun(
            step=Step.QUEUE,
            peer=self.group.name,
            reason=Reason.OVERLOADED,
            retry_after_ms=retry_after_ms,
        )

    def _make_refusal(
        self, step: Step, reason: Reason, wait: float | None = None
    ) -> NotRun:
        retry_after_ms = 0
        if wait is not None:
            retry_after_ms = compute_retry_after_ms(wait, self.random.random())
        return NotRun(
            step=step,
            peer=self.group.name,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )

    def _end_unanswered(
        self, progress: Progress, reason: Reason, effects: list[Effect]
    ) -> None:
        """End a call whose answer is no longer needed."""
        outcome: Outcome
        if progress.attempts:
            progress.server = progress.attempts[0].replica.server.name
            outcome = progress.unknown or Unknown(
                step=Step.RECEIVE, peer=progress.server, reason=reason
            )
        else:
            outcome = progress.unknown or self._make_refusal(Step.QUEUE, reason)
        self._finish(progress, outcome, effects)

    def _finish(
        self, progress: Progress, outcome: Outcome, effects: list[Effect]
    ) -> None:
        call = progress.call
        del self._calls[call.call_id]
        if progress.is_waiting:
            self._waiting.discard(progress)
        effects.append(
            FinishCall(
                call=call,
                outcome=outcome,
                server=progress.server,
                n_attempts=len(progress.servers),
                n_servers=progress.count_servers(),
            )
        )
        for attempt in progress.attempts:
            attempt.progress = None
            effects.append(CancelAttempt(attempt_id=attempt.attempt_id))
        progress.attempts.clear()


def _has_started(effects: list[Effect]) -> bool:
    return any(isinstance(effect, StartAttempt) for effect in effects)
