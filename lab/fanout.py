"""Measures the processor time of one leaf call: ours, the naive way, and bare.

Backend servers are stand-ins in other processes that answer at once, so that the
processor time of this process is the client's alone. The ways take turns within one
run, each sends the same queries, and each keeps its connections open. *Ours* is the
product's path from `Owner.submit` to the checked answer, with a line for each
decision written to a pipe that another process reads. *Naive* sends all calls of a
query through one httpcore pool, without accounting and without logs. *Bare* holds
one httpcore connection for each backend server in a dict.
"""

import logging
import os
import secrets
import statistics
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import httpcore
import trio
from rich.table import Table

from lavendergap.coordination.calls import Call, FinishCall
from lavendergap.entry.owner import Owner, Wanted
from lavendergap.logs import LineHandler, LogFormat, configure_logs
from lavendergap.state.outcome import Answered
from lavendergap.state.settings import Group, Server, Service, Settings
from lavendergap.state.tree import load_settings

from .decisions import open_reader, wait_for_reader
from .figures import make_figures, report
from .leafways import TrialSearch, exchange_bytes, exchange_h11, measure_hop
from .processes import (
    Deployment,
    DeploymentShape,
    Processes,
    ServiceShape,
    StartError,
    open_processes,
    write_deployment,
)

SIZES = (20, 85, 200)
SERVICE = "scheduler"
BODY = b'{"query": "service alert"}'
# Far beyond what a query takes here: what is measured is the cost of a call that
# succeeds, also on a machine that is busy with other things.
DEADLINE_S = 20.0
N_ROUNDS = 5
N_STARTS = 4
# Calls that a way makes in one round at one size; the naive way makes fewer, since
# each takes many times longer.
N_CALLS = 1_700
N_NAIVE_CALLS = 200
# The servers of a settings file split over four processes by their group's last digit.
PATTERNS = ("*[012]-?", "*[345]-?", "*[67]-?", "*[89]-?")
# The control ports are not used; a port chosen here might be one of a server's.
ANY_PORT = "127.0.0.1:0"
# The most that settings allow. Health probes go by time and not by calls; at full
# rate they would count against whichever size is measured longest.
PROBE_INTERVAL_MS = 60_000

# A hedge is a call of its own. Here this process's own busy loop makes calls late, and
# with hedges up to 8 in 100 calls of the largest queries were made twice.
OPTIONS = {"hedge_budget": 0.0}

Search = Callable[[tuple[Group, ...]], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Way:
    """One way of making the calls of a query, and how many calls to measure."""

    name: str
    search: Search
    n_calls: int


class FailedCallError(Exception):
    """A call had no answer, so that the figures would mean nothing."""


class OurSearch:
    """Sends a query through the product's owner of groups."""

    def __init__(self, *, owner: Owner) -> None:
        self._owner = owner
        self.n_attempts = 0

    async def __call__(self, groups: tuple[Group, ...]) -> None:
        deadline = trio.current_time() + DEADLINE_S
        ends: list[FinishCall] = []
        is_done = trio.Event()

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            ends.append(end)
            if len(ends) == len(groups):
                is_done.set()

        self._owner.submit(
            [
                Wanted(call=self._make_call(group, deadline), finish=finish)
                for group in groups
            ]
        )
        await is_done.wait()
        for end in ends:
            self.n_attempts += end.n_attempts
            if not isinstance(end.outcome, Answered):
                raise FailedCallError(str(end.outcome))

    def _make_call(self, group: Group, deadline: float) -> Call:
        return Call(
            call_id=self._owner.make_call_id(),
            request_id="q-1",
            service=SERVICE,
            group=group.name,
            shard=group.name,
            version=1,
            deadline=deadline,
            body=BODY,
            idempotent=True,
        )


def make_headers(server: Server, shard: str) -> list[tuple[str, str]]:
    """Make the headers of a call as a client without accounting would."""
    return [
        ("Host", str(server.address)),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(BODY))),
        ("Attempt", secrets.token_hex(8)),
        ("Request-Id", "q-1"),
        ("Deadline-Ms", "280"),
        ("Shard", shard),
        ("Index-Version", "1"),
    ]


def check_status(response: httpcore.Response) -> None:
    """Raise FailedCallError unless the call was answered."""
    if response.status != 200:
        raise FailedCallError(f"status {response.status}")


class NaiveSearch:
    """Sends all calls of a query at once through one pool.

    Each size of query has a pool of its own, for what a pool costs a call grows with
    the connections that it holds.
    """

    def __init__(self) -> None:
        self._pools: dict[int, httpcore.AsyncConnectionPool] = {}

    async def __call__(self, groups: tuple[Group, ...]) -> None:
        pool = self._pools.get(len(groups))
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=None, max_keepalive_connections=None
            )
            self._pools[len(groups)] = pool
        async with trio.open_nursery() as nursery:
            for group in groups:
                nursery.start_soon(self._call, pool, group)

    async def _call(self, pool: httpcore.AsyncConnectionPool, group: Group) -> None:
        server = group.servers[0]
        url = f"http://{server.address}/search"
        headers = make_headers(server, group.name)
        check_status(await pool.request("POST", url, headers=headers, content=BODY))

    async def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            await pool.aclose()


