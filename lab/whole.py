"""Measures a whole query's processor time over all entry hosts; `python -m lab.whole`.

Fleets of a few sizes with real processes answer queries of 85 shards, asked by a
few callers or by many, spread over the hosts. The processor time of all entry hosts
together, less what they use while idle, is shared among the queries. It checks the sum
of parts that `docs/CAPACITY.md` works with.
"""

import trio
from rich.table import Table

from standins.balancer import EntryPorts
from standins.fleet import parse_address
from standins.load import ClosedLoop, Plan, Queries, run_load
from standins.tally import Summary

from .fanout import start_servers
from .figures import make_figures, report
from .processes import (
    DeploymentShape,
    Running,
    ServiceShape,
    open_processes,
    read_usage,
)

SIZES = (1, 2, 4, 8)
SERVICE = "scheduler"
N_SHARDS = 85
FEW_CALLERS = 2
MANY_CALLERS = 16
N_WARM_UP = 40
N_QUERIES = 200
LOAD_S = 60.0
IDLE_S = 5.0
DEADLINE_MS = 5_000
# At full rate the health probes of 170 servers would be a good part of the figure.
PROBE_INTERVAL_MS = 60_000


class FailedQueryError(Exception):
    """A query had no whole answer, so that the figures would mean nothing."""


def read_cpu(entries: list[Running]) -> float:
    """Return the processor seconds that all entry hosts have used."""
    return sum(read_usage(entry.pid).cpu_s for entry in entries)


async def load(
    ports: tuple[EntryPorts, ...], n_queries: int, n_callers: int
) -> Summary:
    """Ask queries one after the other, from so many callers."""
    plan = Plan(
        entries=ports,
        service=SERVICE,
        arrivals=ClosedLoop(n_callers=n_callers),
        work=Queries(),
        n_requests=n_queries,
        duration_s=LOAD_S,
        deadline_ms=DEADLINE_MS,
    )
    summary = await run_load(plan)
    if summary.answered != summary.sent:
        raise FailedQueryError(f"{summary.answered} of {summary.sent} answered whole")
    return summary


async def measure_fleet(n_hosts: int) -> dict[str, float]:
    """Return the processor milliseconds of a query, by few and by many callers."""
    shape = DeploymentShape(
        n_hosts=n_hosts,
        services=(
            ServiceShape(
                name=SERVICE,
                n_groups=N_SHARDS,
                options={"hedge_budget": 0, "deadline_ms": DEADLINE_MS},
            ),
        ),
        control={"server_probe_interval_ms": PROBE_INTERVAL_MS},
    )
    async with open_processes() as processes:
        deployment = await start_servers(processes, shape)
        await processes.start_platform(deployment)
        entries: list[Running] = []

        async def start(name: str) -> None:
            entries.append(await processes.start_entry(deployment, host=name))

        async with trio.open_nursery() as nursery:
            for host in deployment.hosts:
                nursery.start_soon(start, host.name)
        ports = tuple(
            EntryPorts(callers=parse_address(host.callers)) for host in deployment.hosts
        )
        await load(ports, N_WARM_UP, MANY_CALLERS)
        before_s = read_cpu(entries)
        await trio.sleep(IDLE_S)
        idle = (read_cpu(entries) - before_s) / IDLE_S
        costs = {}
        for name, n_callers in (("few", FEW_CALLERS), ("many", MANY_CALLERS)):
            before_s = read_cpu(entries)
            began = trio.current_time()
            summary = await load(ports, N_QUERIES, n_callers)
            elapsed = trio.current_time() - began
            used_s = read_cpu(entries) - before_s - idle * elapsed
            costs[name] = used_s / summary.sent * 1e3
    return costs


def main() -> None:
    """Measure each size; print a table, save the figures."""
    costs = {n: trio.run(measure_fleet, n) for n in SIZES}
    table = Table("entry hosts", "few", "many", title="ms a query of 85 shards")
    for n_hosts, by_callers in costs.items():
        table.add_row(str(n_hosts), *(f"{each:.1f}" for each in by_callers.values()))
    figures = {
        f"query_ms_{name}_at_{n}": cost
        for n, by_callers in costs.items()
        for name, cost in by_callers.items()
    }
    conditions = {
        "shards": N_SHARDS,
        "queries": N_QUERIES,
        "few": FEW_CALLERS,
        "many": MANY_CALLERS,
    }
    report(make_figures("whole", figures, conditions=conditions), table)


if __name__ == "__main__":
    main()
