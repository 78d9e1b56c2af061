"""Starts gateways of a small deployment with stand-ins of what is around them.

Uses the standard library only. The store, the backend servers and the callers run in
this process, on one event loop; each gateway is a process of its own, started with the
command and the settings template of `deploy/system.toml`.
"""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "app.example"
READY_WITHIN_S = 25.0
PLAY_LIMIT_S = 110.0
SEGMENT_BYTES = 1_460
WINDOW_BYTES = 4_096
READ_AHEAD_BYTES = 4_096
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

Headers = dict[str, str]


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write a line with the seconds since the start of the case."""
        at = round(time.monotonic() - self._started, 4)
        self._file.write(json.dumps({"at": at, "event": event} | fields) + "\n")
        self._file.flush()


@dataclass
class Request:
    """The head of a request; header names are in lower case."""

    method: str
    target: str
    headers: Headers

    @property
    def length(self) -> int:
        return int(self.headers.get("content-length", "0"))

    @property
    def attempt(self) -> str:
        return self.headers.get("lavendergap-attempt-id", "")


@dataclass
class Answer:
    """An answer to a caller; status 0 if the connection ended without a whole one."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers; None if the connection ended."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text[:-4].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the head of the next request; None if the connection ended."""
    head = await read_head(reader)
    if head is None:
        return None
    parts = head[0].split(" ")
    if len(parts) != 3:
        return Request(method="?", target=head[0], headers=head[1])
    return Request(method=parts[0], target=parts[1], headers=head[1])


def make_reply(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store, with objects by kind and name, and watches."""

    def __init__(self) -> None:
        self.port = 0
        self._revision = 1
        self._kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self._revision += 1
        meta = {"name": name, "revision": self._revision, "created": self._revision}
        meta |= {"finalizers": [], "deleting": False}
        stored = {"meta": meta, "spec": spec, "status": None}
        self._kinds.setdefault(kind, {})[name] = stored
        self._notify(kind, {"object": stored, "deleted": False})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            stored["meta"]["revision"] = self._revision
            self._notify(kind, {"object": stored, "deleted": True})

    def _notify(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                body = await reader.readexactly(request.length)
                status, value = await self._handle(request, body)
                data = json.dumps(value).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(make_reply(status, kind, data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # Cancelled at the end of the case only.
        finally:
            writer.close()

    async def _handle(self, request: Request, body: bytes) -> tuple[int, Any]:
        url = urlsplit(request.target)
        options = {name: values[-1] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        name = unquote(name)
        objects = self._kinds.setdefault(kind, {})
        if request.method == "GET" and name:
            found = objects.get(name)
            return (200, found) if found else (404, {"error": "no such object"})
        if request.method == "GET" and "watch" in options:
            return await self._watch(kind, options)
        if request.method == "GET":
            items = [objects[each] for each in sorted(objects)]
            page = {"items": items, "has_more": False, "current_rev": self._revision}
            return 200, page
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        written = json.loads(body)
        name = name or written["meta"]["name"]
        if request.method == "POST" and name in objects:
            return 409, objects[name]
        self.put(kind, name, written.get("spec"))
        return 200, objects[name]

    async def _watch(self, kind: str, options: Headers) -> tuple[int, Any]:
        after = int(options["watch"])
        until = time.monotonic() + int(options.get("wait_ms", "0")) / 1_000
        while True:
            events = [e for at, k, e in self._events if k == kind and at > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Leaf:
    """A backend server: its entry in the store and its port; `serve` answers."""

    def __init__(
        self, *, server_id: str, service: str, zone: str, slots: int, serve: Serve
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self._serve = serve
        self.address = ""

    async def start(self, store: Store, *, has_small_window: bool = False) -> None:
        """Listen and register.

        With `has_small_window` the connections have the segments of an Ethernet and a
        small window. Those of the loopback hold megabytes that nobody has read.
        """
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if has_small_window:
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        await asyncio.start_server(
            self._serve_safely, sock=listener, limit=READ_AHEAD_BYTES, backlog=256
        )
        self.register(store)

    async def _serve_safely(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # Cancelled at the end of the case only.
        finally:
            writer.close()

    def register(self, store: Store, state: str = "ready") -> None:
        """Write the entry of this server."""
        entry = {"service": self.service, "address": self.address, "zone": self.zone}
        entry |= {"version": "v1", "slots": self.slots, "state": state}
        store.put("servers", self.server_id, entry | {"warmup_left_ms": 0, "seq_no": 1})

    def remove(self, store: Store) -> None:
        """Remove the entry, as it is when a server has left."""
        store.remove("servers", self.server_id)


def render(template: str, fields: dict[str, Any]) -> str:
    """Render the settings template as the platform's page on the deploy file says."""

    def find(name: str) -> Any:
        value: Any = fields
        for key in name.split("."):
            if isinstance(value, list):
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = (value or {}).get(key)
        return value

    def render_section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) not in (None, False, []) else ""

    def render_value(match: re.Match[str]) -> str:
        value = find(match[1])
        if match[2] or isinstance(value, dict):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", render_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", render_value, text)


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


class Gateway:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, *, name: str, zone: str, ip: str) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = (0, 0, 0)
        self.process: subprocess.Popen[bytes] | None = None
        self._environment: Headers = {}
        self._command: list[str] = []
        self.log_path = Path()

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def prepare(
        self, folder: Path, ports: tuple[int, int, int], store: Store, seeds: list[str]
    ) -> None:
        """Write the settings file of the process."""
        self.ports = ports
        callers, ready, peers = ports
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        [role] = deploy["roles"].values()
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen_addrs": {
                "front": f"{self.ip}:{callers}",
                "ready": f"{self.ip}:{ready}",
            },
            "internal_ports": [peers, peers],
            "platform": {"address": f"127.0.0.1:{store.port}"},
            "seeds": seeds,
            "zones": dict.fromkeys(("ptl-a", "ptl-b", "sea-a", "sea-b"), "cascadia"),
            "heartbeat_ms": 1200,
            "limits": {"cpu_share": 0.537, "cores": 2},
            "bounds": BOUNDS,
        }
        path = folder / f"{self.name}.jsonc"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.log_path = folder / f"{self.name}.log"
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        self._environment = kept | {
            "LAVENDERGAP_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        self._command = role["run"].split()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and head[0].split(" ")[1] == "200"


class Rig:
    """A store, backend servers and gateways; all end when the block is left."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.gateways: list[Gateway] = []
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "Rig":
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.kill()
            self._note_crash(gateway)
        self._folder.cleanup()

    def _note_crash(self, gateway: Gateway) -> None:
        log = gateway.log_path.read_text(errors="replace")
        errors = [line for line in log.splitlines() if not line.startswith("{")]
        if errors:
            ends = [line.strip(" |") for line in errors if "Error" in line]
            self.record.write("errors in the log", name=gateway.name, lines=ends[-3:])

    async def start_gateways(self, zones: list[str]) -> None:
        """Start a gateway in each of these data centres; return once all are ready."""
        ports = find_free_ports()
        names = [f"edge-{zone}-{index}" for index, zone in enumerate(zones, 1)]
        ips = [f"127.0.0.{index + 10}" for index in range(len(zones))]
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for name, zone, ip in zip(names, zones, ips, strict=True):
            gateway = Gateway(name=name, zone=zone, ip=ip)
            gateway.prepare(Path(self._folder.name), ports, self.store, seeds)
            gateway.start()
            self.gateways.append(gateway)
        limit = time.monotonic() + READY_WITHIN_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > limit:
                    raise CannotRunError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("gateways ready", names=names)

    def write_manifest(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Write the first manifest, with the limits of the small site files."""
        manifest = {
            "version": 7,
            "routes": routes,
            "services": [
                {"name": name, "health_path": "/healthz", "max_conns": 100}
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("config", "main", manifest)


def make_route(name: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the manifest at the path /NAME/, with `changes`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 2000,
        "slo_ms": 500,
        "attempts": 2,
        "priority": 1,
    } | changes


def find_free_ports() -> tuple[int, int, int]:
    """Return three ports that are free on this machine."""
    sockets = [socket.socket() for _ in range(3)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    first, second, third = (each.getsockname()[1] for each in sockets)
    for each in sockets:
        each.close()
    return first, second, third


def make_request(
    path: str, attempt: str, *, deadline_ms: int, body: bytes | None = None
) -> bytes:
    """Return the bytes of a caller's request; a POST if it has a body."""
    lines = [f"{'GET' if body is None else 'POST'} {path} HTTP/1.1", f"Host: {HOST}"]
    lines.append(f"Lavendergap-Attempt-Id: {attempt}")
    lines.append(f"Lavendergap-Deadline-Ms: {deadline_ms}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer; status 0 if the connection ends before it is whole."""
    head = await read_head(reader)
    if head is None:
        return Answer(status=0)
    status, headers = int(head[0].split(" ")[1]), head[1]
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status=0, headers=headers)
    return Answer(status=status, headers=headers, body=body)


async def ask(gateway: Gateway, data: bytes, *, limit_s: float) -> Answer:
    """Send a request over a new connection; status -1 if no answer comes in time."""
    try:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports[0])
    except OSError:
        return Answer(status=0)
    try:
        async with asyncio.timeout(limit_s):
            writer.write(data)
            await writer.drain()
            return await read_answer(reader)
    except TimeoutError:
        return Answer(status=-1)
    except ConnectionError:
        return Answer(status=0)
    finally:
        writer.close()


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Rig], Awaitable[bool]]) -> int:
    """Play a case; return the exit code of its script."""
    record = Record(folder)

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(PLAY_LIMIT_S), Rig(record) as rig:
            return await play(rig)

    try:
        is_broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    return BROKEN if is_broken else HELD
