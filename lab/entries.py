"""Fleets of real entry processes, for measurements across hosts.

The processes start in batches. `has_memory_for` checks that a fleet would leave half of
the machine's memory free.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import trio
from prometheus_client.parser import text_string_to_metric_families

from .bookers import call
from .processes import (
    Deployment,
    DeploymentShape,
    EntryHost,
    Processes,
    Running,
    ServiceShape,
    StartError,
    find_free_address,
    open_processes,
    write_deployment,
)

MAX_CONCURRENT_STARTS = 8
READY_LIMIT_S = 60.0
CALL_LIMIT_S = 5.0
JOIN_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.5
MAX_STARTS = 3
PROCESS_RESERVE_BYTES = 60_000_000
"""Memory assumed for one entry process; above what a process really uses."""


def has_memory_for(n_processes: int) -> bool:
    """Return whether `n_processes` more would leave half of the memory free."""
    fields = dict(
        line.split(":") for line in Path("/proc/meminfo").read_text().splitlines()
    )
    total, available = (
        int(fields[name].split()[0]) * 1024 for name in ("MemTotal", "MemAvailable")
    )
    return total - available + n_processes * PROCESS_RESERVE_BYTES < total / 2


class EntryFleet:
    """A running platform with its backend servers and entry processes.

    `running` holds the entry processes by host name.
    """

    def __init__(
        self, *, processes: Processes, deployment: Deployment, platform_control: str
    ) -> None:
        self.deployment = deployment
        self.platform_control = platform_control
        self.running: dict[str, Running] = {}
        self._processes = processes

    @property
    def hosts(self) -> tuple[EntryHost, ...]:
        """The entry hosts of the settings file."""
        return self.deployment.hosts

    async def start(self, names: Sequence[str]) -> None:
        """Start or restart hosts, a few at a time; return once all are ready."""
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_STARTS)
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(self._start_one, name, limiter)

    async def _start_one(self, name: str, limiter: trio.CapacityLimiter) -> None:
        settings = str(self.deployment.settings)
        arguments = ["entry", "--settings", settings, "--host", name]
        async with limiter:
            self.running[name] = await self._processes.start(
                "lavendergap", arguments, name=name, ready_s=READY_LIMIT_S
            )

    async def join(self) -> None:
        """Wait until every host counts all running hosts as live.

        Raises trio.TooSlowError after `JOIN_LIMIT_S` seconds.
        """
        n_hosts = len(self.running)
        with trio.fail_after(JOIN_LIMIT_S):
            for host in self.hosts:
                while await self.count_live(host) != n_hosts:
                    await trio.sleep(POLL_INTERVAL_S)

    async def count_live(self, host: EntryHost) -> int:
        """Return how many live hosts `host` reports, 0 without an answer."""
        samples = await self.read_metrics(host)
        return round(samples.get("lavendergap_members_live", 0.0))

    async def read_metrics(self, host: EntryHost) -> dict[str, float]:
        """Return a host's metrics; the series of one name are summed."""
        answer = await call(host.admin, "GET", "/metrics", limit=CALL_LIMIT_S)
        sums: dict[str, float] = {}
        for family in text_string_to_metric_families(
            answer.body.decode() if answer else ""
        ):
            for sample in family.samples:
                sums[sample.name] = sums.get(sample.name, 0.0) + sample.value
        return sums

    async def count_platform_calls(self) -> int:
        """Return how many calls the platform has received."""
        answer = await call(self.platform_control, "GET", "/counts", limit=CALL_LIMIT_S)
        assert answer is not None
        kinds = ("get", "put", "list", "watch", "watch prefix", "hosts", "other")
        counts = answer.json
        counts = counts.get("calls", counts)
        return sum(counts.get(kind, 0) for kind in kinds)


@asynccontextmanager
async def open_fleet(
    n_hosts: int,
    *,
    n_groups: int = 1,
    control: Mapping[str, object] | None = None,
) -> AsyncIterator[EntryFleet]:
    """Yield a fleet whose hosts have all joined; stop it when the block exits.

    Another program may take a port between the search for free ones and the start;
    the fleet is then started again on other ports, up to `MAX_STARTS` times in all.
    """
    shape = DeploymentShape(
        n_hosts=n_hosts,
        n_data_centres=4,
        services=(ServiceShape(name="scheduler", n_groups=n_groups),),
        control=control or {},
    )
    for attempt in range(1, MAX_STARTS + 1):
        async with open_processes() as processes:
            fleet = await _try_start(processes, shape, is_last=attempt == MAX_STARTS)
            if fleet is not None:
                yield fleet
                return


async def _try_start(
    processes: Processes, shape: DeploymentShape, *, is_last: bool
) -> EntryFleet | None:
    try:
        return await _start_fleet(processes, shape)
    except (StartError, ExceptionGroup) as error:
        is_start_error = (
            not isinstance(error, ExceptionGroup) or not error.split(StartError)[1]
        )
        if is_last or not is_start_error:
            raise
        print(f"starting again on other ports: {error}")
        return None


async def _start_fleet(processes: Processes, shape: DeploymentShape) -> EntryFleet:
    deployment = write_deployment(shape=shape, directory=processes.directory)
    control = find_free_address()
    await processes.start_platform(deployment, control=control)
    await processes.start_backend(deployment, only=("*",))
    fleet = EntryFleet(
        processes=processes, deployment=deployment, platform_control=control
    )
    await fleet.start([host.name for host in fleet.hosts])
    await fleet.join()
    return fleet
