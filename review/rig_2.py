"""What the scripts of cases 4 to 8 share: gateways, a platform and its callers.

The gateways are started with the command of the deploy file, and their settings are
rendered from its template with fields like those of a small deployment. The store and
the backend servers are the project's stand-ins, in the process of the script.
"""

import json
import math
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import trio

from lab.gateways import Answer, read_answer
from lab.processes import find_free_ports
from lab.proxy import list_ports
from standins.http import Connection, Reply, Request
from standins.leafservers import Leaf
from standins.objectstore import ObjectStore

ROOT = Path(__file__).parents[1]
DEPLOY = ROOT / "deploy"
CALLER_HOST = "app.example"
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
READY_LIMIT_S = 30.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ZONES = {"ptl-a": "cascadia", "ptl-b": "cascadia", "sea-a": "cascadia"}
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
    "recovery_s": 12,
}

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file as the platform does.

    Only sections that are shown once are supported.
    """

    def find(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def show(match: re.Match[str]) -> str:
        value = find(match[1])
        if value is None:
            return ""
        is_plain = isinstance(value, str) and not match[2]
        return value if is_plain else json.dumps(value)

    text = _SECTION.sub(lambda m: m[2] if find(m[1]) else "", template)
    return _VALUE.sub(show, text)


@dataclass(kw_only=True)
class Machine:
    """A machine with one gateway process; `fields` are the platform's settings of it.

    `ports` are those for callers, readiness and other gateways. They are the same on
    all machines, which have addresses of their own.
    """

    name: str
    zone: str
    ip: str
    ports: tuple[int, int, int]
    directory: Path
    fields: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings_path(self) -> Path:
        return self.directory / f"{self.name}.conf"

    @property
    def log_path(self) -> Path:
        return self.directory / f"{self.name}.log"

    def write_settings(self) -> None:
        """Render the template of the deploy file, in one step for a reader."""
        role = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]["gateway"]
        text = render((ROOT / role["template"]).read_text(), self.fields)
        new = self.settings_path.with_suffix(".new")
        new.write_text(text)
        new.rename(self.settings_path)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        role = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]["gateway"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LAVENDERGAP_NODE_FILE"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    async def is_ready(self) -> bool:
        """Return whether the machine is ready, as the platform's balancer asks."""
        try:
            with trio.move_on_after(1.0):
                return (await ask(self.ip, self.ports[1], "/ready")).status == 200
        except OSError:
            pass
        return False


