"""Runs a small deployment on this machine and shows its answers during failures.

The platform's stand-in, the backend servers and three entry hosts run as separate
processes, configured by examples/demo.jsonc with its ports replaced by free ones.
Queries are sent with the `lavendergap` command. Each step checks its result; the demo
exits with 1 at the first failed check.
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
TIME_LIMIT_S = 60.0

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
    """A step's check failed; the message states the actual result."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandResult:
    """Output and exit code of one run of the command."""

    stdout: str
    stderr: str
    exit_code: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Testbed:
    """The running deployment.

    `ledger_control` is the control address that reports the ledger's run counts.
    """

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
    """Run the demo within its time limit; exit with 1 if a check fails."""
    try:
        trio.run(run_within_limit)
    except* (StepError, StartError, trio.TooSlowError) as errors:
        for error in errors.exceptions:
            print(f"\nThe demo FAILED: {str(error) or repr(error)}", file=sys.stderr)
        sys.exit(1)
    print("\nEvery step succeeded.")


async def run_within_limit() -> None:
    """Run all steps; raise trio.TooSlowError after `TIME_LIMIT_S` seconds."""
    with trio.fail_after(TIME_LIMIT_S):
        async with open_processes() as processes:
            testbed = await start(processes)
            await show_all_shards(testbed)
            await lose_one_replica(testbed)
            await lose_whole_shard(testbed)
            await book_once(testbed)
            await stop_as_planned(testbed)


async def start(processes: Processes) -> Testbed:
    """Start the platform, the backend servers and the entry hosts."""
    print_step("Starting the platform's stand-in, 14 backend servers and 3 entry hosts")
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
    print(f"{others.name} runs all servers but the two that will be killed.")
    return Testbed(
        deployment=deployment,
        settings=settings,
        entries=entries,
        first_replica=first_replica,
        second_replica=second_replica,
        ledger_control=ledger_control,
    )


def write_example(directory: Path) -> tuple[Deployment, Settings]:
    """Write the example settings with each port replaced by a free one."""
    text = EXAMPLE.read_text()
    old_ports = sorted(set(ADDRESS.findall(text)))
    ports = dict(zip(old_ports, find_free_ports(len(old_ports)), strict=True))
    path = directory / EXAMPLE.name
    path.write_text(ADDRESS.sub(lambda m: f"{LOCALHOST}:{ports[m[1]]}", text))
    settings = load_settings(path)
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
    deployment = Deployment(settings=path, platform=str(settings.platform), hosts=hosts)
    return deployment, settings


async def show_all_shards(testbed: Testbed) -> None:
    """Query through each entry host; every answer must cover every shard."""
    print_step("A query through each entry host: all six shards answer")
    await search_everywhere(testbed, missing=())
    await print_query(testbed, testbed.host_names[0])
    memory = ", ".join(
        f"{read_usage(entry.pid).rss_bytes / 1e6:.0f}" for entry in testbed.entries
    )
    print(f"\nResident memory of the entry hosts now: {memory} MB")


async def lose_one_replica(testbed: Testbed) -> None:
    """Kill one replica of a shard; the other one must answer."""
    print_step(
        f"Killing {FIRST_REPLICA}: {SECOND_REPLICA} has the same shard, none is missing"
    )
    await testbed.first_replica.kill()
    await search_everywhere(testbed, missing=())
    await print_query(testbed, testbed.host_names[1])


async def lose_whole_shard(testbed: Testbed) -> None:
    """Kill the other replica, too; each answer must report the missing shard."""
    print_step(
        f"Killing {SECOND_REPLICA} as well: no replica of {BROKEN_SHARD} is left"
    )
    await testbed.second_replica.kill()
    await search_everywhere(testbed, missing=(BROKEN_SHARD,))
    await print_query(testbed, testbed.host_names[2])


