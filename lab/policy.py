"""Virtual-time trials of the owner's policy against simple models of servers.

`python -m lab.policy` prints a table for each question and, in the last line, the
figures as name=value. Only decisions run here, with no sockets and no real time: the
figures argue for one policy against another. The last table alone is measured on
this machine: the processor time of the scheduler for one call.
"""

import statistics
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time

import click

from lavendergap.coordination import (
    AttemptEnded,
    Call,
    CancelAttempt,
    FinishCall,
    GroupScheduler,
    Join,
    ServerReport,
    StartAttempt,
)
from lavendergap.coordination.admission import WaitingCalls
from lavendergap.coordination.calls import Effect
from lavendergap.coordination.progress import Progress
from lavendergap.state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from lavendergap.state.settings import (
    Address,
    Control,
    GiveUpStragglers,
    Group,
    Server,
    Service,
    StragglerPolicy,
    WaitForCoverage,
)
from lavendergap.state.snapshot import Shard, Snapshot

ONE_WAY = 0.0005
DEADLINE = 0.280
N_GROUPS = 20
N_REPLICAS = 2
SLOTS = 2
SERVER_QUEUE = 4
# The first queries teach the scheduler how long calls take; times leave them out.
N_WARM_UP = 200
SERVICE_MEDIAN = 0.010
SERVICE_SPREAD = 0.35
ANSWER = Answered(body=b"{}")


class Clock:
    """Runs events in the order of their virtual times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Do something at a time, or now if that has passed."""
        heappush(self._events, (max(time, self.now), next(self._serial), act))

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._events:
            self.now, _, act = heappop(self._events)
            act()


@dataclass(kw_only=True, slots=True)
class Job:
    """One call at a server model, and who is told how it ended."""

    duration: float
    end: Callable[[Outcome], None]
    is_cancelled: bool = False
    is_running: bool = False


class ServerModel:
    """A server that runs `slots` jobs, queues a few and sheds the rest."""

    def __init__(self, *, clock: Clock, queue_limit: int) -> None:
        self.clock = clock
        self.queue_limit = queue_limit
        self.n_running = 0
        self.busy_time = 0.0
        self.queue: deque[Job] = deque()

    def arrive(self, job: Job) -> None:
        """Take a job that has come over the network."""
        if job.is_cancelled:
            self._reply(job, _give_up())
        elif self.n_running < SLOTS:
            self._start(job)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(job)
        else:
            self._reply(
                job,
                NotRun(
                    step=Step.RECEIVE, peer="", reason=Reason.SHED, retry_after_ms=20
                ),
            )

    def cancel(self, job: Job) -> None:
        """Give a job up, wherever it is."""
        if job.is_cancelled:
            return
        job.is_cancelled = True
        if job.is_running:
            self._stop(job, _give_up())
        elif job in self.queue:
            self.queue.remove(job)
            self._reply(job, _give_up())

    def report(self) -> ServerReport:
        """Return the load that answers carry."""
        return ServerReport(
            in_use=self.n_running,
            slots=SLOTS,
            queued=len(self.queue),
            state="serving",
            versions=(1,),
        )

    def _start(self, job: Job) -> None:
        self.n_running += 1
        job.is_running = True
        self.busy_time -= self.clock.now

        def complete() -> None:
            if job.is_running:
                self._stop(job, ANSWER)

        self.clock.at(self.clock.now + job.duration, complete)

    def _stop(self, job: Job, outcome: Outcome) -> None:
        job.is_running = False
        self.n_running -= 1
        self.busy_time += self.clock.now
        self._reply(job, outcome)
        if self.queue:
            self._start(self.queue.popleft())

    def _reply(self, job: Job, outcome: Outcome) -> None:
        self.clock.at(self.clock.now + ONE_WAY, lambda: job.end(outcome))


def _give_up() -> Unknown:
    return Unknown(step=Step.RECEIVE, peer="", reason=Reason.CANCELLED)


@dataclass(frozen=True, kw_only=True, slots=True)
class Durations:
    """How long servers work on a call; one of `straggle_every` takes 20 times that."""

    straggle_every: int = 0

    def draw(self, dice: Random) -> float:
        """Draw one duration in seconds."""
        duration = SERVICE_MEDIAN * dice.lognormvariate(0.0, SERVICE_SPREAD)
        if self.straggle_every and dice.randrange(self.straggle_every) == 0:
            duration *= 20
        return duration

    def measure_mean(self) -> float:
        """Measure the mean duration in seconds."""
        dice = Random(0)
        return statistics.fmean(self.draw(dice) for _ in range(20_000))