class WatchedStore(ObjectStore):
    """The store, which knows from which ports its watches come."""

    def __init__(self) -> None:
        super().__init__()
        self.epoch = 0
        self.watch_ports: set[int] = set()

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Answer one call, and note its port while it is a waiting watch."""
        port = 0
        if int(request.get_options().get("wait_ms", "0")) > 0:
            port = connection._stream.socket.getpeername()[1]
            self.watch_ports.add(port)
        try:
            return await super().handle(request, connection)
        finally:
            self.watch_ports.discard(port)


@dataclass(kw_only=True)
class Site:
    """One deployment: its store, its backend servers and its machines."""

    nursery: trio.Nursery
    directory: Path
    record: Callable[[str], None]
    bounds: dict[str, Any] = field(default_factory=lambda: dict(BOUNDS))
    zones: dict[str, str] = field(default_factory=lambda: dict(ZONES))
    store: WatchedStore = field(default_factory=WatchedStore)
    store_port: int = 0
    store_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    machines: list[Machine] = field(default_factory=list)
    leaves: list[Leaf] = field(default_factory=list)
    ports: tuple[int, int, int] = (0, 0, 0)
    n_sent: int = 0
    statuses: dict[str, int | None] = field(default_factory=dict)

    async def add_leaf(self, leaf: Leaf) -> Leaf:
        """Start a server and register it in the store."""
        await self.nursery.start(leaf.run, self.store)
        self.leaves.append(leaf)
        return leaf

    def write_manifest(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]] | None = None,
    ) -> float:
        """Write a manifest to the store; return the time of the acknowledgement."""
        services = services or [
            {"name": name, "max_conns": 100, "health_path": "/healthz"}
            for name in sorted({leaf.service for leaf in self.leaves})
        ]
        manifest = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
        }
        self.store.put("config", "main", manifest)
        return trio.current_time()

    async def move_store(self) -> None:
        """Serve the store at another address only, and tell the machines of it."""
        self.store_scope.cancel()
        await self.start_store()
        for machine in self.machines:
            machine.fields["platform"] = {"address": f"127.0.0.1:{self.store_port}"}
            machine.write_settings()
            machine.send(signal.SIGHUP)

    async def start_store(self) -> None:
        """Serve the store at a new port, until `store_scope` is cancelled."""
        self.store_scope = trio.CancelScope()
        self.store_port = await self.nursery.start(self._serve_store)

    async def _serve_store(self, task_status: trio.TaskStatus[int]) -> None:
        server = self.store.make_server(ip="127.0.0.1", port=0)
        with self.store_scope:
            async with trio.open_nursery() as nursery:
                task_status.started(await nursery.start(server.run))

    def count_lost(self, leaf: Leaf) -> int:
        """Count the requests that a server ran and whose callers got no success."""
        return sum(self.statuses.get(attempt) != 200 for attempt in leaf.runs)

    def add_machine(self, zone: str, **fields: Any) -> Machine:
        """Start a machine, without waiting until it is ready."""
        number = len(self.machines) + 1
        name, ip = f"edge-{zone}-{number}", f"127.0.1.{number}"
        front, ready, peers = self.ports
        machine = Machine(
            name=name,
            zone=zone,
            ip=ip,
            ports=self.ports,
            directory=self.directory,
            fields={
                "node_name": name,
                "ip": ip,
                "zone": zone,
                "zones": dict(self.zones),
                "internal_ports": [peers, peers],
                "seeds": [f"127.0.1.{n}:{ready}" for n in (1, 2, 3)],
                "heartbeat_ms": 1200,
                "listen_addrs": {
                    "front": f"{ip}:{front}",
                    "ready": f"{ip}:{ready}",
                },
                "limits": {"cpu_share": 0.537, "cores": 2},
                "bounds": dict(self.bounds),
                "platform": {"address": f"127.0.0.1:{self.store_port}"},
            }
            | fields,
        )
        self.machines.append(machine)
        machine.start()
        return machine

    async def wait_ready(self, *machines: Machine) -> None:
        """Return once the machines are ready; raise trio.TooSlowError otherwise."""
        with trio.fail_after(READY_LIMIT_S):
            for machine in machines or self.machines:
                while not await machine.is_ready():
                    if machine.has_ended():
                        raise trio.TooSlowError(f"{machine.name} has ended")
                    await trio.sleep(0.05)

    def find_watchers(self) -> list[Machine]:
        """Return the machines that watch the store at this moment."""
        return [
            machine
            for machine in self.machines
            if machine.process is not None
            and set(list_ports(machine.process.pid)) & self.store.watch_ports
        ]

    async def request(
        self,
        machine: Machine,
        path: str,
        *,
        deadline_ms: int = 1_000,
        body: bytes = b"",
    ) -> tuple[str, Answer | None]:
        """Send one request over a new connection; return its id and its answer."""
        self.n_sent += 1
        attempt = f"{machine.name}.{self.n_sent}"
        headers = [
            ("Host", CALLER_HOST),
            ("Lavendergap-Attempt-Id", attempt),
            ("Lavendergap-Deadline-Ms", str(deadline_ms)),
        ]
        answer = None
        try:
            with trio.move_on_after(deadline_ms / 1_000 + 1.0):
                answer = await ask(
                    machine.ip, machine.ports[0], path, headers=headers, body=body
                )
        except OSError:
            pass
        return attempt, answer

    async def load(
        self, machine: Machine, path: str, *, per_s: float, until: float
    ) -> None:
        """Send requests to a machine at a steady rate, whatever the answers."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(self._send_and_record, machine, path)
                await trio.sleep(1.0 / per_s)

    async def _send_and_record(self, machine: Machine, path: str) -> None:
        sent_at = trio.current_time()
        attempt, answer = await self.request(machine, path)
        status = None if answer is None else answer.status
        self.statuses[attempt] = status
        self.record(f"{sent_at:.3f} sent {attempt} {path} -> {status}")


