"""Checks that bookings run at most once under kills, pauses and network cuts.

Backend servers count the runs of each booking, for comparison with what callers were
told. Naive forwarders book in the same run under the same faults, as a baseline. `make
measure-once` runs it; the last two lines of its output give both results.
"""

import random
import sys
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Protocol

import click
import trio

from standins.fleet import parse_address
from standins.relay import Relay

from .bookers import Balancer, Booking, BookingResult, PlainCaller, TicketCaller, call
from .figures import Value, make_figures, save_figures
from .oncefaults import FaultSchedule, FaultTarget, FaultWindow, RestartableProcess
from .processes import (
    Deployment,
    DeploymentShape,
    EntryHost,
    Processes,
    Running,
    ServiceShape,
    find_free_address,
    open_processes,
    write_deployment,
)

N_HOSTS = 5
N_GROUPS = 3
SERVERS = tuple(f"{group:02}-{letter}" for group in range(N_GROUPS) for letter in "ab")
N_CALLERS = 12
THINK_TIME_S = 0.1
ATTEMPT_LIMIT_MS = 500
# Wait after the last fault, so that late runs are counted, too.
SETTLE_TIME_S = 3.0
# Faster failure detection than by default, so that a run covers many failures.
CONTROL = {"probe_interval_ms": 500, "probe_timeout_ms": 200, "suspect_ms": 1_500}