Finish = Callable[[Outcome], None]


class NaiveGroup:
    """Sends each call to the next replica in turn, and waits for it."""

    def __init__(
        self, *, clock: Clock, dice: Random, durations: Durations, queue_limit: int
    ) -> None:
        self.clock = clock
        self.dice = dice
        self.durations = durations
        self.servers = [
            ServerModel(clock=clock, queue_limit=queue_limit) for _ in range(N_REPLICAS)
        ]
        self.n_attempts = 0

    def submit(self, call: Call, finish: Finish) -> None:
        """Make a call; a refusal is tried once more on the next replica."""
        self._attempt(finish, n_left=2)

    def cancel(self, call: Call) -> None:
        """Do nothing: the naive caller just stops listening."""

    def _attempt(self, finish: Finish, n_left: int) -> None:
        server = self.servers[self.n_attempts % N_REPLICAS]
        self.n_attempts += 1

        def end(outcome: Outcome) -> None:
            if isinstance(outcome, NotRun) and n_left > 1:
                self._attempt(finish, n_left - 1)
            else:
                finish(outcome)

        job = Job(duration=self.durations.draw(self.dice), end=end)
        self.clock.at(self.clock.now + ONE_WAY, lambda: server.arrive(job))


class OwnedGroup:
    """A group run by the project's scheduler."""

    def __init__(
        self,
        *,
        clock: Clock,
        dice: Random,
        durations: Durations,
        service: Service,
        waiting: WaitingCalls,
    ) -> None:
        self.clock = clock
        self.dice = dice
        self.durations = durations
        self.servers = {
            server.name: ServerModel(clock=clock, queue_limit=SERVER_QUEUE)
            for server in service.groups[0].servers
        }
        self.scheduler = GroupScheduler(
            group=service.groups[0], service=service, control=Control(), random=dice
        )
        self.scheduler._waiting = waiting
        self.n_attempts = 0
        self._finishes: dict[int, Finish] = {}
        self._jobs: dict[int, tuple[ServerModel, Job]] = {}
        self._wake = float("inf")

    def submit(self, call: Call, finish: Finish) -> None:
        """Make a call through the scheduler."""
        self._finishes[call.call_id] = finish
        self._apply(self.scheduler.submit(call, now=self.clock.now))

    def cancel(self, call: Call) -> None:
        """Give up a call that nobody waits for any more."""
        self._apply(self.scheduler.cancel(call.call_id, now=self.clock.now))

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._start(effect)
                case CancelAttempt(attempt_id=attempt_id):
                    server, job = self._jobs[attempt_id]
                    self._send(partial(server.cancel, job))
                case FinishCall(call=call, outcome=outcome):
                    self._finishes.pop(call.call_id)(outcome)
        self._set_alarm()

    def _start(self, start: StartAttempt) -> None:
        self.n_attempts += 1
        server = self.servers[start.server]
        started = self.clock.now

        def end(outcome: Outcome) -> None:
            del self._jobs[start.attempt_id]
            ended = AttemptEnded(
                attempt_id=start.attempt_id,
                outcome=outcome,
                report=server.report(),
                elapsed=self.clock.now - started,
            )
            self._apply(self.scheduler.end_attempt(ended, now=self.clock.now))

        job = Job(duration=self.durations.draw(self.dice), end=end)
        self._jobs[start.attempt_id] = (server, job)
        self._send(lambda: server.arrive(job))

    def _send(self, act: Callable[[], None]) -> None:
        self.clock.at(self.clock.now + ONE_WAY, act)

    def _set_alarm(self) -> None:
        wake = self.scheduler.next_wake()
        if wake is None or wake >= self._wake:
            return
        self._wake = wake

        def ring() -> None:
            if self._wake == wake:
                self._wake = float("inf")
                self._apply(self.scheduler.advance(now=self.clock.now))

        self.clock.at(wake, ring)


