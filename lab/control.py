"""Measures the control overhead of an idle entry host by fleet size.

The hosts are real processes without callers. Processor time and memory come from
/proc, gossip bytes from each host's metrics (plus 28 bytes of UDP and IP headers per
datagram), TCP bytes from the kernel. `make measure-control` runs it; `fit`
extrapolates the results to 550 hosts.
"""

from __future__ import annotations

import math
import re
import statistics
import subprocess
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus

import click
import trio
from rich.table import Table

from lavendergap.coordination.ranking import rank_owner
from lavendergap.coordination.watchers import (
    bound_platform_load,
    choose_watch_holders,
)
from lavendergap.state.member import Member
from standins.fleet import parse_address

from .bookers import call
from .entries import EntryFleet, has_memory_for, open_fleet
from .figures import Value, make_figures, report
from .processes import EntryHost, read_scheduler_stats, read_usage

FLEET_SIZES = (7, 25, 50, 100)
TARGET_HOSTS = 550
SETTLE_S = 20.0
WINDOW_S = 30.0
MAX_SAMPLED_HOSTS = 14
N_WATCH_HOLDERS = 2
# Enough groups for the cost of their health probes to be measurable.
N_PROBED_GROUPS = 56
IDLE_CONNECTION_MS = 300_000
UDP_IP_HEADERS_BYTES = 28
BYTES_PER_MB = 1_000_000
LIMITS = {"cpu_share": 0.038, "rss_mb": 64.0, "bytes_per_s": 8_000.0}
_BYTES_SENT = re.compile(r"bytes_sent:(\d+)")
_PID = re.compile(r"pid=(\d+)")


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessReading:
    """Resource counters of one process at time `at`, in seconds."""

    cpu_s: float
    rss_bytes: int
    gossip_bytes: float
    tcp_bytes: int
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Resource use of one idle host: share of a core, megabytes, bytes sent per s."""

    host: str
    n_hosts: int
    is_holder: bool
    n_owned: int
    cpu_share: float
    rss_mb: float
    bytes_per_s: float
    tcp_bytes_per_s: float

    @property
    def is_plain(self) -> bool:
        """Whether the host neither held a watch nor owned a group."""
        return not self.is_holder and self.n_owned == 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LineFit:
    """A least-squares line through all hosts' points, and its value at `TARGET_HOSTS`.

    `error` is the standard error of that value, assuming that the cost is linear in
    the number of hosts.
    """

    slope: float
    at_target: float
    error: float


def fit(points: Sequence[tuple[float, float]], target: float) -> LineFit:
    """Fit a line to `points` and extrapolate it to `target`.

    >>> line = fit([(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)], 10.0)
    >>> line.slope, line.at_target, line.error
    (2.0, 21.0, 0.0)
    """
    n_points = len(points)
    mean_x = sum(x for x, _ in points) / n_points
    mean_y = sum(y for _, y in points) / n_points
    sum_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares
    residual_sum_squares = sum(
        (y - mean_y - slope * (x - mean_x)) ** 2 for x, y in points
    )
    variance = residual_sum_squares / max(1, n_points - 2)
    leverage = 1 / n_points + (target - mean_x) ** 2 / sum_squares
    return LineFit(
        slope=slope,
        at_target=mean_y + slope * (target - mean_x),
        error=math.sqrt(variance * leverage),
    )


def read_tcp_bytes(fleet: EntryFleet) -> dict[int, int]:
    """Return the bytes sent over the open TCP sockets of each process, by pid.

    Sockets of admin ports are excluded, as this measurement itself uses them.
    """
    admin = {host.admin for host in fleet.hosts}
    command = ["ss", "--tcp", "--info", "--processes", "--numeric", "--no-header"]
    lines = subprocess.run(command, capture_output=True, text=True).stdout.splitlines()
    sent: dict[int, int] = defaultdict(int)
    pid = 0
    for line in lines:
        if not line.startswith(("\t", " ")):
            found = _PID.search(line)
            is_admin = line.split()[3] in admin
            pid = int(found.group(1)) if found and not is_admin else 0
        elif found := _BYTES_SENT.search(line):
            sent[pid] += int(found.group(1))
    return sent


async def read_host(
    fleet: EntryFleet, host: EntryHost, tcp_bytes: dict[int, int], *, is_end: bool
) -> ProcessReading:
    """Read the counters of a host; /metrics is read outside the measured interval."""
    pid = fleet.running[host.name].pid
    if is_end:
        scheduled, at = read_scheduler_stats(pid), trio.current_time()
        samples = await fleet.read_metrics(host)
    else:
        samples = await fleet.read_metrics(host)
        scheduled, at = read_scheduler_stats(pid), trio.current_time()
    n_datagrams = samples["lavendergap_gossip_datagrams_total"]
    return ProcessReading(
        cpu_s=scheduled.ran_s,
        rss_bytes=read_usage(pid).rss_bytes,
        gossip_bytes=samples["lavendergap_gossip_bytes_total"]
        + UDP_IP_HEADERS_BYTES * n_datagrams,
        tcp_bytes=tcp_bytes.get(pid, 0),
        at=at,
    )


def choose_holders(fleet: EntryFleet) -> tuple[str, ...]:
    """Return the names of the hosts that hold the platform's watches."""
    members = [
        Member(
            name=host.name,
            data_centre=host.data_centre,
            peers=parse_address(host.peers),
            incarnation=1,
        )
        for host in fleet.hosts
    ]
    return choose_watch_holders(members, N_WATCH_HOLDERS)


