"""Runs a small deployment on this machine, breaks it, and shows what it answers.

Everything is a process of its own: the platform's stand-in, the backend servers and
three entry hosts, from examples/demo.jsonc with its ports replaced by free ones. The
questions are asked with the `lavendergap` command, as a person would. Each step says
what it expects; the demo ends with 1 at the first that is not so.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TypeVar

import msgspec
import trio

from lavendergap.protocol.answers import SearchBody
from lavendergap.state.settings import Settings
from lavendergap.state.tree import load_settings
from standins.client import connect

from .processes import (
    LOCALHOST,
    Deployment,
    EntryHost,
    Processes,
    Running,
    StartError,
    find_free_address,
    find_free_ports,
    open_processes,
    read_usage,
)

EXAMPLE = Path("examples/demo.jsonc")
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
LIMIT_S = 60.0

SERVICE = "scheduler"
LEDGER = "sponsor-ledger"
BROKEN_SHARD = "s02"
FIRST_REPLICA = "scheduler-02-a"
SECOND_REPLICA = "scheduler-02-b"
OTHER_SERVERS = ("scheduler-0[01345]-*", f"{LEDGER}-*")
QUERY = json.dumps({"query": "alerts for platform 4"})
BOOKING = json.dumps({"sponsor": "Fernhill Tea", "plays": 1})
T = TypeVar("T")

TICKET = re.compile(r"ticket (\S+)")


class StepError(Exception):
    """A step did not end as told; the message says how it did."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Said:
    """What a run of the command wrote, and the code that it ended with."""

    stdout: str
    stderr: str
    exit_code: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """The running deployment. `ledger_control` counts what the ledger ran."""

    deployment: Deployment
    settings: Settings
    entries: tuple[Running, ...]
    first_replica: Running
    second_replica: Running
    ledger_control: str

    @property
    def host_names(self) -> tuple[str, ...]:
        """The names of the entry hosts."""
        return tuple(host.name for host in self.deployment.hosts)


def main() -> None:
    """Run the demo within its time limit; end with 1 unless all was as told."""
    try:
        trio.run(run_within_limit)
    except* (StepError, StartError, trio.TooSlowError) as errors:
        for error in errors.exceptions:
            print(f"\nThe demo FAILED: {str(error) or repr(error)}", file=sys.stderr)
        sys.exit(1)
    print("\nEvery step was as told.")


async def run_within_limit() -> None:
    """Run all steps; raise trio.TooSlowError when they take too long."""
    with trio.fail_after(LIMIT_S):
        async with open_processes() as processes:
            stage = await start(processes)
            await show_all_shards(stage)
            await lose_one_replica(stage)
            await lose_whole_shard(stage)
            await book_once(stage)
            await stop_as_planned(stage)


async def start(processes: Processes) -> Stage:
    """Start the platform, the backend servers and the entry hosts."""
    tell("Starting the platform's stand-in, 14 backend servers and 3 entry hosts")
    deployment, settings = write_example(processes.directory)
    ledger_control = find_free_address()
    others, first_replica, second_replica = await gather(
        partial(
            processes.start_backend,
            deployment,
            only=OTHER_SERVERS,
            control=ledger_control,
        ),
        partial(processes.start_backend, deployment, only=(FIRST_REPLICA,)),
        partial(processes.start_backend, deployment, only=(SECOND_REPLICA,)),
    )
    await processes.start_platform(deployment)
    entries = await gather(
        *(
            partial(processes.start_entry, deployment, host=host.name)
            for host in deployment.hosts
        )
    )
    print(f"{others.name} serves all but the two replicas that will be killed.")
    return Stage(
        deployment=deployment,
        settings=settings,
        entries=entries,
        first_replica=first_replica,
        second_replica=second_replica,
        ledger_control=ledger_control,
    )


def write_example(directory: Path) -> tuple[Deployment, Settings]:
    """Write the example with each of its ports replaced by a free one."""
    text = EXAMPLE.read_text()
    named = sorted(set(ADDRESS.findall(text)))
    ports = dict(zip(named, find_free_ports(len(named)), strict=True))
    place = directory / EXAMPLE.name
    place.write_text(ADDRESS.sub(lambda m: f"{LOCALHOST}:{ports[m[1]]}", text))
    settings = load_settings(place)
    hosts = tuple(
        EntryHost(
            name=host.name,
            data_centre=host.data_centre,
            callers=str(host.callers),
            peers=str(host.peers),
            admin=str(host.admin),
        )
        for host in settings.hosts
    )
    deployment = Deployment(
        settings=place, platform=str(settings.platform), hosts=hosts
    )
    return deployment, settings


async def show_all_shards(stage: Stage) -> None:
    """Query through each entry host; every answer covers every shard."""
    tell("A query through each entry host: all six shards answer")
    await search_everywhere(stage, missing=())
    await show(stage, stage.host_names[0])
    memory = ", ".join(
        f"{read_usage(entry.pid).rss_bytes / 1e6:.0f}" for entry in stage.entries
    )
    print(f"\nResident memory of the entry hosts now: {memory} MB")


async def lose_one_replica(stage: Stage) -> None:
    """Kill one replica of a shard; the other one answers for it."""
    tell(f"Killing {FIRST_REPLICA}: {SECOND_REPLICA} has the same shard, none is lost")
    await stage.first_replica.kill()
    await search_everywhere(stage, missing=())
    await show(stage, stage.host_names[1])