async def book_once(testbed: Testbed) -> None:
    """Send a booking, repeat it with the same ticket, and count its runs."""
    print_step("A booking with a ticket, then repeated through another host")
    options: tuple[str, ...] = ("--body", BOOKING)
    result = await run_query(testbed, LEDGER, "--host", testbed.host_names[0], *options)
    print(result.stderr + result.stdout, end="")
    require(result.exit_code == 0, f"the booking exited with {result.exit_code}")
    found = TICKET.search(result.stderr + result.stdout)
    require(found is not None, "the command printed no ticket")
    assert found is not None
    options = (*options, "--ticket", found[1])
    again = await run_query(testbed, LEDGER, "--host", testbed.host_names[1], *options)
    print(again.stdout, end="")
    require(again.exit_code == 0, f"the repeated booking exited with {again.exit_code}")
    n_runs = await count_runs(testbed.ledger_control)
    print(f"The ledger's backend servers ran {n_runs} request.")
    require(n_runs == 1, f"the booking ran {n_runs} times")


async def stop_as_planned(testbed: Testbed) -> None:
    """Stop the entry hosts with SIGTERM; each must drain and exit with 0."""
    print_step("Stopping the entry hosts as planned")
    codes = await gather(*(entry.stop for entry in testbed.entries))
    require(set(codes) == {0}, f"exit codes {codes}")
    print("All three exited with 0.")


async def search_everywhere(testbed: Testbed, *, missing: Sequence[str]) -> None:
    """Query through each entry host; every answer must lack only `missing`."""
    names = testbed.host_names
    answers = await gather(*(partial(search, testbed, host) for host in names))
    for host, answer in zip(names, answers, strict=True):
        require_coverage(answer, host, missing=missing)


async def search(testbed: Testbed, host: str) -> SearchBody:
    """Query the scheduler through one host and return the decoded answer."""
    result = await run_query(
        testbed, SERVICE, "--host", host, "--body", QUERY, "--json"
    )
    require(
        result.exit_code == 0,
        f"{host}: query exited with {result.exit_code}: {result.stderr}",
    )
    return msgspec.json.decode(result.stdout, type=SearchBody)


def require_coverage(answer: SearchBody, host: str, *, missing: Sequence[str]) -> None:
    """Require that the answer lacks only the `missing` shards and reports them."""
    groups = {f"s{i:02}" for i in range(6)}
    answered = sorted(result.shard for result in answer.results)
    stated = [each.shard for each in answer.coverage.missing]
    print(
        f"{host}: {answer.coverage.answered} of {answer.coverage.asked} shards,"
        f" missing {', '.join(stated) or 'none'}"
    )
    require(
        answered == sorted(groups - set(missing)),
        f"{host} returned the shards {answered}",
    )
    require(stated == list(missing), f"{host} reports as missing {stated}")
    require(answer.coverage.answered == len(answered), f"{host}: {answer.coverage}")


async def print_query(testbed: Testbed, host: str) -> None:
    """Print an answer in the command's human-readable form."""
    print(f"\n$ lavendergap query {SERVICE} --host {host} --body '{QUERY}'")
    result = await run_query(testbed, SERVICE, "--host", host, "--body", QUERY)
    print(result.stdout, end="")


async def run_query(testbed: Testbed, service: str, *options: str) -> CommandResult:
    """Run `lavendergap query`."""
    command = [sys.executable, "-m", "lavendergap", "query", service]
    command += ["--settings", str(testbed.deployment.settings), *options]
    completed = await trio.run_process(
        command,
        check=False,
        capture_stdout=True,
        capture_stderr=True,
        stdin=subprocess.DEVNULL,
    )
    return CommandResult(
        stdout=completed.stdout.decode(),
        stderr=completed.stderr.decode(),
        exit_code=completed.returncode,
    )


async def count_runs(control: str) -> int:
    """Return how many requests the ledger's servers of a backend stand-in ran."""
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
    """Run calls concurrently and return their results in order."""
    results: dict[int, T] = {}

    async def run(index: int, call: Callable[[], Awaitable[T]]) -> None:
        results[index] = await call()

    async with trio.open_nursery() as nursery:
        for index, call in enumerate(calls):
            nursery.start_soon(run, index, call)
    return tuple(results[index] for index in range(len(calls)))


def print_step(text: str) -> None:
    """Print the heading of a step."""
    print(f"\n== {text}.", flush=True)


def require(condition: bool, message: str) -> None:
    """Raise `StepError` unless the condition holds."""
    if not condition:
        raise StepError(message)


if __name__ == "__main__":
    main()
