"""Breaks one thing at a time under load, and counts what callers got.

Each scenario is a deployment of its own with processes for the platform, the backend
servers of each data centre and four entry hosts. Queries arrive at a steady rate and
every answer is checked: its own query, one snapshot, coverage that adds up. Wanted in
every scenario: nothing wrong, and nothing lost or cut but on entry hosts that were
themselves killed or frozen, which are counted apart.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

import click
import msgspec
import trio
from rich.table import Table

from lavendergap.protocol.objects import encode_index_object, make_index_key
from lavendergap.state.settings import Address
from lavendergap.state.snapshot import Published, Shard, Snapshot
from lavendergap.state.tree import load_settings
from lavendergap.transport.platform import Found, PlatformClient, Stored
from standins.balancer import EntryPorts
from standins.client import connect
from standins.load import OpenLoop, Plan, Queries, run_load
from standins.tally import Summary

from .figures import make_figures, report
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

SERVICE = "scheduler"
N_GROUPS = 8
N_HOSTS = 4
DEADLINE_MS = 500
SERVICE_MS = 5
BREAK_AFTER_S = 2.0
INDEX_KEY = make_index_key(SERVICE)
SHAPE = DeploymentShape(
    n_hosts=N_HOSTS,
    services=(
        ServiceShape(
            name=SERVICE,
            n_groups=N_GROUPS,
            options={"deadline_ms": DEADLINE_MS, "stragglers": {"kind": "wait"}},
        ),
    ),
)


@dataclass(kw_only=True, slots=True)
class Stage:
    """The running deployment of one scenario; entries and backends by name."""

    processes: Processes
    deployment: Deployment
    entries: dict[str, Running]
    backends: dict[str, Running]
    controls: dict[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """What is broken, and for how long queries arrive around it.

    `breaks_hosts` says that entry hosts die or freeze without warning, so that the
    requests on their own connections get no answer whatever the others do.
    """

    name: str
    break_it: Callable[[Stage], Awaitable[None]]
    duration_s: float = 7.0
    breaks_hosts: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What callers got in one scenario."""

    scenario: Scenario
    summary: Summary


async def lose_replica(stage: Stage) -> None:
    """End one backend server of one group."""
    await set_faults(stage, {f"{SERVICE}-03-a": {"dead": True}})


async def lose_data_centre(stage: Stage) -> None:
    """Kill the entry hosts and the backend servers of one data centre at once."""
    centre = stage.deployment.hosts[-1].data_centre
    for host in stage.deployment.hosts:
        if host.data_centre == centre:
            await stage.entries[host.name].kill()
    await stage.backends["b"].kill()


async def silence_connections(stage: Stage) -> None:
    """Have all open connections to backend servers go silent; new ones work."""
    await set_faults(stage, {"*": {"silence": True}})


async def pause_host(stage: Stage) -> None:
    """Stop one entry host as a frozen machine would, and let it go on later."""
    paused = stage.entries[stage.deployment.hosts[1].name]
    paused.pause()
    await trio.sleep(2.5)
    paused.resume()


async def switch_version(stage: Stage) -> None:
    """Have all backend servers go from version 1 to 2 within the same second."""
    faults = {
        "index_versions": [1, 2],
        "next_index_versions": [2],
        "switch_after_ms": 1_500,
    }
    await set_faults(stage, {"*": faults})
    await publish(stage, N_GROUPS)


async def repartition(stage: Stage) -> None:
    """Publish version 2 with fewer shards while queries of version 1 are running."""
    old = {"1": [f"s{place:02}" for place in range(N_GROUPS)]}
    for place in range(N_GROUPS):
        shards = {**old, "2": [f"s{place:02}"] if place < N_GROUPS - 2 else []}
        faults = {
            "shards": shards,
            "index_versions": [1, 2],
            "next_index_versions": [2],
            "switch_after_ms": 2_000,
        }
        await set_faults(stage, {f"{SERVICE}-{place:02}-*": faults})
    await publish(stage, N_GROUPS - 2)


async def publish(stage: Stage, n_shards: int) -> None:
    """Write version 2 of the index beside version 1, as the indexer would."""
    ip, port = stage.deployment.platform.split(":")
    address = Address(ip=ip, port=int(port))
    async with PlatformClient(address=address) as client:
        found = await client.get(INDEX_KEY)
        assert isinstance(found, Found), found
        snapshots = (make_snapshot(1, N_GROUPS), make_snapshot(2, n_shards))
        published = Published(service=SERVICE, object_version=0, snapshots=snapshots)
        stored = await client.put(
            INDEX_KEY, encode_index_object(published), base=found.version
        )
        assert isinstance(stored, Stored), stored


def make_snapshot(version: int, n_shards: int) -> Snapshot:
    """Return a snapshot of equal shares over the first `n_shards` groups."""
    shards = tuple(
        Shard(name=f"s{place:02}", group=f"{SERVICE}-{place:02}", share=1 / n_shards)
        for place in range(n_shards)
    )
    return Snapshot(service=SERVICE, version=version, shards=shards)


async def roll(stage: Stage) -> None:
    """Stop every entry host as planned, one after the other, and start it anew."""
    for host in stage.deployment.hosts:
        code = await stage.entries[host.name].stop(limit_s=30.0)
        assert code == 0, f"{host.name} ended with {code}"
        stage.entries[host.name] = await stage.processes.start_entry(
            stage.deployment, host=host.name
        )