class BareSearch:
    """Sends all calls of a query at once, each over its server's own connection."""

    def __init__(self) -> None:
        self._connections: dict[str, httpcore.AsyncHTTPConnection] = {}

    async def __call__(self, groups: tuple[Group, ...]) -> None:
        async with trio.open_nursery() as nursery:
            for group in groups:
                nursery.start_soon(self._call, group)

    async def _call(self, group: Group) -> None:
        server = group.servers[0]
        connection = self._connections.get(server.name)
        if connection is None:
            origin = httpcore.Origin(
                b"http", server.address.ip.encode(), server.address.port
            )
            connection = httpcore.AsyncHTTPConnection(origin)
            self._connections[server.name] = connection
        url = f"http://{server.address}/search"
        headers = make_headers(server, group.name)
        check_status(
            await connection.request("POST", url, headers=headers, content=BODY)
        )

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._connections.values():
            await connection.aclose()


async def start_servers(processes: Processes, shape: DeploymentShape) -> Deployment:
    """Start all backend servers of a deployment, which answer at once.

    A program beside this one may take one of the many ports before a server does;
    then all start again on other ports.
    """
    for _ in range(N_STARTS - 1):
        try:
            return await _start_once(processes, shape)
        except StartError:
            await processes.stop_all()
    return await _start_once(processes, shape)


async def _start_once(processes: Processes, shape: DeploymentShape) -> Deployment:
    deployment = write_deployment(shape=shape, directory=processes.directory)
    for pattern in PATTERNS:
        arguments = ["--settings", str(deployment.settings), "--only", pattern]
        arguments += ["--control", ANY_PORT, "--service-ms", "0"]
        await processes.start("standins.backend", arguments)
    return deployment


@asynccontextmanager
async def open_ways(settings: Settings) -> AsyncIterator[tuple[Way, ...]]:
    """Yield the ways; their connections are closed at the end."""
    async with trio.open_nursery() as nursery:
        owner = Owner(
            settings=settings,
            nursery=nursery,
            random=Random(1),
            attempt_prefix="ptl-a-1-1764700000000",
        )
        naive = NaiveSearch()
        bare = BareSearch()
        by_h11 = TrialSearch(exchange=exchange_h11)
        by_bytes = TrialSearch(exchange=exchange_bytes)
        yield (
            Way(name="ours", search=OurSearch(owner=owner), n_calls=N_CALLS),
            Way(name="naive", search=naive, n_calls=N_NAIVE_CALLS),
            Way(name="bare", search=bare, n_calls=N_CALLS),
            Way(name="h11 (trial)", search=by_h11, n_calls=N_CALLS),
            Way(name="bytes (trial)", search=by_bytes, n_calls=N_CALLS),
        )
        await naive.close()
        await bare.close()
        by_h11.close()
        by_bytes.close()
        nursery.cancel_scope.cancel()


async def measure_way(
    way: Way, groups: tuple[Group, ...], handler: LineHandler
) -> float:
    """Return the microseconds of processor time of one call."""
    n_queries = max(1, way.n_calls // len(groups))
    start_s = time.process_time()
    for _ in range(n_queries):
        await way.search(groups)
    used_s = time.process_time() - start_s
    await trio.to_thread.run_sync(wait_for_reader, handler.writer)
    return used_s / (n_queries * len(groups)) * 1e6


Costs = dict[tuple[str, int], float]


async def measure(service: Service, settings: Settings, handler: LineHandler) -> Costs:
    """Return the median cost of a call for each way and size."""
    rounds: dict[tuple[str, int], list[float]] = {}
    async with open_ways(settings) as ways:
        for way in ways:
            for size in SIZES:
                await way.search(service.groups[:size])
        for _ in range(N_ROUNDS):
            for size in SIZES:
                for way in ways:
                    cost = await measure_way(way, service.groups[:size], handler)
                    rounds.setdefault((way.name, size), []).append(cost)
    if handler.n_dropped:
        raise FailedCallError(f"{handler.n_dropped} log lines dropped")
    return {key: statistics.median(costs) for key, costs in rounds.items()}


async def run() -> Costs:
    """Start the stand-ins, measure, and end them."""
    shape = DeploymentShape(
        n_hosts=2,
        services=(ServiceShape(name=SERVICE, n_groups=max(SIZES), options=OPTIONS),),
        control={"server_probe_interval_ms": PROBE_INTERVAL_MS},
    )
    async with open_processes() as processes:
        deployment = await start_servers(processes, shape)
        settings = load_settings(deployment.settings)
        service = settings.get_service(SERVICE)
        assert service is not None
        with open_reader() as descriptor:
            handler = configure_logs(descriptor=descriptor, log_format=LogFormat.JSON)
            try:
                costs = await measure(service, settings, handler)
            finally:
                # The reader ends, and is waited for, once nobody can write to it.
                os.close(handler.writer.output.fileno())
                logging.getLogger().handlers.clear()
    return costs


def list_figures(costs: Costs) -> dict[str, float]:
    """Return the cost of each way and size, then what is made of them."""
    figures = {
        f"{name.replace(' (trial)', '_trial')}_us_at_{n}": cost
        for (name, n), cost in costs.items()
    }
    ours = costs["ours", 85]
    figures["vs_naive"] = ours / costs["naive", 85]
    figures["vs_bare"] = ours / costs["bare", 85]
    figures["growth"] = costs["ours", 200] / costs["ours", 20]
    return figures


def main() -> None:
    """Measure; print a table, save the figures, and print them in one line."""
    costs = trio.run(run)
    table = Table("way", *(f"{n} leafs" for n in SIZES), title="us a call")
    for name in dict.fromkeys(name for name, _ in costs):
        table.add_row(name, *(f"{costs[name, n]:.0f}" for n in SIZES))
    hops = ", ".join(f"{measure_hop(n):.0f} us at {n}" for n in (1, 5, 20))
    print(f"codec of the hop to another host (trial), for each shard: {hops} in one")
    report(make_figures("fanout", list_figures(costs)), table)


if __name__ == "__main__":
    main()
