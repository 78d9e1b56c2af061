"""The project and the naive fan-out side by side, for the measurements of the policy.

All processes of all sides run from the start, and the sides are loaded in turn with
the same arrivals, so that whatever else the machine does meets each of them. Each
side has a service, and so backend servers and connections, of its own.
"""

import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from lavendergap.state.settings import Address, Settings
from lavendergap.state.tree import load_settings
from standins.answers import Outcome
from standins.balancer import EntryPorts
from standins.client import connect
from standins.fleet import parse_address
from standins.load import OpenLoop, Plan, Queries, run_load
from standins.tally import Record, Summary

from .processes import (
    Deployment,
    DeploymentShape,
    Processes,
    Running,
    ServiceShape,
    StartError,
    find_free_address,
    open_processes,
    write_deployment,
)

N_GROUPS = 20
SLOTS = 2
N_SERVERS = 2
CONNECTIONS = 25
DEADLINE_MS = 280
N_HOSTS = 5
# Backend servers are split over processes by the last digit of their group's number.
PATTERNS = ("*[01]-?", "*[23]-?", "*[45]-?", "*[67]-?", "*[89]-?")
READY_LIMIT_S = 20.0
READY_POLL_S = 0.1
MAX_STARTS = 3
SECOND = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Side:
    """One of the ways compared: a service, and who fans its queries out."""

    name: str
    service: str
    is_naive: bool = False
    options: Mapping[str, object] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class Trial:
    """What one side was sent and what came of it; a side may have several rounds.

    `busiest` is the largest share of the time for which any process of the side ran
    on a core, `delayed` the largest for which one waited for a core that others had:
    with that far from 0, latencies are partly the machine's.
    """

    side: Side
    records: list[Record] = field(default_factory=list)
    summaries: list[Summary] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    busiest: float = 0.0
    delayed: float = 0.0
    own_cpu: float = 0.0

    def list_times(self, *outcomes: Outcome) -> list[float]:
        """Return the times in milliseconds from due to end, in order of size."""
        return sorted(
            (record.ended_s - record.due_s) * SECOND
            for record in self.records
            if record.outcome in outcomes
        )

    def count(self, outcome: Outcome) -> int:
        """Count the requests that ended so."""
        return sum(record.outcome is outcome for record in self.records)

    @property
    def mean_share(self) -> float:
        """The mean share that the answers covered, those without any included."""
        shares = [r.share for r in self.records if r.share is not None]
        return sum(shares) / max(1, len(shares))

    @property
    def extra_load(self) -> float:
        """Calls that servers saw beyond one for each shard of an admitted query."""
        n_admitted = sum(
            record.outcome is not Outcome.NOT_RUN for record in self.records
        )
        return self.counts["received"] / max(1, n_admitted * N_GROUPS) - 1

    @property
    def reasons(self) -> dict[str, int]:
        """What callers were told where an answer is not whole, and how often."""
        found: dict[str, int] = {}
        for summary in self.summaries:
            for reason, n_times in summary.reasons.items():
                found[reason] = found.get(reason, 0) + n_times
        return found


@dataclass(frozen=True, kw_only=True, slots=True)
class Scheduled:
    """Seconds that a process ran on a core, and that it waited for one."""

    ran_s: float
    waited_s: float


def read_scheduled(pid: int) -> Scheduled:
    """Read from /proc how long a process ran and how long it waited to run."""
    ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return Scheduled(ran_s=int(ran_ns) / 1e9, waited_s=int(waited_ns) / 1e9)