async def lose_platform(stage: Stage) -> None:
    """Take the platform's object API away altogether."""
    [platform] = [r for r in stage.processes.running if "platform" in r.name]
    await platform.kill()


SCENARIOS = (
    Scenario(name="replica lost", break_it=lose_replica),
    Scenario(name="data centre lost", break_it=lose_data_centre, breaks_hosts=True),
    Scenario(name="connections silent", break_it=silence_connections),
    Scenario(name="entry host paused", break_it=pause_host, breaks_hosts=True),
    Scenario(name="platform down", break_it=lose_platform),
    Scenario(name="index version switched", break_it=switch_version),
    Scenario(name="repartitioned", break_it=repartition),
    Scenario(name="rolling stop", break_it=roll, duration_s=32.0),
)


async def set_faults(stage: Stage, faults: dict[str, object]) -> None:
    """Set faults at the control ports; a name goes only to the process that has it."""
    for letter, control in stage.controls.items():
        here = {name: f for name, f in faults.items() if name.endswith(("*", letter))}
        if not here:
            continue
        ip, port = control.split(":")
        client = await connect(ip, int(port))
        answer = await client.request("POST", "/faults", body=msgspec.json.encode(here))
        await client.aclose()
        assert answer.status == 200, answer.body


async def open_stage(processes: Processes) -> Stage:
    """Start the platform, the backend servers of both data centres and the hosts."""
    deployment = write_deployment(shape=SHAPE, directory=processes.directory)
    controls = {letter: find_free_address() for letter in "ab"}
    stage = Stage(
        processes=processes,
        deployment=deployment,
        entries={},
        backends={},
        controls=controls,
    )

    async def start_backend(letter: str) -> None:
        stage.backends[letter] = await processes.start_backend(
            deployment, only=(f"*-{letter}",), control=controls[letter]
        )

    async def start_entry(host: EntryHost) -> None:
        stage.entries[host.name] = await processes.start_entry(
            deployment, host=host.name
        )

    await processes.start_platform(deployment)
    async with trio.open_nursery() as nursery:
        for letter in controls:
            nursery.start_soon(start_backend, letter)
        for host in deployment.hosts:
            nursery.start_soon(start_entry, host)
    await set_faults(stage, {"*": {"service_ms": SERVICE_MS}})
    return stage


def list_entries(deployment: Deployment) -> tuple[EntryPorts, ...]:
    """Return the hosts' ports as the balancer knows them."""
    settings = load_settings(deployment.settings)
    return tuple(
        EntryPorts(callers=host.callers, admin=host.admin) for host in settings.hosts
    )


async def run_scenario(scenario: Scenario, *, rate: float) -> Result:
    """Run one scenario and return what callers got."""
    async with open_processes() as processes:
        stage = await open_stage(processes)
        plan = Plan(
            entries=list_entries(stage.deployment),
            service=SERVICE,
            arrivals=OpenLoop(rate=rate),
            work=Queries(),
            n_requests=math.ceil(2 * rate * scenario.duration_s),
            duration_s=scenario.duration_s,
            deadline_ms=DEADLINE_MS,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(break_later, stage, scenario)
            summary = await run_load(plan)
    return Result(scenario=scenario, summary=summary)


async def break_later(stage: Stage, scenario: Scenario) -> None:
    """Break it once the load has run for a while."""
    await trio.sleep(BREAK_AFTER_S)
    await scenario.break_it(stage)


def build_table(results: list[Result]) -> Table:
    """Return the table of all scenarios."""
    columns = "sent answered partly none not_run wrong lost cut refused share p99 gap"
    table = Table("scenario", *columns.split())
    for result in results:
        s = result.summary
        counts = (
            s.sent,
            s.answered,
            s.partly,
            s.uncovered,
            s.not_run,
            s.wrong,
            s.lost,
            s.cut,
            s.refused,
        )
        table.add_row(
            result.scenario.name,
            *map(str, counts),
            f"{s.mean_share:.3f}",
            f"{s.p99_ms:.0f}",
            f"{s.worst_gap_ms:.0f}",
        )
    return table


@click.command()
@click.option("--rate", default=40.0, show_default=True, help="Queries a second.")
@click.option("--only", default="", help="Run the scenarios whose names hold this.")
def main(rate: float, only: str) -> None:
    """Break one thing at a time under load; print what callers got."""
    results: list[Result] = []
    for scenario in SCENARIOS:
        if only in scenario.name:
            results.append(trio.run(partial(run_scenario, scenario, rate=rate)))
            print(f"{scenario.name}: {results[-1].summary.reasons}", flush=True)
    whole = [r.summary for r in results if not r.scenario.breaks_hosts]
    broken = [r.summary for r in results if r.scenario.breaks_hosts]
    figures = {
        "wrong": sum(r.summary.wrong for r in results),
        "lost": sum(s.lost for s in whole),
        "cut": sum(s.cut for s in whole),
        "unanswered_by_broken_hosts": sum(s.cut + s.lost for s in broken),
    }
    conditions = {"hosts": N_HOSTS, "groups": N_GROUPS, "queries_per_s": rate}
    report(
        make_figures("faults", figures, conditions=conditions),
        build_table(results),
        is_saved=not only,
    )


if __name__ == "__main__":
    main()
