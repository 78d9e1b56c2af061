"""Starts the project's processes for experiments, and ends all of them afterwards.

Used by the lab, the demo and the tests that need real processes. Everything runs
on 127.0.0.1. Output goes to files in a temporary directory, so that a full pipe never
blocks a process that prints a lot. For example::

    shape = DeploymentShape(n_hosts=3, services=(ServiceShape(name="scheduler"),))
    async with open_processes() as processes:
        deployment = write_deployment(shape=shape, directory=processes.directory)
        await processes.start_platform(deployment)
        await processes.start_backend(deployment, only=("*",))
        entry = await processes.start_entry(deployment, host="dc0-0")
        entry.pause()
"""

from __future__ import annotations

import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

READY_LINE = "ready"
READY_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
POLL_INTERVAL_S = 0.02

# A shell reports a program that a signal ended as 128 plus the signal's number.
SIGNAL_EXIT_BASE = 128

# Below the ephemeral range, so that no outgoing connection takes a port that was found
# free before the process listens on it.
FIRST_PORT = 10_000
LAST_PORT = 32_000

_assigned_ports: set[int] = set()

LOCALHOST = "127.0.0.1"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
N_TAIL_LINES = 15


class StartError(Exception):
    """A process exited or was not ready in time; the message has its last lines."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Processor time that a process has used, and its present resident memory."""

    cpu_s: float
    rss_bytes: int