async def lose_whole_shard(stage: Stage) -> None:
    """Kill the other replica, too; each answer says which shard it lacks."""
    tell(f"Killing {SECOND_REPLICA} as well: nobody has {BROKEN_SHARD} any more")
    await stage.second_replica.kill()
    await search_everywhere(stage, missing=(BROKEN_SHARD,))
    await show(stage, stage.host_names[2])


async def book_once(stage: Stage) -> None:
    """Send a request that must run once, ask for it again, and count its runs."""
    tell("A booking with a ticket, then asked about again through another host")
    options: tuple[str, ...] = ("--body", BOOKING)
    said = await ask(stage, LEDGER, "--host", stage.host_names[0], *options)
    print(said.stderr + said.stdout, end="")
    require(said.exit_code == 0, f"the booking ended with {said.exit_code}")
    found = TICKET.search(said.stderr + said.stdout)
    require(found is not None, "the command named no ticket")
    assert found is not None
    options = (*options, "--ticket", found[1])
    again = await ask(stage, LEDGER, "--host", stage.host_names[1], *options)
    print(again.stdout, end="")
    require(again.exit_code == 0, f"asked again, it ended with {again.exit_code}")
    n_runs = await count_runs(stage.ledger_control)
    print(f"The ledger's backend servers ran {n_runs} request.")
    require(n_runs == 1, f"the booking ran {n_runs} times")


async def stop_as_planned(stage: Stage) -> None:
    """End the entry hosts with SIGTERM; each finishes what it has and ends with 0."""
    tell("Stopping the entry hosts as planned")
    codes = await gather(*(entry.stop for entry in stage.entries))
    require(set(codes) == {0}, f"exit codes {codes}")
    print("All three ended with 0.")


async def search_everywhere(stage: Stage, *, missing: Sequence[str]) -> None:
    """Query through each entry host; every answer lacks just the `missing` shards."""
    names = stage.host_names
    answers = await gather(*(partial(search, stage, host) for host in names))
    for host, answer in zip(names, answers, strict=True):
        require_coverage(answer, host, missing=missing)


async def search(stage: Stage, host: str) -> SearchBody:
    """Query the scheduler through one host and return the answer."""
    said = await ask(stage, SERVICE, "--host", host, "--body", QUERY, "--json")
    require(
        said.exit_code == 0, f"{host}: query ended with {said.exit_code}: {said.stderr}"
    )
    return msgspec.json.decode(said.stdout, type=SearchBody)


def require_coverage(answer: SearchBody, host: str, *, missing: Sequence[str]) -> None:
    """Require that the answer lacks just the `missing` shards, and says so."""
    groups = {f"s{i:02}" for i in range(6)}
    answered = sorted(result.shard for result in answer.results)
    stated = [each.shard for each in answer.coverage.missing]
    print(
        f"{host}: {answer.coverage.answered} of {answer.coverage.asked} shards,"
        f" missing {', '.join(stated) or 'none'}"
    )
    require(answered == sorted(groups - set(missing)), f"{host} answered {answered}")
    require(stated == list(missing), f"{host} states as missing {stated}")
    require(answer.coverage.answered == len(answered), f"{host}: {answer.coverage}")


async def show(stage: Stage, host: str) -> None:
    """Print an answer as the command shows it to people."""
    print(f"\n$ lavendergap query {SERVICE} --host {host} --body '{QUERY}'")
    said = await ask(stage, SERVICE, "--host", host, "--body", QUERY)
    print(said.stdout, end="")


async def ask(stage: Stage, service: str, *options: str) -> Said:
    """Run `lavendergap query`."""
    command = [sys.executable, "-m", "lavendergap", "query", service]
    command += ["--settings", str(stage.deployment.settings), *options]
    done = await trio.run_process(
        command,
        check=False,
        capture_stdout=True,
        capture_stderr=True,
        stdin=subprocess.DEVNULL,
    )
    return Said(
        stdout=done.stdout.decode(),
        stderr=done.stderr.decode(),
        exit_code=done.returncode,
    )


async def count_runs(control: str) -> int:
    """Ask a backend stand-in how many requests of the ledger it has run."""
    ip, _, port = control.rpartition(":")
    client = await connect(ip, int(port))
    try:
        answer = await client.request("GET", "/runs")
    finally:
        await client.aclose()
    return sum(
        sum(runs.values())
        for server, runs in answer.json.items()
        if server.startswith(LEDGER)
    )


async def gather(*calls: Callable[[], Awaitable[T]]) -> tuple[T, ...]:
    """Run calls side by side and return their results in order."""
    results: dict[int, T] = {}

    async def run(index: int, call: Callable[[], Awaitable[T]]) -> None:
        results[index] = await call()

    async with trio.open_nursery() as nursery:
        for index, call in enumerate(calls):
            nursery.start_soon(run, index, call)
    return tuple(results[index] for index in range(len(calls)))


def tell(text: str) -> None:
    """Announce a step."""
    print(f"\n== {text}.", flush=True)


def require(condition: bool, message: str) -> None:
    """Raise `StepError` unless the condition holds."""
    if not condition:
        raise StepError(message)


if __name__ == "__main__":
    main()
