"""The owner's decisions for one group of replicas: dispatch, queue, retry, hedge."""

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
from .admission import Admission, Capacity, WaitingCalls, suggest_retry_after
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
    STRAGGLER_RATIO,
    KindLatencies,
    RecentLatencies,
    choose_hedge_delay,
    choose_quantile,
)
from .progress import Attempt, Progress
from .replicas import BLAME, NEVER, Replica
from .summary import GroupSummary, summarize_server, to_ms
from .timers import CallTimers

# A call is tried at most this often whatever the budgets hold, so that one call that
# breaks each server it meets cannot go round the group.
MAX_ATTEMPTS = 4
SHORTEST_HEDGE_DELAY = 0.001
# Where all calls take about as long, the quantile is hardly above the median, and
# ordinary calls just beyond it would take every token. These are for attempts that
# are slow by any measure; the others get what is above the reserve.
HEDGE_RESERVE = 3.0
# How often in one delay a hedge that found no free slot looks for one again.
LOOKS_PER_DELAY = 8
MAX_HEDGES = 2
# A call that has taken this many times the median is no ordinary one any more: of
# exponential times one in twenty is as long, and then only the next choice is moved.
STALL_RATIO = 3.0
# Below this many seconds the wait is the process's own and says nothing of a server.
SHORTEST_STALL = 0.01
# How many waiting calls that no free replica can take are passed over in one go, so
# that a long queue for one version costs a bounded time at each event.
MAX_PASSED_OVER = 8


def _always() -> bool:
    return True


def _never() -> bool:
    return False