class NewestFirst(WaitingCalls):
    """The order weighed against the earliest deadline: the newest call first."""

    def add(self, progress: Progress) -> None:
        """Put a call at the head."""
        call = progress.call
        insort(self._entries, (-call.deadline, call.call_id, progress))
        progress.is_waiting = True

    def discard(self, progress: Progress) -> None:
        """Remove a call that waits here."""
        self._entries = [e for e in self._entries if e[2] is not progress]
        progress.is_waiting = False

    def count_ahead(self, deadline: float) -> int:
        """Count nobody: a new call is the next."""
        return 0

    def pop_late(self, *, now: float, needed: float) -> list[Progress]:
        """Remove and return the calls with less than `needed` seconds left."""
        late = []
        while self._entries and -self._entries[-1][0] - needed <= now:
            late.append(self._entries.pop()[2])
            late[-1].is_waiting = False
        return late

    @property
    def first_deadline(self) -> float | None:
        """The earliest deadline, which is that of the last call."""
        return -self._entries[-1][0] if self._entries else None


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """One run: what arrives and who handles it. `load` is relative to capacity."""

    name: str
    durations: Durations
    load: float
    n_queries: int
    n_groups: int = N_GROUPS
    is_naive: bool = False
    naive_queue: int = SERVER_QUEUE
    hedge_budget: float = 0.05
    newest_first: bool = False
    policy: StragglerPolicy = field(default_factory=WaitForCoverage)
    seed: int = 1


@dataclass(kw_only=True, slots=True)
class Result:
    """What a run measured; times in seconds."""

    plan: Plan
    call_times: list[float] = field(default_factory=list)
    query_times: list[float] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    n_good_calls: int = 0
    n_whole: int = 0
    n_mostly: int = 0
    n_attempts: int = 0
    capacity: float = 0.0
    span: float = 0.0

    @property
    def extra(self) -> float:
        """Attempts beyond one for each call, as a share of the calls."""
        return self.n_attempts / (self.plan.n_queries * self.plan.n_groups) - 1

    def share(self, n_good: int) -> float:
        """Return good queries as a share of those that the servers could carry."""
        return n_good / (self.capacity * self.span)


def make_service(plan: Plan) -> Service:
    """Make the settings of one group of two backend servers."""
    servers = tuple(
        Server(
            name=name,
            address=Address(ip="127.0.0.1", port=20_000 + n),
            data_centre="ptl-a",
            slots=SLOTS,
            connections=25,
        )
        for n, name in enumerate("ab")
    )
    return Service(
        name="scheduler",
        idempotent=True,
        groups=(Group(name="scheduler-00", servers=servers),),
        deadline_ms=round(DEADLINE * 1000),
        stragglers=WaitForCoverage(),
        hedge_budget=plan.hedge_budget,
        hedge_after_quantile=0.95,
        retry_budget=0.1,
        queue_limit=256,
        max_body_bytes=1_000,
        weight=1.0,
    )


def make_group(plan: Plan, clock: Clock, dice: Random) -> NaiveGroup | OwnedGroup:
    """Make one group of server models and whoever sends it calls."""
    if plan.is_naive:
        return NaiveGroup(
            clock=clock,
            dice=dice,
            durations=plan.durations,
            queue_limit=plan.naive_queue,
        )
    return OwnedGroup(
        clock=clock,
        dice=dice,
        durations=plan.durations,
        service=make_service(plan),
        waiting=NewestFirst() if plan.newest_first else WaitingCalls(),
    )


class QueryRun:
    """One query: its calls, the join of their answers, and when it was over."""

    def __init__(
        self, *, serial: int, clock: Clock, join: Join, result: "Result"
    ) -> None:
        self.serial = serial
        self.clock = clock
        self.join = join
        self.result = result
        self.calls: dict[str, tuple[NaiveGroup | OwnedGroup, Call]] = {}
        self._is_over = False

    def take(self, shard: str, outcome: Outcome) -> None:
        """Take the outcome of one call; it counts for the calls in any case."""
        elapsed = self.clock.now - self.join.started
        if isinstance(outcome, Answered):
            self.result.n_good_calls += elapsed <= DEADLINE
            if self.serial >= N_WARM_UP:
                self.result.call_times.append(elapsed)
        self.join.add(shard, outcome, "", now=self.clock.now)
        self.check()

    def check(self) -> None:
        """Conclude if the join is done, else look again when it asks for it."""
        self.join.advance(now=self.clock.now)
        wake = self.join.next_wake()
        if wake is not None:
            self.clock.at(wake, self.check)
        elif not self._is_over:
            self._is_over = True
            self._conclude()

    def _conclude(self) -> None:
        share = self.join.coverage().share
        self.result.n_whole += share >= 1.0 - 1e-9
        self.result.n_mostly += share >= 0.95 - 1e-9
        if self.serial >= N_WARM_UP:
            self.result.query_times.append(self.clock.now - self.join.started)
            self.result.shares.append(share)
        for shard in self.join.give_up():
            group, call = self.calls[shard]
            group.cancel(call)