def choose_sampled(fleet: EntryFleet, holders: Sequence[str]) -> list[EntryHost]:
    """Return the watch holders and an evenly spaced sample of the other hosts."""
    holder_hosts = [host for host in fleet.hosts if host.name in holders]
    others = [host for host in fleet.hosts if host.name not in holders]
    step = max(1, len(others) // (MAX_SAMPLED_HOSTS - len(holder_hosts)))
    return [*holder_hosts, *others[::step]][:MAX_SAMPLED_HOSTS]


async def measure_fleet(fleet: EntryFleet, n_groups: int) -> tuple[list[Cost], float]:
    """Measure an idle fleet; return hosts' costs and platform calls per second."""
    await trio.sleep(SETTLE_S)
    names = [host.name for host in fleet.hosts]
    holders = choose_holders(fleet)
    hosts = choose_sampled(fleet, holders)
    owners = [rank_owner(f"scheduler-{group:02}", names) for group in range(n_groups)]
    n_calls = await fleet.count_platform_calls()
    begin = trio.current_time()
    tcp_bytes = read_tcp_bytes(fleet)
    starts = [await read_host(fleet, h, tcp_bytes, is_end=False) for h in hosts]
    await trio.sleep(WINDOW_S)
    tcp_bytes = read_tcp_bytes(fleet)
    ends = [await read_host(fleet, h, tcp_bytes, is_end=True) for h in hosts]
    n_calls = await fleet.count_platform_calls() - n_calls
    calls_per_s = n_calls / (trio.current_time() - begin)
    costs = []
    for host, start, end in zip(hosts, starts, ends, strict=True):
        seconds = end.at - start.at
        # The metric counts sent and received bytes; half of it approximates the bytes
        # sent, as each datagram has one sender and one receiver.
        gossip = (end.gossip_bytes - start.gossip_bytes) / 2 / seconds
        tcp = max(0, end.tcp_bytes - start.tcp_bytes) / seconds
        costs.append(
            Cost(
                host=host.name,
                n_hosts=len(fleet.hosts),
                is_holder=host.name in holders,
                n_owned=owners.count(host.name),
                cpu_share=(end.cpu_s - start.cpu_s) / seconds,
                rss_mb=end.rss_bytes / BYTES_PER_MB,
                bytes_per_s=gossip + tcp,
                tcp_bytes_per_s=tcp,
            )
        )
    return costs, calls_per_s


def make_table(costs: Sequence[Cost], calls: dict[int, float]) -> Table:
    """Return a table with a row for each fleet size and kind of host."""
    table = Table(
        "hosts", "kind", "read", "core %", "rss MB", "bytes/s", "of it TCP",
        "platform calls/s", title="Control, one idle host (medians)",
    )  # fmt: skip
    for n_hosts in calls:
        for kind, is_plain in (("plain", True), ("holder", False)):
            selected = [
                c
                for c in costs
                if c.n_hosts == n_hosts and (c.is_plain if is_plain else c.is_holder)
            ]
            if selected:
                table.add_row(
                    str(n_hosts),
                    kind,
                    str(len(selected)),
                    f"{100 * statistics.median(c.cpu_share for c in selected):.3f}",
                    f"{statistics.median(c.rss_mb for c in selected):.2f}",
                    f"{statistics.median(c.bytes_per_s for c in selected):.0f}",
                    f"{statistics.median(c.tcp_bytes_per_s for c in selected):.0f}",
                    f"{calls[n_hosts]:.2f}",
                )
    return table


def compute_figures(costs: Sequence[Cost], calls: dict[int, float]) -> dict[str, float]:
    """Return the medians at each size and the fitted lines' values at 550 hosts."""
    figures: dict[str, float] = {}
    plain = [cost for cost in costs if cost.is_plain]
    for name in LIMITS:
        for n_hosts in calls:
            for kind, selected in (("", plain), ("holder_", costs)):
                values = [
                    getattr(c, name)
                    for c in selected
                    if c.n_hosts == n_hosts and (not kind or c.is_holder)
                ]
                if values:
                    key = f"{kind}{name}_at_{n_hosts}"
                    figures[key] = statistics.median(values)
        line = fit([(c.n_hosts, getattr(c, name)) for c in plain], TARGET_HOSTS)
        figures[f"{name}_slope"] = line.slope
        figures[f"{name}_{TARGET_HOSTS}_error"] = line.error
        figures[f"{name}_{TARGET_HOSTS}"] = line.at_target
        log_fit = fit(
            [(math.log(c.n_hosts), getattr(c, name)) for c in plain],
            math.log(TARGET_HOSTS),
        )
        figures[f"{name}_{TARGET_HOSTS}_by_logarithm"] = log_fit.at_target
    for n_hosts, calls_per_s in calls.items():
        figures[f"platform_calls_per_s_at_{n_hosts}"] = calls_per_s
    # The steady rate of calls does not depend on the fleet size, but only the smallest
    # fleet runs long enough here to reach it: a fitted line would extrapolate to a
    # negative rate.
    figures[f"platform_calls_per_s_{TARGET_HOSTS}"] = max(calls.values())
    bound = bound_platform_load(
        n_hosts=TARGET_HOSTS, n_holders=N_WATCH_HOLDERS, changes_per_s=0
    )
    figures[f"platform_calls_per_s_{TARGET_HOSTS}_bound"] = bound.calls_per_s
    return figures


def compute_probe_cost(costs: Sequence[Cost]) -> dict[str, float]:
    """Return the processor time of a host's health probes per owned group.

    A group has two servers. Bytes are not measured: each probe's connection is closed
    before the kernel's counters for it can be read.
    """
    owned = [(c.n_owned, c.cpu_share) for c in costs]
    cpu = fit(owned, 0)
    largest = max(n_owned for n_owned, _ in owned)
    return {
        "cpu_share_per_group": cpu.slope,
        "cpu_share_none": cpu.at_target,
        "cpu_share_none_error": cpu.error,
        "groups_owned_at_most": largest,
    }


async def measure_probes(*, is_saved: bool) -> None:
    """Measure the cost of owning groups on hosts that own different numbers of them.

    A group is probed from its first query until it is unused, so one query to all
    groups starts the probes.
    """
    async with open_fleet(
        FLEET_SIZES[0],
        n_groups=N_PROBED_GROUPS,
        control={"idle_connection_ms": IDLE_CONNECTION_MS},
    ) as fleet:
        path = "/v1/services/scheduler/query"
        headers = {"Content-Type": "application/json"}
        answer = await call(
            fleet.hosts[0].callers, "POST", path, headers=headers, body=b"{}"
        )
        assert answer is not None and answer.status == HTTPStatus.OK, answer
        costs, _ = await measure_fleet(fleet, N_PROBED_GROUPS)
    table = Table("owned groups", "core %", title="Health probes")
    for cost in sorted(costs, key=lambda cost: cost.n_owned):
        table.add_row(str(cost.n_owned), f"{100 * cost.cpu_share:.3f}")
    conditions: dict[str, Value] = {"hosts": FLEET_SIZES[0], "servers_per_group": 2}
    figures = make_figures("probes", compute_probe_cost(costs), conditions=conditions)
    report(figures, table, is_saved=is_saved)


async def measure(sizes: tuple[int, ...], *, is_saved: bool) -> None:
    """Measure each fleet size that the machine has enough memory for, and report."""
    costs: list[Cost] = []
    calls: dict[int, float] = {}
    for n_hosts in sizes:
        if not has_memory_for(n_hosts):
            print(f"{n_hosts} hosts skipped: they would use half of the memory")
            continue
        async with open_fleet(n_hosts) as fleet:
            selected, calls[n_hosts] = await measure_fleet(fleet, 1)
        costs += selected
        for cost in selected:
            print(cost, flush=True)
    figures = compute_figures(costs, calls)
    conditions: dict[str, Value] = {
        "sizes": " ".join(map(str, calls)),
        "window_s": WINDOW_S,
        "hosts_read": len(costs),
    }
    report(
        make_figures("control", figures, conditions=conditions),
        make_table(costs, calls),
        is_saved=is_saved,
    )
    last = [f"{name}_{TARGET_HOSTS}" for name in (*LIMITS, "platform_calls_per_s")]
    print(" ".join(f"{name}={figures[name]:.4g}" for name in last))


@click.command()
@click.argument("sizes", type=int, nargs=-1)
@click.option("--probes-only", is_flag=True, help="Measure just the health probes.")
def main(sizes: tuple[int, ...], probes_only: bool) -> None:
    """Measure at SIZES entry processes; only the default sizes are saved."""
    trio.run(lambda: measure_probes(is_saved=not sizes))
    if not probes_only:
        trio.run(lambda: measure(sizes or FLEET_SIZES, is_saved=not sizes))


if __name__ == "__main__":
    main()
