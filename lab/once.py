"""Bookings under kills, pauses and cuts, counted by the backend servers themselves.

`make measure-once` runs it. In the same run, with the same faults at the same
moments, naive forwarders book the same way. The last two lines give both results.
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

from .bookers import Balancer, Booking, Ending, PlainCaller, TicketCaller, call
from .figures import Value, make_figures, save_figures
from .oncefaults import Faults, Place, Victim, Window
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
THINK_TIME = 0.1
TRY_MS = 500
# After the last fault, so that whatever would still run has run when it is counted.
SETTLE_TIME = 3.0
# Timing of membership, faster than the defaults so that a run has many episodes.
CONTROL = {"probe_interval_ms": 500, "probe_timeout_ms": 200, "suspect_ms": 1_500}


class Caller(Protocol):
    """Whoever makes one booking from its beginning to its end."""

    async def book(self, booking: Booking) -> None: ...


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What the backend servers' counts say about what callers were told."""

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


def judge(bookings: Iterable[Booking], runs: Counter[str]) -> Verdict:
    """Compare what callers were told with what was run.

    `run_twice` counts bookings that ran more than once, over all their tickets;
    `false_not_run` tickets that were told "not run" and ran; `lost` those told
    "answered" that never ran. Without an answer a caller knows nothing either.
    """
    listed = list(bookings)
    unsure = (Ending.UNKNOWN, Ending.NO_ANSWER)
    return Verdict(
        n_bookings=len(listed),
        run_twice=sum(sum(runs[i] for i in b.request_ids) > 1 for b in listed),
        false_not_run=sum(runs[i] > 0 for b in listed for i in b.told_not_run),
        lost=sum(runs[i] == 0 for b in listed for i in b.told_answered),
        n_unknown=sum(b.ending in unsure for b in listed),
    )


class Load:
    """Callers that book one after the other, each waiting a while in between."""

    def __init__(self, *, prefix: str, caller: Caller, dice: random.Random) -> None:
        self.bookings: list[Booking] = []
        self._prefix = prefix
        self._caller = caller
        self._dice = dice

    async def run(self, stop: trio.Event) -> None:
        """Book until `stop`, and end what has begun."""
        async with trio.open_nursery() as nursery:
            for _ in range(N_CALLERS):
                nursery.start_soon(self._keep_booking, stop)

    async def _keep_booking(self, stop: trio.Event) -> None:
        while not stop.is_set():
            await trio.sleep(THINK_TIME * self._dice.uniform(0.5, 1.5))
            name = f"{self._prefix}-{len(self.bookings):05}"
            booking = Booking(name=name, started=trio.current_time())
            self.bookings.append(booking)
            await self._caller.book(booking)
            booking.ended = trio.current_time()


def write_shape(processes: Processes) -> Deployment:
    """Write a deployment with a service of ours and one of the baseline, alike."""
    services = tuple(
        ServiceShape(name=name, n_groups=N_GROUPS, idempotent=False)
        for name in ("ledger", "naive")
    )
    shape = DeploymentShape(n_hosts=N_HOSTS, services=services, control=CONTROL)
    return write_deployment(shape=shape, directory=processes.directory)


async def start_place(
    processes: Processes, deployment: Deployment, host: EntryHost, nursery: trio.Nursery
) -> tuple[Place, str]:
    """Start an entry host behind its relay, and the forwarder beside it."""
    bind = find_free_address()
    forwarder = find_free_address()
    relay = Relay(listen=parse_address(host.peers), to=parse_address(bind))
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
        + ["--try-ms", str(TRY_MS)],
        name=f"forwarder-{host.name}",
    )
    place = Place(
        name=host.name,
        entry=Victim(running=await start_entry(), restart=start_entry),
        forwarder=Victim(running=await start_forwarder(), restart=start_forwarder),
        relay=relay,
    )
    return place, forwarder


async def count_runs(control: str) -> Counter[str]:
    """Return how often each request was run, over all backend servers."""
    answer = await call(control, "GET", "/runs", limit=10.0)
    if answer is None:
        raise RuntimeError("the backend stand-in does not tell its runs")
    runs: Counter[str] = Counter()
    for by_request in answer.json.values():
        runs.update(by_request)
    return runs