def read_usage(pid: int) -> Usage:
    """Read the resource usage of the process `pid` from /proc."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    # The process name in parentheses may contain spaces; the fields come after it.
    fields = stat.rpartition(")")[2].split()
    user_ticks, system_ticks, rss_pages = (int(fields[i]) for i in (11, 12, 21))
    return Usage(
        cpu_s=(user_ticks + system_ticks) / CLOCK_TICKS_PER_S,
        rss_bytes=rss_pages * PAGE_BYTES,
    )


def find_free_ports(n_ports: int) -> tuple[int, ...]:
    """Find ports of 127.0.0.1 that are free for both TCP and UDP.

    The ports are released before this returns, so another program may still take one;
    they are chosen at random to make that unlikely. No port is returned twice in this
    process: hosts bind their ports later, and a second call could otherwise assign one
    of these to a program that starts earlier. Raises `StartError` without enough ports.
    """
    sockets: list[socket.socket] = []
    ports: list[int] = []
    candidates = [p for p in range(FIRST_PORT, LAST_PORT) if p not in _assigned_ports]
    random.SystemRandom().shuffle(candidates)
    try:
        for port in candidates:
            if len(ports) == n_ports:
                _assigned_ports.update(ports)
                return tuple(ports)
            pair = _bind_port(port)
            sockets.extend(pair)
            if pair:
                ports.append(port)
    finally:
        for each in sockets:
            each.close()
    raise StartError(f"fewer than {n_ports} free ports on {LOCALHOST}")


def _bind_port(port: int) -> tuple[socket.socket, ...]:
    """Bind `port` for TCP and UDP; return () when either is taken."""
    stream = socket.socket(type=socket.SOCK_STREAM)
    datagram = socket.socket(type=socket.SOCK_DGRAM)
    try:
        stream.bind((LOCALHOST, port))
        datagram.bind((LOCALHOST, port))
    except OSError:
        stream.close()
        datagram.close()
        return ()
    return (stream, datagram)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShape:
    """A service to write into a settings file; each group is one shard.

    `options` are written unchanged to the service's branch.
    """

    name: str
    n_groups: int = 1
    n_servers: int = 2
    idempotent: bool = True
    slots: int = 2
    connections: int = 25
    options: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentShape:
    """The numbers of hosts and data centres, and the services of a deployment.

    `options` are written at the top of the settings tree, `control` to its branch.
    """

    n_hosts: int
    services: tuple[ServiceShape, ...]
    n_data_centres: int = 2
    options: Mapping[str, object] = field(default_factory=dict)
    control: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryHost:
    """An entry host of a written deployment, with its addresses as `ip:port`."""

    name: str
    data_centre: str
    callers: str
    peers: str
    admin: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """A settings file on disk and the addresses in it."""

    settings: Path
    platform: str
    hosts: tuple[EntryHost, ...]


def write_deployment(*, shape: DeploymentShape, directory: Path) -> Deployment:
    """Write `settings.jsonc` of the given shape to `directory`, with free ports."""
    n_servers = sum(each.n_groups * each.n_servers for each in shape.services)
    ports = iter(find_free_ports(1 + 3 * shape.n_hosts + n_servers))
    platform = _take_address(ports)
    hosts = tuple(_take_host(shape, i, ports) for i in range(shape.n_hosts))
    tree = {
        "deployment": "lab",
        "platform": platform,
        "control": dict(shape.control),
        **shape.options,
        "data_centres": _build_data_centres(hosts),
        "services": {
            # Settings are only valid if each server's data centre has a host.
            each.name: _build_service(
                each, min(shape.n_data_centres, shape.n_hosts), ports
            )
            for each in shape.services
        },
    }
    settings = directory / "settings.jsonc"
    settings.write_text(json.dumps(tree, indent=2))
    return Deployment(settings=settings, platform=platform, hosts=hosts)


def _take_address(ports: Iterator[int]) -> str:
    return f"{LOCALHOST}:{next(ports)}"


def _take_host(shape: DeploymentShape, index: int, ports: Iterator[int]) -> EntryHost:
    data_centre = f"dc{index % shape.n_data_centres}"
    return EntryHost(
        name=f"{data_centre}-{index // shape.n_data_centres}",
        data_centre=data_centre,
        callers=_take_address(ports),
        peers=_take_address(ports),
        admin=_take_address(ports),
    )


def _build_data_centres(hosts: Sequence[EntryHost]) -> dict[str, object]:
    branches: dict[str, dict[str, object]] = {}
    for host in hosts:
        branches.setdefault(host.data_centre, {})[host.name] = {
            "callers": host.callers,
            "peers": host.peers,
            "admin": host.admin,
        }
    return {name: {"hosts": branch} for name, branch in branches.items()}


def _build_service(
    shape: ServiceShape, n_data_centres: int, ports: Iterator[int]
) -> dict[str, object]:
    groups = {}
    for group_index in range(shape.n_groups):
        group = f"{shape.name}-{group_index:02}"
        servers = {}
        for index in range(shape.n_servers):
            suffix = chr(ord("a") + index)
            servers[f"{group}-{suffix}"] = {
                "address": _take_address(ports),
                "data_centre": f"dc{index % n_data_centres}",
            }
        groups[group] = {"servers": servers}
    return {
        "idempotent": shape.idempotent,
        "slots": shape.slots,
        "connections": shape.connections,
        **shape.options,
        "groups": groups,
    }


@dataclass(frozen=True, kw_only=True, slots=True)
class Running:
    """A process started by `Processes`, with the files of its output."""

    name: str
    process: trio.Process
    stdout: Path
    stderr: Path

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.process.pid

    def is_alive(self) -> bool:
        """Return whether the process has not exited; a paused one is alive."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has already exited."""
        if self.is_alive():
            self.process.send_signal(number)

    def pause(self) -> None:
        """Freeze the process with SIGSTOP, as a hung host would."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.send(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def stop(self, *, limit_s: float = STOP_LIMIT_S) -> int:
        """Stop the process with SIGTERM and return its exit code.

        A process still running after `limit_s` seconds is killed and the code is -9.
        """
        self.resume()
        self.send(signal.SIGTERM)
        with trio.move_on_after(limit_s):
            return await self.process.wait()
        await self.kill()
        return await self.process.wait()

    def read_log(self) -> str:
        """Return everything that the process has written to stderr."""
        return self.stderr.read_text(errors="replace")

    def read_tail(self) -> str:
        """Return the last lines of both outputs, for error messages."""
        text = self.stdout.read_text(errors="replace") + self.read_log()
        return "\n".join(text.splitlines()[-N_TAIL_LINES:])


class Processes:
    """Starts processes and records them, so that `open_processes` can end them."""

    def __init__(self, *, directory: Path) -> None:
        self.directory = directory
        self.running: list[Running] = []
        # Not len(running), which grows only once a process has started: two concurrent
        # starts would share output files, and one would count as ready when the other
        # prints it.
        self._numbers = itertools.count()

    async def start(
        self,
        module: str,
        arguments: Sequence[str] = (),
        *,
        name: str | None = None,
        ready_s: float = READY_LIMIT_S,
        environment: Mapping[str, str] | None = None,
    ) -> Running:
        """Run `python -m module arguments` and return once it prints `ready`."""
        return await self.start_program(
            [sys.executable, "-m", module, *arguments],
            name=name or module,
            ready_s=ready_s,
            environment=environment,
        )

    async def start_program(
        self,
        command: Sequence[str],
        *,
        name: str,
        ready_s: float = READY_LIMIT_S,
        environment: Mapping[str, str] | None = None,
    ) -> Running:
        """Run `command` and return once it prints `ready`.

        Raises `StartError` when the process exits first, or is not ready after
        `ready_s` seconds; it is then stopped with all others.
        """
        running = await self._spawn(command, name, environment or {})
        with trio.move_on_after(ready_s):
            await self._wait_until_ready(running)
            return running
        raise StartError(
            f"{running.name}: not ready after {ready_s} s\n{running.read_tail()}"
        )

    async def _spawn(
        self,
        command: Sequence[str],
        name: str,
        environment: Mapping[str, str],
    ) -> Running:
        file_stem = f"{next(self._numbers):03}-{name}"
        stdout = self.directory / f"{file_stem}.out"
        stderr = self.directory / f"{file_stem}.err"
        with stdout.open("wb") as out, stderr.open("wb") as err:
            process = await trio.lowlevel.open_process(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **environment},
                # A separate process group, so that Ctrl-C in the terminal reaches only
                # this program, which then stops its processes in order.
                process_group=0,
            )
        running = Running(name=file_stem, process=process, stdout=stdout, stderr=stderr)
        self.running.append(running)
        return running

    async def _wait_until_ready(self, running: Running) -> None:
        while READY_LINE not in running.stdout.read_text(errors="replace").splitlines():
            if not running.is_alive():
                code = running.process.returncode
                raise StartError(
                    f"{running.name}: exited with {code} before it was ready\n"
                    f"{running.read_tail()}"
                )
            await trio.sleep(POLL_INTERVAL_S)

    async def start_platform(
        self, deployment: Deployment, *, control: str | None = None
    ) -> Running:
        """Start the platform stand-in of a deployment, with its settings stored."""
        arguments = ["--listen", deployment.platform]
        arguments += ["--control", control or find_free_address()]
        arguments += ["--settings", str(deployment.settings)]
        return await self.start("standins.platform", arguments, name="platform")

    async def start_backend(
        self,
        deployment: Deployment,
        *,
        only: Sequence[str],
        control: str | None = None,
    ) -> Running:
        """Start one process with every backend server whose name matches `only`."""
        arguments = ["--settings", str(deployment.settings)]
        for pattern in only:
            arguments += ["--only", pattern]
        arguments += ["--control", control or find_free_address()]
        return await self.start("standins.backend", arguments, name="backend")

    async def start_entry(
        self, deployment: Deployment, *, host: str, options: Sequence[str] = ()
    ) -> Running:
        """Start the daemon of one entry host."""
        arguments = ["entry", "--settings", str(deployment.settings), "--host", host]
        return await self.start("lavendergap", [*arguments, *options], name=host)

    async def stop_all(self, *, limit_s: float = STOP_LIMIT_S) -> None:
        """Stop every process that still runs, paused ones too."""
        async with trio.open_nursery() as nursery:
            for running in self.running:
                nursery.start_soon(partial(running.stop, limit_s=limit_s))


def find_free_address() -> str:
    """Find one free address, as `ip:port`."""
    (port,) = find_free_ports(1)
    return f"{LOCALHOST}:{port}"


@asynccontextmanager
async def open_processes(
    *, directory: Path | None = None, stop_s: float = STOP_LIMIT_S
) -> AsyncIterator[Processes]:
    """Yield a `Processes`; all processes it started have ended when the block exits.

    This includes exits by errors, cancellation, Ctrl-C, SIGTERM and SIGHUP. Output goes
    to `directory`, or to a temporary one that is removed at the end. A process that
    has not exited `stop_s` seconds after SIGTERM is killed.
    """
    with _make_directory(directory) as output_directory:
        processes = Processes(directory=output_directory)
        body_scope = trio.CancelScope()
        listener = _SignalListener(scope=body_scope)
        # Not in a nursery, which would wrap the caller's errors in an exception group.
        trio.lowlevel.spawn_system_task(listener.run)
        try:
            with body_scope:
                yield processes
        finally:
            # The listener runs until the processes have ended: `timeout` sends SIGTERM
            # twice, and the second one would otherwise end this program too early.
            with trio.CancelScope(shield=True):
                await processes.stop_all(limit_s=stop_s)
            listener.stop()
        if listener.received is not None:
            raise SystemExit(SIGNAL_EXIT_BASE + listener.received)


class _SignalListener:
    """Turns SIGTERM and SIGHUP into cancellation, so that cleanup runs.

    Otherwise SIGTERM would end this program at once and leave its processes running.
    """

    def __init__(self, *, scope: trio.CancelScope) -> None:
        self.received: int | None = None
        self._scope_to_cancel = scope
        self._own = trio.CancelScope()

    async def run(self) -> None:
        with (
            self._own,
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals,
        ):
            async for number in signals:
                self.received = number
                self._scope_to_cancel.cancel()

    def stop(self) -> None:
        self._own.cancel()


@contextmanager
def _make_directory(directory: Path | None) -> Iterator[Path]:
    if directory is not None:
        directory.mkdir(parents=True, exist_ok=True)
        yield directory
        return
    with tempfile.TemporaryDirectory(prefix="lavendergap-") as name:
        yield Path(name)


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerStats:
    """Seconds that a process ran on a core, and that it waited for one."""

    ran_s: float
    waited_s: float


def read_scheduler_stats(pid: int) -> SchedulerStats:
    """Read the scheduler statistics of a process from /proc."""
    ran_ns, waited_ns, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return SchedulerStats(ran_s=int(ran_ns) / 1e9, waited_s=int(waited_ns) / 1e9)