class Caller(Protocol):
    """Makes one booking, including all its retries."""

    async def book(self, booking: Booking) -> None: ...


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Result of comparing callers' answers with the backend servers' run counts."""

    n_bookings: int
    run_twice: int
    false_not_run: int
    lost: int
    n_unknown: int

    def __str__(self) -> str:
        share = self.n_unknown / max(1, self.n_bookings)
        return (
            f"run_twice={self.run_twice} false_not_run={self.false_not_run} "
            f"lost={self.lost} unknown_share={share:.4f}"
        )


def compare_with_runs(bookings: Iterable[Booking], runs: Counter[str]) -> Verdict:
    """Compare the answers to callers with the runs of each request.

    `run_twice` counts bookings that ran more than once over all their tickets,
    `false_not_run` tickets reported as "not run" that ran, and `lost` tickets reported
    as "answered" that never ran. `n_unknown` includes bookings without an answer.
    """
    listed = list(bookings)
    unsure = (BookingResult.UNKNOWN, BookingResult.NO_ANSWER)
    return Verdict(
        n_bookings=len(listed),
        run_twice=sum(sum(runs[i] for i in b.request_ids) > 1 for b in listed),
        false_not_run=sum(runs[i] > 0 for b in listed for i in b.reported_not_run),
        lost=sum(runs[i] == 0 for b in listed for i in b.reported_answered),
        n_unknown=sum(b.result in unsure for b in listed),
    )


class Load:
    """Concurrent callers, each making bookings one after the other with pauses."""

    def __init__(self, *, prefix: str, caller: Caller, rng: random.Random) -> None:
        self.bookings: list[Booking] = []
        self._prefix = prefix
        self._caller = caller
        self._rng = rng

    async def run(self, stop: trio.Event) -> None:
        """Book until `stop` is set, then finish the open bookings."""
        async with trio.open_nursery() as nursery:
            for _ in range(N_CALLERS):
                nursery.start_soon(self._book_repeatedly, stop)

    async def _book_repeatedly(self, stop: trio.Event) -> None:
        while not stop.is_set():
            await trio.sleep(THINK_TIME_S * self._rng.uniform(0.5, 1.5))
            name = f"{self._prefix}-{len(self.bookings):05}"
            booking = Booking(name=name, started=trio.current_time())
            self.bookings.append(booking)
            await self._caller.book(booking)
            booking.ended = trio.current_time()


def write_once_deployment(processes: Processes) -> Deployment:
    """Write a deployment with identical services for lavendergap and the baseline."""
    services = tuple(
        ServiceShape(name=name, n_groups=N_GROUPS, idempotent=False)
        for name in ("ledger", "naive")
    )
    shape = DeploymentShape(n_hosts=N_HOSTS, services=services, control=CONTROL)
    return write_deployment(shape=shape, directory=processes.directory)


async def start_target(
    processes: Processes, deployment: Deployment, host: EntryHost, nursery: trio.Nursery
) -> tuple[FaultTarget, str]:
    """Start an entry host behind a relay, and its forwarder.

    Also returns the forwarder's address as `ip:port`.
    """
    bind = find_free_address()
    forwarder = find_free_address()
    relay = Relay(listen=parse_address(host.peers), upstream=parse_address(bind))
    await nursery.start(relay.run)
    settings = ["--settings", str(deployment.settings)]
    start_entry = partial(
        processes.start,
        "lab.relayed",
        [*settings, "--host", host.name, "--bind", bind],
        name=host.name,
    )
    start_forwarder = partial(
        processes.start,
        "lab.forwarder",
        [*settings, "--service", "naive", "--listen", forwarder]
        + ["--try-ms", str(ATTEMPT_LIMIT_MS)],
        name=f"forwarder-{host.name}",
    )
    target = FaultTarget(
        name=host.name,
        entry=RestartableProcess(running=await start_entry(), restart=start_entry),
        forwarder=RestartableProcess(
            running=await start_forwarder(), restart=start_forwarder
        ),
        relay=relay,
    )
    return target, forwarder


async def count_runs(control: str) -> Counter[str]:
    """Return how often each request was run, over all backend servers."""
    answer = await call(control, "GET", "/runs", limit=10.0)
    if answer is None:
        raise RuntimeError("the backend stand-in did not return its run counts")
    runs: Counter[str] = Counter()
    for by_request in answer.json.values():
        runs.update(by_request)
    return runs


def print_table(
    title: str, bookings: Sequence[Booking], windows: Sequence[FaultWindow]
) -> None:
    """Print the results of bookings by the kinds of fault active meanwhile.

    Faults overlap, so that most bookings count in more than one row.
    """
    rows: dict[str, Counter[BookingResult]] = {}
    for booking in bookings:
        kinds = {
            window.kind.value
            for window in windows
            if window.started <= booking.ended and booking.started <= window.ended
        }
        for name in kinds or {"none"}:
            rows.setdefault(name, Counter())[booking.result] += 1
    print(f"\n{title:24}" + "".join(f"{result.value:>11}" for result in BookingResult))
    for name, counts in sorted(rows.items()):
        print(
            f"{name:24}" + "".join(f"{counts[result]:>11}" for result in BookingResult)
        )


def print_unknown_reasons(bookings: Iterable[Booking]) -> None:
    """Print the last reason of each booking that stayed unknown, with counts."""
    unknown_reasons = Counter(
        b.unknown_reasons[-1] for b in bookings if b.result is BookingResult.UNKNOWN
    )
    for reason, n_bookings in unknown_reasons.most_common():
        print(f"unknown, {reason}: {n_bookings}")


async def measure(seconds: float, seed: int, output: Path | None) -> bool:
    """Run the experiment; return whether lavendergap had no failure."""
    async with (
        open_processes(directory=output) as processes,
        trio.open_nursery() as nursery,
    ):
        deployment = write_once_deployment(processes)
        controls = (find_free_address(), find_free_address())
        await processes.start_platform(deployment, control=controls[0])
        await processes.start(
            "lab.ledger",
            ["--settings", str(deployment.settings), "--control", controls[1]],
        )
        targets: list[FaultTarget] = []
        forwarders: list[str] = []

        async def start(host: EntryHost) -> None:
            target, forwarder = await start_target(processes, deployment, host, nursery)
            targets.append(target)
            forwarders.append(forwarder)

        async with trio.open_nursery() as starting:
            for host in deployment.hosts:
                starting.start_soon(start, host)
        targets.sort(key=lambda target: target.name)
        admin_addresses = {host.callers: host.admin for host in deployment.hosts}
        balancer = Balancer(
            admin_addresses=admin_addresses, rng=random.Random(seed + 1)
        )
        nursery.start_soon(balancer.run)
        faults = FaultSchedule(
            targets=targets,
            servers=SERVERS,
            backend_control=controls[1],
            platform_control=controls[0],
            rng=random.Random(seed),
        )
        ours = TicketCaller(balancer=balancer, service="ledger")
        rng = random.Random(seed + 2)
        naive = PlainCaller(choose=lambda: rng.choice(forwarders))
        loads = [
            Load(prefix=prefix, caller=caller, rng=random.Random(seed + 3))
            for prefix, caller in (("t", ours), ("n", naive))
        ]
        stop = trio.Event()
        async with trio.open_nursery() as running:
            for load in loads:
                running.start_soon(load.run, stop)
            await faults.run(seconds)
            stop.set()
        await trio.sleep(SETTLE_TIME_S)
        runs = await count_runs(controls[1])
        is_kept = report(
            loads, faults, runs, [target.entry.running for target in targets]
        )
        save_verdicts(loads, runs, {"seconds": seconds, "seed": seed})
        nursery.cancel_scope.cancel()
    return is_kept


def report(
    loads: Sequence[Load],
    faults: FaultSchedule,
    runs: Counter[str],
    entries: Sequence[Running],
) -> bool:
    """Print the tables and verdicts; return whether lavendergap had no failure."""
    ours, naive = loads
    print(f"{len(faults.windows)} faults, {len(ours.bookings)} bookings with tickets")
    print_table("lavendergap", ours.bookings, faults.windows)
    print_table("baseline", naive.bookings, faults.windows)
    print_unknown_reasons(ours.bookings)
    unexpected = [
        each for booking in ours.bookings for each in booking.unexpected_answers
    ]
    for each in unexpected:
        print(f"UNEXPECTED ANSWER {each}")
    dead = [entry for entry in entries if not entry.is_alive()]
    for entry in dead:
        print(f"EXITED UNEXPECTEDLY {entry.name}\n{entry.read_tail()}")
    verdict = compare_with_runs(ours.bookings, runs)
    print(f"\nbaseline: {compare_with_runs(naive.bookings, runs)}")
    print(verdict)
    wrong = verdict.run_twice + verdict.false_not_run + verdict.lost
    return not wrong and not unexpected and not dead


def save_verdicts(
    loads: Sequence[Load], runs: Counter[str], conditions: dict[str, Value]
) -> None:
    """Save both verdicts for the documentation."""
    ours, naive = (compare_with_runs(load.bookings, runs) for load in loads)
    figures: dict[str, float] = {
        "bookings": ours.n_bookings,
        "run_twice": ours.run_twice,
        "false_not_run": ours.false_not_run,
        "lost": ours.lost,
        "unknown_share": ours.n_unknown / max(1, ours.n_bookings),
        "naive_run_twice": naive.run_twice,
        "naive_lost": naive.lost,
    }
    save_figures(make_figures("once", figures, conditions=conditions))


@click.command()
@click.option("--seconds", type=float, default=75.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--output", type=click.Path(path_type=Path), help="Directory for logs.")
def main(seconds: float, seed: int, output: Path | None) -> None:
    """Book under faults and compare the answers with the run counts."""
    if not trio.run(measure, seconds, seed, output):
        sys.exit(1)


if __name__ == "__main__":
    main()