def print_table(
    title: str, bookings: Sequence[Booking], windows: Sequence[Window]
) -> None:
    """Print the endings of bookings by the kinds of fault in force meanwhile.

    Faults overlap, so that most bookings stand in more than one row.
    """
    rows: dict[str, Counter[Ending]] = {}
    for booking in bookings:
        met = {
            window.kind.value
            for window in windows
            if window.started <= booking.ended and booking.started <= window.ended
        }
        for name in met or {"none"}:
            rows.setdefault(name, Counter())[booking.ending] += 1
    print(f"\n{title:24}" + "".join(f"{ending.value:>11}" for ending in Ending))
    for name, counts in sorted(rows.items()):
        print(f"{name:24}" + "".join(f"{counts[ending]:>11}" for ending in Ending))


def print_doubts(bookings: Iterable[Booking]) -> None:
    """Print why the bookings that stayed unknown are so."""
    doubts = Counter(b.doubts[-1] for b in bookings if b.ending is Ending.UNKNOWN)
    for doubt, n_bookings in doubts.most_common():
        print(f"unknown, {doubt}: {n_bookings}")


async def measure(seconds: float, seed: int, output: Path | None) -> bool:
    """Run the experiment; return whether our side kept its promises."""
    async with (
        open_processes(directory=output) as processes,
        trio.open_nursery() as nursery,
    ):
        deployment = write_shape(processes)
        controls = (find_free_address(), find_free_address())
        await processes.start_platform(deployment, control=controls[0])
        await processes.start(
            "lab.ledger",
            ["--settings", str(deployment.settings), "--control", controls[1]],
        )
        places: list[Place] = []
        forwarders: list[str] = []

        async def start(host: EntryHost) -> None:
            place, forwarder = await start_place(processes, deployment, host, nursery)
            places.append(place)
            forwarders.append(forwarder)

        async with trio.open_nursery() as starting:
            for host in deployment.hosts:
                starting.start_soon(start, host)
        places.sort(key=lambda place: place.name)
        admin = {host.callers: host.admin for host in deployment.hosts}
        balancer = Balancer(admin=admin, dice=random.Random(seed + 1))
        nursery.start_soon(balancer.run)
        faults = Faults(
            places=places,
            servers=SERVERS,
            backend_control=controls[1],
            platform_control=controls[0],
            dice=random.Random(seed),
        )
        ours = TicketCaller(balancer=balancer, service="ledger")
        dice = random.Random(seed + 2)
        naive = PlainCaller(choose=lambda: dice.choice(forwarders))
        loads = [
            Load(prefix=prefix, caller=caller, dice=random.Random(seed + 3))
            for prefix, caller in (("t", ours), ("n", naive))
        ]
        stop = trio.Event()
        async with trio.open_nursery() as running:
            for load in loads:
                running.start_soon(load.run, stop)
            await faults.run(seconds)
            stop.set()
        await trio.sleep(SETTLE_TIME)
        runs = await count_runs(controls[1])
        is_kept = report(loads, faults, runs, [place.entry.running for place in places])
        save_verdicts(loads, runs, {"seconds": seconds, "seed": seed})
        nursery.cancel_scope.cancel()
    return is_kept


def report(
    loads: Sequence[Load],
    faults: Faults,
    runs: Counter[str],
    entries: Sequence[Running],
) -> bool:
    """Print the tables and the verdicts; return whether our side is without fault."""
    ours, naive = loads
    print(f"{len(faults.windows)} faults, {len(ours.bookings)} bookings with tickets")
    print_table("lavendergap", ours.bookings, faults.windows)
    print_table("baseline", naive.bookings, faults.windows)
    print_doubts(ours.bookings)
    surprises = [each for booking in ours.bookings for each in booking.surprises]
    for each in surprises:
        print(f"SURPRISE {each}")
    dead = [entry for entry in entries if not entry.is_alive()]
    for entry in dead:
        print(f"ENDED BY ITSELF {entry.name}\n{entry.read_tail()}")
    verdict = judge(ours.bookings, runs)
    print(f"\nbaseline: {judge(naive.bookings, runs)}")
    print(verdict)
    wrong = verdict.run_twice + verdict.false_not_run + verdict.lost
    return not wrong and not surprises and not dead


def save_verdicts(
    loads: Sequence[Load], runs: Counter[str], conditions: dict[str, Value]
) -> None:
    """Keep both verdicts for the pages that quote them."""
    ours, naive = (judge(load.bookings, runs) for load in loads)
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
@click.option("--output", type=click.Path(path_type=Path), help="Keep logs there.")
def main(seconds: float, seed: int, output: Path | None) -> None:
    """Book under faults and count what was run."""
    if not trio.run(measure, seconds, seed, output):
        sys.exit(1)


if __name__ == "__main__":
    main()