async def ask(
    ip: str,
    port: int,
    path: str,
    *,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
) -> Answer:
    """Make one HTTP call over a new connection and return its complete answer."""
    stream = await trio.open_tcp_stream(ip, port)
    async with stream:
        http = h11.Connection(h11.CLIENT)
        fields = headers or [("Host", "x")]
        if body:
            fields = [*fields, ("Content-Length", str(len(body)))]
        method = "POST" if body else "GET"
        data = http.send(h11.Request(method=method, target=path, headers=fields)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        await stream.send_all(data)
        return await read_answer(stream, http)


@asynccontextmanager
async def open_site(
    record: Callable[[str], None], **options: Any
) -> AsyncIterator[Site]:
    """Yield a deployment without machines; all that it started ends with the block."""
    directory = Path(tempfile.mkdtemp(prefix="case-"))
    try:
        async with trio.open_nursery() as nursery:
            site = Site(nursery=nursery, directory=directory, record=record, **options)
            front, ready, peers = find_free_ports(3)
            site.ports = front, ready, peers
            await site.start_store()
            try:
                yield site
            finally:
                for leaf in site.leaves:
                    record(f"{leaf.server_id} of {leaf.service} ran {list(leaf.runs)}")
                for machine in site.machines:
                    machine.kill()
                nursery.cancel_scope.cancel()
    finally:
        if os.environ.get("KEEP"):
            print(directory)
        else:
            shutil.rmtree(directory, ignore_errors=True)


def end_leaf(leaf: Leaf) -> None:
    """End a server for good, as its process does: what it still runs is lost."""
    leaf.restart_delay_s = math.inf
    leaf.server.close_port()
    leaf.serve_scope.cancel()


class TimedLeaf(Leaf):
    """A server that keeps the time and the id of each request it got."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.times: list[tuple[float, str]] = []

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        """Answer one request."""
        attempt = request.headers.get("lavendergap-attempt-id", "")
        self.times.append((trio.current_time(), attempt))
        return await super().handle(request, connection)


def make_route(path: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a manifest's route to one service, with `changes`."""
    return {
        "name": f"r{path.strip('/')}",
        "host": CALLER_HOST,
        "path_prefix": path,
        "type": "idempotent",
        "service": service,
        "timeout_ms": 1_000,
        "slo_ms": 400,
        "priority": 1,
        "attempts": 2,
    } | changes


def run_case(
    script: str, play: Callable[[Callable[[str], None]], Awaitable[str]]
) -> int:
    """Run a case and write its record; return the exit code of its script.

    `play` returns what broke the rule, or an empty string if it held.
    """
    lines: list[str] = []
    path = Path(script).parent / "record.txt"

    def record(line: str) -> None:
        lines.append(line)

    code = CANNOT_RUN
    try:
        with _EndOnSignals():
            broken = trio.run(play, record)
        record(f"broken: {broken}" if broken else "held")
        code = BROKEN if broken else HELD
    except BaseException as error:
        record(f"cannot run: {error!r}")
        if not isinstance(error, Exception):
            raise
    finally:
        path.write_text("\n".join(lines) + "\n")
    print(lines[-1])
    return code


class _EndOnSignals:
    """Turns SIGTERM into an exception, so that all started processes are ended."""

    def __enter__(self) -> Iterator[None] | None:
        self._before = signal.signal(signal.SIGTERM, self._raise)
        return None

    def __exit__(self, *_: object) -> None:
        signal.signal(signal.SIGTERM, self._before)

    def _raise(self, *_: object) -> None:
        sys.exit(CANNOT_RUN)
