"""A state machine over the scheduler: its guarantees hold in any order of events."""

from collections import Counter, defaultdict

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lavendergap.coordination.attempts import MAX_ATTEMPTS, MAX_TRIES
from lavendergap.coordination.calls import Call, CancelAttempt, FinishCall, StartAttempt
from lavendergap.coordination.scheduler import MAX_HEDGES
from lavendergap.coordination.timers import MAX_STALE_TIMERS
from lavendergap.state.outcome import Answered, NotRun, Reason, Unknown
from lavendergap.state.settings import Address, Control, ExtraCalls

from .groups import (
    ANSWER,
    Owner,
    lose,
    make_group,
    make_owner,
    make_report,
    make_service,
    refuse,
)

EXTRA = ExtraCalls()
OUTCOMES = [
    ANSWER,
    ANSWER,
    ANSWER,
    refuse(Reason.SHED, retry_after_ms=50),
    refuse(Reason.REFUSED_CONNECTION),
    refuse(Reason.VERSION_GONE),
    lose(Reason.LOST_CONNECTION),
    lose(Reason.SILENT_CONNECTION),
    lose(Reason.SERVER_ERROR),
    lose(Reason.WRONG_ANSWER),
]
STATES = st.sampled_from(["serving", "serving", "starting", "draining"])
VERSIONS = st.sampled_from([(), (6, 7), (7,), (7, 8), (8,)])
REPORTS = st.none() | st.builds(
    make_report, STATES, versions=VERSIONS, in_use=st.integers(0, 3)
)