def get_quantile(ordered: Sequence[float], share: float) -> float:
    """Return a quantile of values in their order; 0 when there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class Bench:
    """The running processes of all sides."""

    def __init__(
        self,
        *,
        processes: Processes,
        deployment: Deployment,
        sides: Sequence[Side],
        deadline_ms: int,
    ) -> None:
        self.processes = processes
        self.deadline_ms = deadline_ms
        self.deployment = deployment
        self.sides = sides
        self.settings: Settings = load_settings(deployment.settings)
        self._text = deployment.settings.read_text()
        self.controls: list[Address] = []
        self.backends: list[Running] = []
        self.entries: list[Running] = []
        self.naive: dict[str, list[Running]] = {}
        self._naive_ports: dict[str, tuple[EntryPorts, ...]] = {}

    def _find_address(self) -> str:
        """Find an address that the settings do not name: those are not in use yet."""
        while True:
            address = find_free_address()
            if f'"{address}"' not in self._text:
                self._text += f'"{address}"'
                return address

    async def start(self) -> None:
        """Start everything and wait until the entry hosts are ready."""
        await self.processes.start_platform(self.deployment)
        for pattern in PATTERNS:
            control = self._find_address()
            self.controls.append(parse_address(control))
            self.backends.append(
                await self.processes.start_backend(
                    self.deployment, only=(pattern,), control=control
                )
            )
        async with trio.open_nursery() as nursery:
            for host in self.deployment.hosts:
                nursery.start_soon(self._start_entry, host.name)
            for side in self.sides:
                if side.is_naive:
                    nursery.start_soon(self._start_naive, side)
        with trio.fail_after(READY_LIMIT_S):
            for host in self.deployment.hosts:
                await self._wait_until_ready(parse_address(host.admin))

    async def _start_entry(self, host: str) -> None:
        self.entries.append(
            await self.processes.start_entry(self.deployment, host=host)
        )

    async def _start_naive(self, side: Side) -> None:
        listens = [self._find_address() for _ in self.deployment.hosts]
        self._naive_ports[side.name] = tuple(
            EntryPorts(callers=parse_address(listen)) for listen in listens
        )
        self.naive[side.name] = []
        arguments = ["--settings", str(self.deployment.settings)]
        arguments += ["--service", side.service]
        arguments += ["--connections", str(CONNECTIONS // len(listens))]
        for listen in listens:
            running = await self.processes.start(
                "lab.naive", [*arguments, "--listen", listen], name="naive"
            )
            self.naive[side.name].append(running)

    async def _wait_until_ready(self, admin: Address) -> None:
        while True:
            client = await connect(admin.ip, admin.port)
            answer = await client.request("GET", "/ready")
            await client.aclose()
            if answer.status == 200:
                return
            await trio.sleep(READY_POLL_S)

    def _list_ports(self, side: Side) -> tuple[EntryPorts, ...]:
        if side.is_naive:
            return self._naive_ports[side.name]
        return tuple(
            EntryPorts(callers=host.callers, admin=host.admin)
            for host in self.settings.hosts
        )

    async def set_faults(self, faults: Mapping[str, object]) -> None:
        """Set the same faults at every backend server."""
        for control in self.controls:
            client = await connect(control.ip, control.port)
            answer = await client.request(
                "POST", "/faults", body=msgspec.json.encode({"*": dict(faults)})
            )
            await client.aclose()
            if answer.status != 200:
                raise RuntimeError(f"faults refused: {answer.body.decode()}")

    async def read_counts(self, service: str) -> dict[str, int]:
        """Add up what the backend servers of a service have seen."""
        sums: dict[str, int] = {}
        async for counts in self._read("/counts", service):
            for name, n_times in counts.items():
                sums[name] = sums.get(name, 0) + n_times
        return sums

    async def read_queries(self, service: str) -> set[str]:
        """Return the queries that reached a backend server of a service."""
        seen: set[str] = set()
        async for queries in self._read("/queries", service):
            seen.update(queries)
        return seen

    async def _read(self, path: str, service: str) -> AsyncIterator[dict[str, int]]:
        for control in self.controls:
            client = await connect(control.ip, control.port)
            by_server = (await client.request("GET", path)).json
            await client.aclose()
            for server, found in by_server.items():
                if server.rpartition("-")[0].rpartition("-")[0] == service:
                    yield found

    async def load(
        self, side: Side, *, rate: float, duration_s: float, seed: int
    ) -> Trial:
        """Send one round of queries to a side."""
        trial = Trial(side=side)
        before = await self.read_counts(side.service)
        watched = self.naive[side.name] if side.is_naive else self.entries
        pids = [one.pid for one in [*watched, *self.backends]]
        before_cpu = [read_scheduled(pid) for pid in pids]
        own = time.process_time()
        start = trio.current_time()
        summary = await run_load(
            Plan(
                entries=self._list_ports(side),
                service=side.service,
                arrivals=OpenLoop(rate=rate),
                work=Queries(),
                n_requests=1_000_000,
                duration_s=duration_s,
                seed=seed,
                deadline_ms=self.deadline_ms,
            ),
            trial.records.append,
        )
        elapsed = trio.current_time() - start
        after_cpu = [read_scheduled(pid) for pid in pids]
        trial.own_cpu = (time.process_time() - own) / elapsed
        spans = list(zip(before_cpu, after_cpu, strict=True))
        trial.busiest = max((b.ran_s - a.ran_s) / elapsed for a, b in spans)
        trial.delayed = max((b.waited_s - a.waited_s) / elapsed for a, b in spans)
        trial.summaries.append(summary)
        after = await self.read_counts(side.service)
        trial.counts = {name: n - before[name] for name, n in after.items()}
        return trial


def add_round(total: Trial, one: Trial) -> None:
    """Add a round to a side's trial."""
    total.records += one.records
    total.summaries += one.summaries
    total.busiest = max(total.busiest, one.busiest)
    total.delayed = max(total.delayed, one.delayed)
    total.own_cpu = max(total.own_cpu, one.own_cpu)
    for name, n_times in one.counts.items():
        total.counts[name] = total.counts.get(name, 0) + n_times


@asynccontextmanager
async def open_bench(
    sides: Sequence[Side], *, n_hosts: int = N_HOSTS, deadline_ms: int = DEADLINE_MS
) -> AsyncIterator[Bench]:
    """Start all sides; everything has ended when the block is left."""
    shape = DeploymentShape(
        n_hosts=n_hosts,
        n_data_centres=2,
        options={"deadline_ms": deadline_ms},
        services=tuple(
            ServiceShape(
                name=side.service,
                n_groups=N_GROUPS,
                n_servers=N_SERVERS,
                slots=SLOTS,
                connections=CONNECTIONS,
                options=side.options,
            )
            for side in sides
        ),
    )
    async with open_processes() as processes:
        bench = await _start_bench(processes, shape, sides, deadline_ms)
        yield bench


async def _start_bench(
    processes: Processes,
    shape: DeploymentShape,
    sides: Sequence[Side],
    deadline_ms: int,
) -> Bench:
    """Start everything, on other ports when another program took one of them."""
    for number in range(MAX_STARTS):
        directory = processes.directory / str(number)
        directory.mkdir()
        deployment = write_deployment(shape=shape, directory=directory)
        bench = Bench(
            processes=processes,
            deployment=deployment,
            sides=sides,
            deadline_ms=deadline_ms,
        )
        try:
            await bench.start()
        except (StartError, ExceptionGroup) as error:
            print(f"start {number}: {_get_first(error)}"[:400])
            await processes.stop_all()
        else:
            return bench
    raise StartError(f"not started in {MAX_STARTS} tries")


def _get_first(error: Exception) -> Exception:
    """Return the StartError, which a nursery may have wrapped; raise any other."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    if not isinstance(error, StartError):
        raise error
    return error