def run_plan(plan: Plan) -> Result:
    """Run one plan: queries come at random times, each asks every group."""
    clock = Clock()
    dice = Random(plan.seed)
    groups = [
        make_group(plan, clock, Random(dice.random())) for _ in range(plan.n_groups)
    ]
    result = Result(plan=plan)
    result.capacity = N_REPLICAS * SLOTS / plan.durations.measure_mean()
    names = [f"s{n:02}" for n in range(plan.n_groups)]
    snapshot = Snapshot(
        service="scheduler",
        version=1,
        shards=tuple(Shard(name=n, group=n, share=1 / len(names)) for n in names),
    )
    call_ids = count(1)

    def start_query(serial: int) -> None:
        deadline = clock.now + DEADLINE
        join = Join(
            snapshot=snapshot,
            policy=plan.policy,
            started=clock.now,
            deadline=deadline,
        )
        run = QueryRun(serial=serial, clock=clock, join=join, result=result)
        for name, group in zip(names, groups, strict=True):
            call = Call(
                call_id=next(call_ids),
                request_id=f"{plan.seed}-{serial}",
                service="scheduler",
                group="scheduler-00",
                shard=name,
                version=1,
                deadline=deadline,
                body=b"{}",
                idempotent=True,
            )
            run.calls[name] = (group, call)
            group.submit(call, partial(run.take, name))
        run.check()

    time = 0.0
    for serial in range(plan.n_queries):
        time += dice.expovariate(result.capacity * plan.load)
        clock.at(time, partial(start_query, serial))
    result.span = time
    clock.run()
    result.n_attempts = sum(group.n_attempts for group in groups)
    return result