class SchedulerMachine(RuleBasedStateMachine):
    """Calls, ends, cancels, probes, new settings and time, in any order.

    The machine records every attempt itself and checks the guarantees against that.
    """

    def __init__(self) -> None:
        super().__init__()
        self.owner: Owner = make_owner("abc", queue_limit=5, hedge_budget=0.3)
        self.addresses: dict[int, Address] = {}
        self.calls: dict[int, Call] = {}
        self.done: set[int] = set()
        self.cancelled: set[int] = set()
        self.servers: defaultdict[int, set[tuple[str, Address]]] = defaultdict(set)
        self.may_have_run: Counter[int] = Counter()
        self.n_unknown_retries = 0
        self.is_stopping = False
        self.began = self.owner.now
        self.owner.check = self.check

    @initialize(n_calls=st.sampled_from([0, 48]))
    def warm_up(self, n_calls) -> None:
        """Give the scheduler latencies, as hedges and refusals need them."""
        self.owner.check = None
        self.owner.warm_up(n_calls)
        self.owner.check = self.check
        self.done = set(self.owner.finished)
        self.calls = {k: f.call for k, f in self.owner.finished.items()}

    def check(self, effects) -> None:
        """Compare each effect with the state recorded for its call."""
        for effect in effects:
            match effect:
                case StartAttempt(call=call):
                    assert call.call_id not in self.done
                    assert self.owner.now < call.deadline
                    self._check_start(effect)
                case FinishCall():
                    self._check_finish(effect)
                case CancelAttempt(attempt_id=attempt_id):
                    assert attempt_id in self.owner.open
                    assert attempt_id not in self.cancelled
                    self.cancelled.add(attempt_id)

    def _check_start(self, start: StartAttempt) -> None:
        call_id = start.call.call_id
        servers = self.owner.scheduler.group.servers
        address = next(s.address for s in servers if s.name == start.server)
        self.addresses[start.attempt_id] = address
        self.servers[call_id].add((start.server, address))
        running = [a for a in self._open_attempts(call_id) if a is not start]
        match start.cause:
            case "hedge":
                assert start.call.idempotent
                assert len(running) <= MAX_HEDGES
                if len(running) == 1:
                    # By address: a server that has moved is another process.
                    assert address != self.addresses[running[0].attempt_id]
            case "retry" if self.may_have_run[call_id]:
                assert start.call.idempotent
                self.n_unknown_retries += 1
        if not start.call.idempotent:
            assert not running
            assert not self.may_have_run[call_id]

    def _check_finish(self, finish: FinishCall) -> None:
        call_id = finish.call.call_id
        self.done.add(call_id)
        assert finish.n_attempts <= MAX_TRIES
        assert finish.n_servers == len(self.servers[call_id])
        assert finish.n_servers <= (finish.call.max_attempts or MAX_ATTEMPTS)
        match finish.outcome:
            case NotRun():
                assert not self.may_have_run[call_id]
                assert not self._open_attempts(call_id)
            case Unknown():
                assert self.may_have_run[call_id] or self._open_attempts(call_id)
            case Answered():
                assert self.may_have_run[call_id]

    def _open_attempts(self, call_id: int) -> list[StartAttempt]:
        return [
            a
            for a in self.owner.open.values()
            if a.call.call_id == call_id and a.attempt_id not in self.cancelled
        ]

    @rule(
        in_ms=st.sampled_from([0, 5, 30, 280, 2_000]),
        idempotent=st.sampled_from([True, True, False]),
        version=st.sampled_from([0, 6, 7, 8]),
        max_attempts=st.sampled_from([0, 1, 2]),
        customer=st.sampled_from(["", "x", "y"]),
        priority=st.sampled_from([0, 1]),
    )
    def submit(self, **options) -> None:
        call = self.owner.submit(**options)
        self.calls[call.call_id] = call

    @precondition(lambda self: self.owner.open)
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES), report=REPORTS)
    def end(self, data, outcome, report) -> None:
        attempt_id = data.draw(st.sampled_from(sorted(self.owner.open)))
        call_id = self.owner.open[attempt_id].call.call_id
        if attempt_id in self.cancelled and data.draw(st.booleans()):
            outcome = lose(Reason.CANCELLED)
        if not isinstance(outcome, NotRun):
            self.may_have_run[call_id] += 1
        self.owner.end(attempt_id, outcome, report, elapsed=0.002)

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def cancel(self, data) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.calls)))
        owner = self.owner
        owner.take(owner.scheduler.cancel(call_id, now=owner.now))
        assert call_id in self.done

    @rule(server=st.sampled_from("abc"), report=REPORTS)
    def observe(self, server, report) -> None:
        self.owner.observe(server, report)

    @rule(seconds=st.sampled_from([0.001, 0.003, 0.020, 0.3, 4.0]))
    def move(self, seconds) -> None:
        self.owner.move(seconds)

    @rule(names=st.sampled_from(["abc", "ab", "a"]), moved=st.booleans())
    def replace(self, names, moved) -> None:
        group = make_group(names, port=30_000 if moved else 20_000)
        service = make_service(group, queue_limit=5, hedge_budget=0.3)
        owner = self.owner
        owner.take(
            owner.scheduler.replace(
                group=group, service=service, control=Control(), now=owner.now
            )
        )

    @precondition(lambda self: not self.is_stopping and len(self.done) > 10)
    @rule()
    def stop(self) -> None:
        self.is_stopping = True
        owner = self.owner
        owner.take(owner.scheduler.stop(now=owner.now))

    @invariant()
    def no_server_has_more_than_its_slots(self) -> None:
        in_flight = Counter(self.addresses[a] for a in self.owner.open)
        assert all(n <= 2 for n in in_flight.values())
        assert sum(r.in_flight for r in self.owner.scheduler._replicas) <= sum(
            in_flight.values()
        )

    @invariant()
    def every_call_ends_once_and_by_its_deadline(self) -> None:
        assert self.done == set(self.owner.finished)
        for call_id in set(self.calls) - self.done:
            assert self.calls[call_id].deadline > self.owner.now

    @invariant()
    def extra_attempts_stay_within_their_budgets(self) -> None:
        n_calls = len(self.calls)
        elapsed = self.owner.now - self.began
        retries = EXTRA.retry_burst + 0.1 * n_calls + EXTRA.retries_per_second * elapsed
        assert self.n_unknown_retries <= retries + 1e-6
        n_hedges = sum(s.cause == "hedge" for s in self.owner.started)
        assert n_hedges <= EXTRA.hedge_burst + 0.3 * n_calls + 1e-6

    @invariant()
    def memory_follows_what_is_under_way(self) -> None:
        scheduler = self.owner.scheduler
        n_live = len(self.calls) - len(self.done)
        assert len(scheduler._calls) == n_live
        assert set(scheduler._attempts) == set(self.owner.open)
        assert len(scheduler._waiting) <= 5 + 6
        assert len(scheduler._timers) <= MAX_STALE_TIMERS + 2 * n_live + 1

    @invariant()
    def nothing_waits_while_time_stands_still(self) -> None:
        if set(self.calls) - self.done:
            assert self.owner.scheduler.next_wake() is not None

    @invariant()
    def a_stopping_owner_has_no_queue(self) -> None:
        if self.is_stopping:
            assert len(self.owner.scheduler._waiting) == 0


SchedulerMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, derandomize=True, deadline=None
)
TestSchedulerMachine = SchedulerMachine.TestCase