class GroupScheduler:
    """Runs the calls to one group on its replicas, within their slots.

    Every method takes the present time in seconds and returns what is to be done, in
    order. Each submitted call gets exactly one `FinishCall`; each `StartAttempt` is
    owed exactly one `AttemptEnded`, also after `CancelAttempt`, and holds a slot of
    its server until then. `next_wake` tells when to call `advance` if nothing else
    happens before. Attempt ids count from 1 within the scheduler. Times are seconds
    of one monotonic clock, a call's deadline among them.

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
        # Stragglers whose hedge waits for a free slot; cleaned as slots come free.
        self._blocked: dict[int, Progress] = {}
        self._timers = CallTimers()
        self._attempt_ids = count(1)
        self._recent = RecentLatencies(quantile=choose_quantile(service))
        self._kinds = kinds or KindLatencies()
        self._admission = Admission(recent=self._recent)
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
        self._opens_at = NEVER
        self._is_stopping = False
        self._n_calls = 0
        self._n_refused = 0
        self._n_retries = 0
        self._n_hedges = 0
        self._n_budget_denials = 0

    def _make_replica(self, server: Server, ramp_from: float = -NEVER) -> Replica:
        # One host warms a server up, and it stands in the server's data centre.
        is_near = server.data_centre == self.data_centre
        may_warm = self._may_warm if is_near else _never
        return Replica(server=server, ramp_from=ramp_from, may_warm=may_warm)

    # What happens.

    def submit(
        self, call: Call, *, now: float, may_hedge: Callable[[], bool] = _always
    ) -> list[Effect]:
        """Take a call: start it, let it wait for a slot, or refuse it at once.

        A call that cannot finish before its deadline, given the calls ahead of it
        and the time that recent ones took, is refused as not run: an answer that
        comes too late costs a slot and helps nobody. It is hedged only while
        `may_hedge` says so. Raises ValueError for the id of a call that has not
        finished yet.
        """
        if call.call_id in self._calls:
            raise ValueError(f"call {call.call_id} was already submitted")
        progress = Progress(call=call, may_hedge=may_hedge)
        self._n_calls += 1
        self._admission.arrivals.add(now=now)
        self._retries.earn()
        if call.idempotent:
            self._hedges.earn()
        if self._is_stopping:
            return [self._refuse(progress, Step.ADMIT, Reason.STOPPING)]
        if call.deadline <= now:
            return [self._refuse(progress, Step.ADMIT, Reason.DEADLINE)]
        if call.is_repeat and not self._retries.spend(now=now):
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
        """Take the end of an attempt; its slot is free from now on."""
        attempt = self._attempts.pop(ended.attempt_id, None)
        if attempt is None:
            return []
        self._learn(attempt, ended, now)
        effects: list[Effect] = []
        progress = attempt.progress
        if progress is not None:
            progress.attempts.remove(attempt)
            self._settle(progress, attempt, ended.outcome, now, effects)
        if self._waiting:
            self._hedge_blocked(now, effects)
            self._dispatch(now, effects)
        return effects

    def cancel(self, call_id: int, *, now: float) -> list[Effect]:
        """Give up a call that nobody waits for any more; a late cancel is no error."""
        progress = self._calls.get(call_id)
        if progress is None:
            return []
        effects: list[Effect] = []
        self._give_up(progress, Reason.CANCELLED, effects)
        return effects

    def observe(
        self, server: str, report: ServerReport | None, *, now: float
    ) -> list[Effect]:
        """Take the result of a health probe; None when there was no answer."""
        for replica in self._replicas:
            if replica.server.name != server:
                continue
            if report is None:
                replica.note_no_health(now=now, dice=self.random)
            else:
                replica.note_health(report, now=now)
        return self.advance(now=now)

    def advance(self, *, now: float) -> list[Effect]:
        """Do what has become due: end late calls, hedge slow ones, use free slots."""
        effects: list[Effect] = []
        while (call_id := self._timers.pop_due(now)) is not None:
            progress = self._calls.get(call_id)
            if progress is not None and progress.attempts:
                self._look_after(progress, now, effects)
        if self._waiting:
            self._dispatch(now, effects)
        return effects

    def replace(
        self, *, group: Group, service: Service, control: Control, now: float
    ) -> list[Effect]:
        """Act on changed settings from now on; running calls go on.

        A server that is gone, or has another address, gets nothing new. A new one
        starts slowly, as its caches are cold. So does one that has started again, of
        which nothing holds: what was learned of the process before is about slots,
        queues and failures that ended with it. Its attempts teach only the old record.
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
                replica = self._make_replica(server, ramp_from=now)
            elif server.address not in staying or server.name != replica.server.name:
                # Another process at the address: what is known is of the one before.
                replica.rejoin(now)
            replica.server = server
            self._replicas.append(replica)
        # Its attempts still hold slots: a server that an edit takes away and the
        # next one brings back would else be given twice its slots.
        self._leaving = [r for r in known.values() if r.in_flight > 0]
        self.group = group
        self.service = service
        self.control = control
        self._recent.quantile = choose_quantile(service)
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
        """End the calls that wait, truly not run; those that run may finish."""
        self._is_stopping = True
        effects: list[Effect] = []
        while self._waiting:
            progress = self._waiting[0]
            refusal = self._make_refusal(Step.QUEUE, Reason.STOPPING)
            self._finish(progress, progress.unknown or refusal, effects)
        return effects

    def next_wake(self) -> float | None:
        """Return the time at which `advance` has something to do, or None."""
        wake = self._timers.find_next(self._calls)
        first_deadline = self._waiting.first_deadline
        if first_deadline is not None:
            wake = min(
                wake, self._opens_at, first_deadline - self._admission.needed_time
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
            hedge_delay_ms=to_ms(self._recent.delay),
            service_time_ms=to_ms(self._recent.mean),
            is_stopping=self._is_stopping,
            servers=tuple(summarize_server(replica, now) for replica in self._replicas),
        )

    # Admission and dispatch.

    def _admit(self, progress: Progress, now: float) -> list[Effect]:
        call = progress.call
        capacity = measure_capacity(self._replicas, now)
        n_ahead = self._waiting.count_ahead(
            priority=call.priority, deadline=call.deadline
        )
        time_left = call.deadline - now
        may_wait = len(self._waiting) < self.service.queue_limit
        may_wait = may_wait and not capacity.is_cold
        if may_wait:
            may_wait = self._admission.may_wait(
                call.request_id, n_ahead=n_ahead, time_left=time_left, capacity=capacity
            )
        if not may_wait:
            return [self._refuse_overload(progress, capacity)]
        self._calls[call.call_id] = progress
        self._waiting.add(progress)
        effects: list[Effect] = []
        self._dispatch(now, effects)
        return effects

    def _dispatch(self, now: float, effects: list[Effect]) -> None:
        waiting = self._waiting
        for late in waiting.pop_late(now=now, needed=self._admission.needed_time):
            self._end_late(late, now, effects)
        index = 0
        while index < min(len(waiting), MAX_PASSED_OVER) and self._has_room(now):
            progress = waiting[index]
            match self._choose(progress, now):
                case Chosen() as chosen:
                    waiting.discard(progress)
                    effects.append(self._start(progress, chosen, progress.cause, now))
                case NoneLeft(reason=reason):
                    outcome = self._make_refusal(Step.ROUTE, reason)
                    self._finish(progress, progress.get_failure() or outcome, effects)
                case Busy():
                    index += 1
        self._opens_at = min(
            (replica.get_opening(now) for replica in self._replicas), default=NEVER
        )

    def _end_late(self, progress: Progress, now: float, effects: list[Effect]) -> None:
        capacity = measure_capacity(self._replicas, now)
        wait = self._admission.estimate_absence(len(self._waiting), capacity)
        outcome = self._make_refusal(Step.QUEUE, Reason.DEADLINE, wait)
        self._finish(progress, progress.get_failure() or outcome, effects)

    def _has_room(self, now: float) -> bool:
        return any(r.in_flight < r.limit(now) for r in self._replicas)

    def _choose(self, progress: Progress, now: float) -> Choice:
        excluded = progress.excluded
        tried = progress.tried | self._find_stalled(now)
        if progress.attempts:
            running = {attempt.replica for attempt in progress.attempts}
            # A first hedge on the same server would meet what holds up the call. When
            # two servers are slow with it, the cause is with the attempts.
            if len(progress.attempts) == 1:
                excluded = excluded | running
            else:
                tried = tried | running
        return choose(
            self._replicas,
            version=progress.call.version,
            excluded=excluded,
            tried=tried,
            typical=self._find_typical(),
            now=now,
            dice=self.random,
            data_centre=self.data_centre,
            allowed=progress.call.data_centres,
        )

    def _find_typical(self) -> float:
        """Return the slowness that a replica is held against: the fastest one's.

        The group's mean is that of the replica which gets most calls. Where that is
        the near one, and it turns slow, the mean turns slow with it, and nothing
        would ever go to the others.
        """
        known = [r.slowness for r in self._replicas if r.slowness > 0.0]
        return min(known, default=0.0)

    def _find_stalled(self, now: float) -> frozenset[Replica]:
        """Return the servers that have held a call for much longer than is usual.

        A server that pauses (a collection of garbage, say) answers nothing for a
        while. Each call sent there meanwhile would wait for the end of the pause, or
        cost a hedge; a group with another replica loses nothing by sparing it until
        it answers.
        """
        return frozenset(
            attempt.replica
            for attempt in self._attempts.values()
            if now - attempt.started > self._get_stall_limit(attempt.call)
        )

    def _get_stall_limit(self, call: Call) -> float:
        median = self._get_recent(call).median
        return NEVER if median is None else max(SHORTEST_STALL, STALL_RATIO * median)

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
        progress.n_attempts += 1
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

    def _learn(self, attempt: Attempt, ended: AttemptEnded, now: float) -> None:
        replica = attempt.replica
        own = replica.in_flight
        replica.in_flight -= 1
        if ended.report is not None:
            replica.note_answer(ended.report, started=attempt.started, own=own, now=now)
        replica.note_end(
            ended.outcome,
            elapsed=self._weigh(attempt.call, ended.elapsed),
            fresh=attempt.fresh,
            now=now,
            dice=self.random,
            typical=self._find_typical(),
        )
        if attempt.progress is None and self._is_overtaken(attempt, ended, now):
            replica.add_blame(BLAME[Reason.DEADLINE], now=now, dice=self.random)
        # A hedge runs only when the first attempt is slow. Counted, its fast answers
        # would pull the quantile down, and each hedge would bring on more of them.
        if attempt.cause == "hedge":
            return
        for recent in {self._recent, self._get_recent(attempt.call)}:
            match ended.outcome:
                case Answered():
                    recent.add(ended.elapsed)
                case Unknown(reason=Reason.CANCELLED | Reason.DEADLINE):
                    if ended.elapsed >= (recent.median or 0.0):
                        recent.add(ended.elapsed)

    def _get_recent(self, call: Call) -> RecentLatencies:
        """Return the latencies that a call is held against."""
        if not call.kind:
            return self._recent
        return self._kinds.get(call.kind, quantile=self._recent.quantile)

    def _weigh(self, call: Call, elapsed: float) -> float:
        """Return how long an attempt took as a multiple of what its kind takes.

        In seconds, a replica that had long calls would look slower than one that had
        short ones: with three times between kinds, idle near replicas were passed over
        for remote ones whose last call had been a short one.
        """
        median = self._get_recent(call).median
        return elapsed / median if median else 1.0

    def _is_overtaken(self, attempt: Attempt, ended: AttemptEnded, now: float) -> bool:
        """Tell whether an attempt was cut because it was slow, not for the caller.

        A server that accepts calls and never answers shows no other sign: we cancel
        each attempt when a hedge has won or the deadline has come.
        """
        match ended.outcome:
            case Unknown(reason=Reason.CANCELLED):
                delay = self._get_recent(attempt.call).delay
                is_slow = delay is not None and ended.elapsed >= 2 * delay
                return is_slow or now >= attempt.call.deadline
        return False

    def _settle(
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
            case NotRun() | Unknown():
                progress.note_failure(outcome, attempt.replica)
        if progress.attempts:
            return
        if not self._retry(progress, now, effects):
            self._finish(progress, progress.get_failure() or outcome, effects)

    def _retry(self, progress: Progress, now: float, effects: list[Effect]) -> bool:
        """Start or queue one more attempt; False when there can be none."""
        call = progress.call
        # Once a byte of a non-idempotent call may have left, a second attempt could
        # run it twice: a sponsor billed twice. Only the server's or the connection's
        # proof that it has not run allows another.
        if progress.unknown is not None and not call.idempotent:
            return False
        if progress.n_attempts >= _limit_attempts(call):
            return False
        failure = progress.unknown
        if call.ends_with_server and failure is not None and is_server_end(failure):
            return False
        if now + self._admission.needed_time >= call.deadline:
            return False
        choice = self._choose(progress, now)
        match choice:
            case NoneLeft():
                return False
            case Busy():
                opens_in = measure_capacity(self._replicas, now).opens_in
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
        # A refusal cost its server next to nothing, and the server that refused is
        # excluded, backed off or ejected: such a retry can not amplify an outage.
        # One that may have run did cost a slot's time, and is paid for.
        if progress.unknown is None and not self.service.extra.counts_refusals:
            return True
        return self._retries.spend(now=now)

    # Timers and hedges.

    def _set_timer(self, progress: Progress, now: float) -> None:
        call = progress.call
        due = self._get_hedge_time(progress)
        if due <= now:
            # It was due, but there was no free slot or no token: look again.
            pause = (self._get_recent(call).delay or 0.0) / LOOKS_PER_DELAY
            due = now + max(SHORTEST_HEDGE_DELAY, pause)
        due = min(due, call.deadline)
        self._timers.add(due, call.call_id)
        self._timers.drop_stale(self._calls, len(self._calls))

    def _get_hedge_time(self, progress: Progress) -> float:
        call = progress.call
        recent = self._get_recent(call)
        if not call.idempotent:
            return NEVER
        if progress.n_hedges >= MAX_HEDGES or self._hedges.share <= 0.0:
            return NEVER
        if progress.n_attempts >= _limit_attempts(progress.call):
            return NEVER
        started = progress.attempts[-1].started
        delay = choose_hedge_delay(recent, left=call.wanted_by - started)
        return started + max(SHORTEST_HEDGE_DELAY, delay)

    def _look_after(
        self, progress: Progress, now: float, effects: list[Effect]
    ) -> None:
        if progress.call.deadline <= now:
            self._give_up(progress, Reason.DEADLINE, effects)
            return
        hedges = self._hedge(progress, now)
        effects.extend(hedges)
        if (
            not _has_started(hedges)
            and self._waiting
            and self._may_overtake(progress, now)
        ):
            self._blocked[progress.call.call_id] = progress
        # Whether hedged or not: next time is another try, or the deadline.
        self._set_timer(progress, now)

    def _hedge(self, progress: Progress, now: float) -> list[Effect]:
        """Start a second attempt on a replica with a free slot, within the budget."""
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
                if not self._hedges.spend(now=now):
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
        """Tell whether a hedge of this call may take a slot before calls that wait.

        While calls wait a free slot is theirs: a hedge would delay one call to speed
        up another. But a straggler holds its whole query, for many times what the
        calls that wait lose by one slot; so it may, within the budget, unless the
        queue is so long that the group has more work than slots.
        """
        n_slots = sum(replica.server.slots for replica in self._replicas)
        is_short = len(self._waiting) <= n_slots
        return is_short and self._is_straggling(progress, now)

    def _hedge_blocked(self, now: float, effects: list[Effect]) -> None:
        """Hedge stragglers that found no slot, before calls that wait take this one."""
        for call_id, progress in list(self._blocked.items()):
            if call_id not in self._calls or not progress.attempts:
                del self._blocked[call_id]
                continue
            hedges = self._hedge(progress, now)
            effects.extend(hedges)
            if _has_started(hedges):
                self._blocked.pop(call_id, None)
                self._set_timer(progress, now)

    def _is_straggling(self, progress: Progress, now: float) -> bool:
        waited = now - progress.attempts[-1].started
        median = self._get_recent(progress.call).median or 0.0
        return waited >= STRAGGLER_RATIO * median

    def _is_reserved(self, progress: Progress, now: float) -> bool:
        """Tell whether the tokens left are for slower attempts than this call's."""
        return (
            not self._is_straggling(progress, now)
            and self._hedges.tokens < 1.0 + HEDGE_RESERVE
        )

    # Outcomes.

    def _refuse(self, progress: Progress, step: Step, reason: Reason) -> FinishCall:
        self._n_refused += 1
        refusal = self._make_refusal(step, reason)
        return FinishCall(call=progress.call, outcome=refusal, server="", n_attempts=0)

    def _refuse_overload(self, progress: Progress, capacity: Capacity) -> FinishCall:
        self._n_refused += 1
        wait = self._admission.estimate_absence(len(self._waiting), capacity)
        refusal = self._make_refusal(Step.QUEUE, Reason.OVERLOADED, wait)
        return FinishCall(call=progress.call, outcome=refusal, server="", n_attempts=0)

    def _make_refusal(
        self, step: Step, reason: Reason, wait: float | None = None
    ) -> NotRun:
        retry_after_ms = 0
        if wait is not None:
            retry_after_ms = suggest_retry_after(wait, self.random.random())
        return NotRun(
            step=step,
            peer=self.group.name,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )

    def _give_up(
        self, progress: Progress, reason: Reason, effects: list[Effect]
    ) -> None:
        """End a call for which an answer is no longer of use."""
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
                n_attempts=progress.n_attempts,
            )
        )
        for attempt in progress.attempts:
            attempt.progress = None
            effects.append(CancelAttempt(attempt_id=attempt.attempt_id))
        progress.attempts.clear()


def _has_started(effects: list[Effect]) -> bool:
    return any(isinstance(effect, StartAttempt) for effect in effects)


def _limit_attempts(call: Call) -> int:
    """Return to how many servers a call may be sent, hedges included."""
    return min(MAX_ATTEMPTS, call.max_attempts or MAX_ATTEMPTS)
