"""Measures the resident memory of one entry process, idle and after a load.

Two entry hosts, the platform's stand-in and the backend servers of a scheduler and a
ledger run as processes on this machine. The first host's memory is read once it has
settled, while queries and bookings run, and after them. The allowance for control is
64 MB; what an idle process takes is the interpreter and its libraries, which
`bare` shows for comparison.
"""

import subprocess
import sys

import trio
from rich.console import Console
from rich.table import Table

from standins.balancer import EntryPorts
from standins.fleet import parse_address
from standins.load import Bookings, ClosedLoop, Plan, Queries, run_load
from standins.tally import Summary

from .figures import make_figures, report
from .processes import (
    DeploymentShape,
    Running,
    ServiceShape,
    open_processes,
    read_usage,
    write_deployment,
)

SETTLE_S = 5.0
SAMPLE_S = 0.1
N_CALLERS = 8
N_REQUESTS = 2_000
LOAD_S = 15.0
DEADLINE_MS = 2_000
MEGABYTE = 1e6
SHAPE = DeploymentShape(
    n_hosts=2,
    services=(
        ServiceShape(name="scheduler", n_groups=20),
        ServiceShape(name="sponsor-ledger", n_servers=4, idempotent=False),
    ),
)
# What any process with these libraries takes before it does anything.
BARE = (
    "import trio, hypercorn, httpcore, capnp, prometheus_client, click, json5, msgspec;"
    "print(open('/proc/self/statm').read().split()[1])"
)
PAGE_BYTES = 4096


def measure_bare() -> float:
    """Return the megabytes of a process that has only imported the libraries."""
    output = subprocess.check_output([sys.executable, "-c", BARE], text=True)
    return int(output) * PAGE_BYTES / MEGABYTE


def read_rss(running: Running) -> float:
    """Return the megabytes that a process holds now."""
    return read_usage(running.pid).rss_bytes / MEGABYTE


class Peak:
    """Reads a process's memory again and again, and keeps the highest."""

    def __init__(self, *, running: Running) -> None:
        self.highest_mb = 0.0
        self._running = running

    async def watch(self) -> None:
        """Read until cancelled."""
        while True:
            self.highest_mb = max(self.highest_mb, read_rss(self._running))
            await trio.sleep(SAMPLE_S)


async def load(entry: EntryPorts) -> tuple[Summary, Summary]:
    """Send queries, then bookings, to one host."""
    summaries = []
    for service, work in (("scheduler", Queries()), ("sponsor-ledger", Bookings())):
        plan = Plan(
            entries=(entry,),
            service=service,
            arrivals=ClosedLoop(n_callers=N_CALLERS),
            work=work,
            n_requests=N_REQUESTS,
            duration_s=LOAD_S,
            deadline_ms=DEADLINE_MS,
        )
        summaries.append(await run_load(plan))
    return summaries[0], summaries[1]


async def run() -> tuple[float, float]:
    """Start everything, measure, print a table; return idle and loaded megabytes."""
    bare_mb = measure_bare()
    async with open_processes() as processes:
        deployment = write_deployment(shape=SHAPE, directory=processes.directory)
        await processes.start_platform(deployment)
        await processes.start_backend(deployment, only=("*",))
        async with trio.open_nursery() as nursery:
            for host in deployment.hosts[1:]:
                nursery.start_soon(
                    lambda name: processes.start_entry(deployment, host=name), host.name
                )
            first = deployment.hosts[0]
            entry = await processes.start_entry(deployment, host=first.name)
        await trio.sleep(SETTLE_S)
        idle_mb = read_rss(entry)
        peak = Peak(running=entry)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peak.watch)
            queries, bookings = await load(
                EntryPorts(callers=parse_address(first.callers))
            )
            nursery.cancel_scope.cancel()
        await trio.sleep(SETTLE_S)
        loaded_mb = read_rss(entry)
    table = Table("state", "MB resident", title="one entry process")
    table.add_row("libraries imported, nothing else", f"{bare_mb:.1f}")
    table.add_row("idle", f"{idle_mb:.1f}")
    table.add_row("highest under load", f"{peak.highest_mb:.1f}")
    table.add_row("after the load", f"{loaded_mb:.1f}")
    Console(width=100).print(table)
    for name, summary in (("queries", queries), ("bookings", bookings)):
        print(f"{name}: {summary.sent} sent, {summary.answered} answered")
    return idle_mb, loaded_mb


def main() -> None:
    """Measure; print a table and one line of figures."""
    idle_mb, loaded_mb = trio.run(run)
    figures = {"idle_rss_mb": idle_mb, "loaded_rss_mb": loaded_mb}
    report(make_figures("memory", figures, conditions={"hosts": SHAPE.n_hosts}))


if __name__ == "__main__":
    main()
