"""Injects one fault at a time under load and counts what callers received.

Each scenario is a separate deployment with processes for the platform, the backend
servers of each data centre and four entry hosts. Queries arrive at a steady rate. Every
answer is checked: it must be for its query, from one snapshot, and with a correct
coverage. No scenario may have a wrong answer. Lost or cut answers are only allowed on
entry hosts that were themselves killed or frozen, and are counted separately.
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
FAULT_DELAY_S = 2.0
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
class Testbed:
    """The running deployment of one scenario.

    `entries` is by host name; `backends` and `controls` are by the letter of a data
    centre.
    """

    processes: Processes
    deployment: Deployment
    entries: dict[str, Running]
    backends: dict[str, Running]
    controls: dict[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A fault to inject, and the duration of the load around it.

    `disrupts_hosts` marks faults that kill or freeze entry hosts, where requests on
    connections to those hosts cannot be answered.
    """

    name: str
    inject_fault: Callable[[Testbed], Awaitable[None]]
    duration_s: float = 7.0
    disrupts_hosts: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What callers received in one scenario."""

    scenario: Scenario
    summary: Summary


async def lose_replica(testbed: Testbed) -> None:
    """Crash one backend server of one group."""
    await set_faults(testbed, {f"{SERVICE}-03-a": {"dead": True}})


async def lose_data_centre(testbed: Testbed) -> None:
    """Kill the entry hosts and the backend servers of one data centre at once."""
    centre = testbed.deployment.hosts[-1].data_centre
    for host in testbed.deployment.hosts:
        if host.data_centre == centre:
            await testbed.entries[host.name].kill()
    await testbed.backends["b"].kill()


async def silence_connections(testbed: Testbed) -> None:
    """Silence all open connections to backend servers; new connections work."""
    await set_faults(testbed, {"*": {"silence": True}})


async def pause_host(testbed: Testbed) -> None:
    """Freeze one entry host with SIGSTOP for a while, then resume it."""
    paused = testbed.entries[testbed.deployment.hosts[1].name]
    paused.pause()
    await trio.sleep(2.5)
    paused.resume()


async def switch_version(testbed: Testbed) -> None:
    """Switch all backend servers from index version 1 to 2 at about the same time."""
    faults = {
        "index_versions": [1, 2],
        "next_index_versions": [2],
        "switch_after_ms": 1_500,
    }
    await set_faults(testbed, {"*": faults})
    await publish(testbed, N_GROUPS)


async def repartition(testbed: Testbed) -> None:
    """Publish version 2 with fewer shards while queries on version 1 run."""
    old = {"1": [f"s{place:02}" for place in range(N_GROUPS)]}
    for place in range(N_GROUPS):
        shards = {**old, "2": [f"s{place:02}"] if place < N_GROUPS - 2 else []}
        faults = {
            "shards": shards,
            "index_versions": [1, 2],
            "next_index_versions": [2],
            "switch_after_ms": 2_000,
        }
        await set_faults(testbed, {f"{SERVICE}-{place:02}-*": faults})
    await publish(testbed, N_GROUPS - 2)


async def publish(testbed: Testbed, n_shards: int) -> None:
    """Publish version 2 of the index beside version 1, as the indexer would."""
    ip, port = testbed.deployment.platform.split(":")
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


async def restart_hosts_in_turn(testbed: Testbed) -> None:
    """Stop and restart every entry host with SIGTERM, one after the other."""
    for host in testbed.deployment.hosts:
        code = await testbed.entries[host.name].stop(limit_s=30.0)
        assert code == 0, f"{host.name} exited with {code}"
        testbed.entries[host.name] = await testbed.processes.start_entry(
            testbed.deployment, host=host.name
        )


async def lose_platform(testbed: Testbed) -> None:
    """Kill the platform process."""
    [platform] = [r for r in testbed.processes.running if "platform" in r.name]
    await platform.kill()


SCENARIOS = (
    Scenario(name="replica lost", inject_fault=lose_replica),
    Scenario(
        name="data centre lost", inject_fault=lose_data_centre, disrupts_hosts=True
    ),
    Scenario(name="connections silent", inject_fault=silence_connections),
    Scenario(name="entry host paused", inject_fault=pause_host, disrupts_hosts=True),
    Scenario(name="platform down", inject_fault=lose_platform),
    Scenario(name="index version switched", inject_fault=switch_version),
    Scenario(name="repartitioned", inject_fault=repartition),
    Scenario(name="rolling stop", inject_fault=restart_hosts_in_turn, duration_s=32.0),
)


async def set_faults(testbed: Testbed, faults: dict[str, object]) -> None:
    """Set faults at the control ports, each only where its servers run."""
    for letter, control in testbed.controls.items():
        matching = {
            name: f for name, f in faults.items() if name.endswith(("*", letter))
        }
        if not matching:
            continue
        ip, port = control.split(":")
        client = await connect(ip, int(port))
        answer = await client.request(
            "POST", "/faults", body=msgspec.json.encode(matching)
        )
        await client.aclose()
        assert answer.status == 200, answer.body


async def open_testbed(processes: Processes) -> Testbed:
    """Start the platform, the backend servers of both data centres and the hosts."""
    deployment = write_deployment(shape=SHAPE, directory=processes.directory)
    controls = {letter: find_free_address() for letter in "ab"}
    testbed = Testbed(
        processes=processes,
        deployment=deployment,
        entries={},
        backends={},
        controls=controls,
    )

    async def start_backend(letter: str) -> None:
        testbed.backends[letter] = await processes.start_backend(
            deployment, only=(f"*-{letter}",), control=controls[letter]
        )

    async def start_entry(host: EntryHost) -> None:
        testbed.entries[host.name] = await processes.start_entry(
            deployment, host=host.name
        )

    await processes.start_platform(deployment)
    async with trio.open_nursery() as nursery:
        for letter in controls:
            nursery.start_soon(start_backend, letter)
        for host in deployment.hosts:
            nursery.start_soon(start_entry, host)
    await set_faults(testbed, {"*": {"service_ms": SERVICE_MS}})
    return testbed


def list_entries(deployment: Deployment) -> tuple[EntryPorts, ...]:
    """Return the hosts' ports in the balancer's form."""
    settings = load_settings(deployment.settings)
    return tuple(
        EntryPorts(callers=host.callers, admin=host.admin) for host in settings.hosts
    )


async def run_scenario(scenario: Scenario, *, rate: float) -> Result:
    """Run one scenario and return its result."""
    async with open_processes() as processes:
        testbed = await open_testbed(processes)
        plan = Plan(
            entries=list_entries(testbed.deployment),
            service=SERVICE,
            arrivals=OpenLoop(rate=rate),
            work=Queries(),
            n_requests=math.ceil(2 * rate * scenario.duration_s),
            duration_s=scenario.duration_s,
            deadline_ms=DEADLINE_MS,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject_later, testbed, scenario)
            summary = await run_load(plan)
    return Result(scenario=scenario, summary=summary)


async def inject_later(testbed: Testbed, scenario: Scenario) -> None:
    """Inject the scenario's fault after `FAULT_DELAY_S` seconds of load."""
    await trio.sleep(FAULT_DELAY_S)
    await scenario.inject_fault(testbed)


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
@click.option("--only", default="", help="Run only scenarios whose names contain this.")
def main(rate: float, only: str) -> None:
    """Inject one fault at a time under load; print what callers received."""
    results: list[Result] = []
    for scenario in SCENARIOS:
        if only in scenario.name:
            results.append(trio.run(partial(run_scenario, scenario, rate=rate)))
            print(f"{scenario.name}: {results[-1].summary.reasons}", flush=True)
    undisrupted = [r.summary for r in results if not r.scenario.disrupts_hosts]
    disrupted = [r.summary for r in results if r.scenario.disrupts_hosts]
    figures = {
        "wrong": sum(r.summary.wrong for r in results),
        "lost": sum(s.lost for s in undisrupted),
        "cut": sum(s.cut for s in undisrupted),
        "unanswered_by_broken_hosts": sum(s.cut + s.lost for s in disrupted),
    }
    conditions = {"hosts": N_HOSTS, "groups": N_GROUPS, "queries_per_s": rate}
    report(
        make_figures("faults", figures, conditions=conditions),
        build_table(results),
        is_saved=not only,
    )


if __name__ == "__main__":
    main()