def get_quantile(times: list[float], share: float) -> float:
    """Return a quantile in milliseconds."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] * 1000


def try_tail(n_queries: int) -> dict[str, float]:
    """Compare the tails when one of fifty calls straggles."""
    plan = Plan(
        name="naive",
        durations=Durations(straggle_every=50),
        load=0.3,
        n_queries=n_queries,
        is_naive=True,
    )
    plans = [
        plan,
        replace(plan, name="scheduler, no hedges", is_naive=False, hedge_budget=0.0),
        replace(plan, name="scheduler", is_naive=False),
    ]
    click.echo("Tail: 1 of 50 calls takes 20 times as long; load 0.3; 20 shards; ms")
    click.echo(
        f"{'':24}{'call p50':>9}{'p99':>8}{'query p50':>11}{'p99':>8}{'extra':>8}"
    )
    results = [run_plan(p) for p in plans]
    for r in results:
        click.echo(
            f"{r.plan.name:24}"
            f"{get_quantile(r.call_times, 0.5):9.1f}"
            f"{get_quantile(r.call_times, 0.99):8.1f}"
            f"{get_quantile(r.query_times, 0.5):11.1f}"
            f"{get_quantile(r.query_times, 0.99):8.1f}"
            f"{r.extra:8.1%}"
        )
    naive, _, ours = results
    return {
        "tail_call_p99_ratio": get_quantile(ours.call_times, 0.99)
        / get_quantile(naive.call_times, 0.99),
        "tail_query_p99_ratio": get_quantile(ours.query_times, 0.99)
        / get_quantile(naive.query_times, 0.99),
        "tail_extra_calls": ours.extra,
    }


def try_stragglers(n_queries: int) -> dict[str, float]:
    """Compare the two policies towards stragglers, with and without hedges."""
    plan = Plan(
        name="wait, no hedges",
        durations=Durations(straggle_every=50),
        load=0.3,
        n_queries=n_queries,
        hedge_budget=0.0,
    )
    prompt = GiveUpStragglers(min_share=0.95, patience=2.0)
    plans = [
        plan,
        replace(plan, name="give up, no hedges", policy=prompt),
        replace(plan, name="wait, hedges", hedge_budget=0.05),
        replace(plan, name="give up, hedges", hedge_budget=0.05, policy=prompt),
    ]
    click.echo("Stragglers: give up at a share of 0.95 and twice the median; load 0.3")
    click.echo(f"{'':24}{'query p50':>11}{'p99':>8}{'whole':>8}{'mean share':>12}")
    figures = {}
    for r in [run_plan(p) for p in plans]:
        n_whole = sum(share >= 1.0 - 1e-9 for share in r.shares)
        click.echo(
            f"{r.plan.name:24}"
            f"{get_quantile(r.query_times, 0.5):11.1f}"
            f"{get_quantile(r.query_times, 0.99):8.1f}"
            f"{n_whole / len(r.shares):8.3f}"
            f"{statistics.fmean(r.shares):12.4f}"
        )
        name = r.plan.name.replace(", ", "_").replace(" ", "_")
        figures[f"{name}_whole"] = n_whole / len(r.shares)
    return figures


def try_overload(n_queries: int) -> dict[str, float]:
    """Compare what is answered in time at twice the capacity."""
    plan = Plan(
        name="naive, long queue",
        durations=Durations(),
        load=2.0,
        n_queries=n_queries,
        is_naive=True,
        naive_queue=10**9,
    )
    plans = [
        plan,
        replace(plan, name="naive, servers shed", naive_queue=SERVER_QUEUE),
        replace(
            plan, name="scheduler, newest first", is_naive=False, newest_first=True
        ),
        replace(plan, name="scheduler", is_naive=False),
    ]
    click.echo("Overload: twice the capacity; in time, as a share of the capacity")
    click.echo(f"{'':24}{'calls':>8}{'whole':>8}{'95 %':>8}{'call p99':>10}")
    results = [run_plan(p) for p in plans]
    for r in results:
        click.echo(
            f"{r.plan.name:24}"
            f"{r.share(r.n_good_calls) / r.plan.n_groups:8.2f}"
            f"{r.share(r.n_whole):8.2f}"
            f"{r.share(r.n_mostly):8.2f}"
            f"{get_quantile(r.call_times, 0.99):10.1f}"
        )
    goodputs = [r.share(r.n_good_calls) / r.plan.n_groups for r in results]
    return {
        "overload_call_goodput": goodputs[-1],
        "overload_call_goodput_naive": goodputs[0],
        "overload_whole_queries": results[-1].share(results[-1].n_whole),
        "overload_whole_queries_naive": results[1].share(results[1].n_whole),
    }


def try_cost(n_calls: int, n_runs: int = 9) -> dict[str, float]:
    """Measure the processor time of one call's submit and end on an idle group."""
    plan = Plan(name="", durations=Durations(), load=0.0, n_queries=0)
    costs = sorted(_time_calls(plan, n_calls) for _ in range(n_runs))
    best, median = costs[0], costs[n_runs // 2]
    click.echo(
        f"Cost of one call's submit and end: best {best:.1f} us of {n_runs} runs"
    )
    click.echo(f"of {n_calls} calls each, median {median:.1f} us")
    return {"submit_and_end_us": best, "submit_and_end_median_us": median}


def _time_calls(plan: Plan, n_calls: int) -> float:
    service = make_service(plan)
    scheduler = GroupScheduler(
        group=service.groups[0], service=service, control=Control(), random=Random(1)
    )
    calls = [
        Call(
            call_id=n,
            request_id="r-1",
            service="scheduler",
            group="scheduler-00",
            shard="s00",
            version=1,
            deadline=0.002 * n + DEADLINE,
            body=b"{}",
            idempotent=True,
        )
        for n in range(n_calls)
    ]
    report = ServerReport(in_use=1, slots=2, queued=0, state="serving", versions=(1,))
    ends = [
        AttemptEnded(attempt_id=n + 1, outcome=ANSWER, report=report, elapsed=0.001)
        for n in range(n_calls)
    ]
    began = process_time()
    for n, (call, end) in enumerate(zip(calls, ends, strict=True)):
        scheduler.submit(call, now=0.002 * n)
        scheduler.end_attempt(end, now=0.002 * n + 0.001)
    return (process_time() - began) / n_calls * 1e6


@click.command()
@click.option("--queries", default=4_000, help="Queries in each run.")
def main(queries: int) -> None:
    """Run the trials and print their tables."""
    figures = try_tail(queries)
    click.echo("")
    figures |= try_stragglers(queries)
    click.echo("")
    figures |= try_overload(queries)
    click.echo("")
    figures |= try_cost(10_000)
    click.echo("")
    click.echo(" ".join(f"{name}={value:.3f}" for name, value in figures.items()))


if __name__ == "__main__":
    main()
