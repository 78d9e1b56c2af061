"""Starts gateways as real processes, with a store and servers in this process."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import trio

from standins.customers import KEY_HEADER, CustomerEntry
from standins.leafservers import Leaf
from standins.objectstore import ObjectStore

from .processes import find_free_ports
from .proxy import list_ports

ROOT = Path(__file__).parents[1]
HOST_HEADER = "app.example"
READY_LIMIT_S = 20.0
DRAIN_MS = 3_000
STOP_WITHIN_S = 6
EVACUATE_MS = 3_000
REGIONS = dict.fromkeys(("ptl-a", "ptl-b", "sea-a", "sea-b"), "cascadia")


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The answer to a caller; header names are in lower case, in received order."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get(self, name: str) -> str:
        """Return the values of a header joined by commas, "" without one."""
        return ", ".join(value for key, value in self.headers if key == name)

    @property
    def part_stamps(self) -> list[str]:
        """The stamps of the parts that a joined answer lists."""
        text = self.get("lavendergap-part-stamps")
        return [proof.strip() for proof in text.split(",") if proof.strip()]


@dataclass(kw_only=True)
class Gateway:
    """One gateway process.

    `ports` are those for callers, admin and peers; `bounds` are added to the usual
    bounds of the settings file.
    """

    name: str
    zone: str
    ports: tuple[int, int, int]
    store_port: int
    seeds: list[str]
    directory: Path
    regions: dict[str, str]
    bounds: dict[str, float] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings_path(self) -> Path:
        return self.directory / f"{self.name}.jsonc"

    @property
    def output_path(self) -> Path:
        return self.directory / f"{self.name}.log"

    def write_settings(self, **changes: Any) -> None:
        """Write the settings file in the platform's format; `changes` override keys."""
        callers, admin, peers = self.ports
        settings = {
            "name": self.name,
            "data_centre": self.zone,
            "callers": f"127.0.0.1:{callers}",
            "admin": f"127.0.0.1:{admin}",
            "peer_ip": "127.0.0.1",
            "peer_port": peers,
            "store": f"127.0.0.1:{self.store_port}",
            "deployment": f"lab-{self.directory}",
            "seeds": self.seeds,
            "regions": self.regions,
            "bounds": {
                "drain_ms": DRAIN_MS,
                "stop_within_ms": STOP_WITHIN_S * 1_000,
                "extra_call_share": 0.2,
                "extra_call_slack": 54,
                "extra_call_window_s": 10,
                "evacuate_ms": EVACUATE_MS,
                **self.bounds,
            },
        }
        self.settings_path.write_text(json.dumps(settings | changes))

    def start(self) -> None:
        """Start the process; the caller has to end it with `kill`."""
        environment = dict(os.environ)
        environment["LAVENDERGAP_NODE_FILE"] = str(self.settings_path)
        with self.output_path.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "platform/main.py"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it was started, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def has_port(self, port: int) -> bool:
        """Return whether the process has a TCP socket with this local port."""
        return self.process is not None and port in list_ports(self.process.pid)

    def read_events(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of one event, decoded."""
        lines = self.output_path.read_text().splitlines()
        decisions = [json.loads(line) for line in lines if line.startswith("{")]
        return [each for each in decisions if each.get("event") == event]


@dataclass(kw_only=True)
class Platform:
    """The store, the servers and the gateways of one deployment.

    The manifest has `customers` unless it is None. `bounds` are those of the gateways.
    """

    nursery: trio.Nursery
    directory: Path
    store: ObjectStore
    store_port: int
    regions: dict[str, str]
    customers: list[CustomerEntry] | None = None
    bounds: dict[str, float] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    leaves: list[Leaf] = field(default_factory=list)
    n_asked: int = 0

    async def add_leaf(self, service: str, zone: str, **options: Any) -> Leaf:
        """Start a server and register it in the store."""
        leaf = Leaf(service=service, zone=zone, **options)
        await self.nursery.start(leaf.run, self.store)
        self.leaves.append(leaf)
        return leaf

    def add_gateway(self, zone: str) -> Gateway:
        """Start a gateway process, without waiting until it is ready."""
        ports = find_free_ports(3)
        gateway = Gateway(
            name=f"{zone}-{len(self.gateways) + 1}",
            zone=zone,
            ports=(ports[0], ports[1], ports[2]),
            store_port=self.store_port,
            seeds=[],
            directory=self.directory,
            regions=self.regions,
            bounds=self.bounds,
        )
        gateway.write_settings()
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def start(self, *zones: str) -> list[Gateway]:
        """Start a gateway in each of these data centres; return once all are ready."""
        gateways = [self.add_gateway(zone) for zone in zones]
        for gateway in gateways:
            await self.wait_ready(gateway)
        return gateways

    def count_arrivals(self, zone: str) -> int:
        """Count the requests received by the servers of a data centre."""
        return sum(leaf.arrivals.total() for leaf in self.leaves if leaf.zone == zone)

    def write_routes(
        self, version: int, routes: list[dict[str, Any]], **fields: Any
    ) -> None:
        """Write a route manifest with additional `fields` to the store."""
        manifest = {"version": version, "routes": routes, "services": [], "limits": {}}
        if self.customers is not None:
            manifest["tenants"] = [customer.show() for customer in self.customers]
        self.store.put("config", "main", manifest | fields)

    def evacuate(self, zone: str) -> None:
        """Write an evacuation of a data centre: gateways stop calling its servers."""
        self.store.put("evacuations", zone, {})

    def end_evacuation(self, zone: str) -> None:
        """Remove the evacuation of a data centre."""
        self.store.remove("evacuations", zone)

    async def wait_ready(
        self, gateway: Gateway, *, limit: float = READY_LIMIT_S
    ) -> None:
        """Return when the gateway is ready.

        Raises trio.TooSlowError after `limit` seconds.
        """
        with trio.fail_after(limit):
            while not await self.is_ready(gateway):
                await trio.sleep(0.05)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Return whether a gateway's /ready answers 200, as a balancer checks."""
        try:
            answer = await ask(gateway.ports[1], "/ready")
        except OSError:
            return False
        return answer.status == 200

    async def request(
        self,
        gateway: Gateway,
        path: str,
        *,
        attempt: str | None = None,
        deadline_ms: int = 1_000,
        body: bytes = b"",
        key: str = "",
    ) -> Answer:
        """Send one caller's request over a new connection and return its answer."""
        self.n_asked += 1
        headers = [
            ("Host", HOST_HEADER),
            ("Lavendergap-Attempt-Id", attempt or f"a{self.n_asked}"),
            ("Lavendergap-Deadline-Ms", str(deadline_ms)),
            *([(KEY_HEADER, key)] if key else []),
        ]
        return await ask(gateway.ports[0], path, headers=headers, body=body)


async def ask(
    port: int,
    path: str,
    *,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
) -> Answer:
    """Make one HTTP call over a new connection and return its complete answer."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        http = h11.Connection(h11.CLIENT)
        fields = headers or [("Host", "x")]
        if body:
            fields = [*fields, ("Content-Length", str(len(body)))]
        method = "POST" if body else "GET"
        data = http.send(h11.Request(method=method, target=path, headers=fields))
        assert data is not None
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        await stream.send_all(data)
        return await read_answer(stream, http)


async def read_answer(stream: trio.SocketStream, http: h11.Connection) -> Answer:
    """Read one complete answer.

    Raises ConnectionResetError when the connection closes without one.
    """
    head: h11.Response | None = None
    parts: list[bytes] = []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            return Answer(
                status=head.status_code,
                headers=tuple(
                    (name.decode(), value.decode("latin-1"))
                    for name, value in head.headers
                ),
                body=b"".join(parts),
            )
        else:
            raise ConnectionResetError("connection closed before a complete answer")


def make_search_route(path: str, shards: list[str], **changes: Any) -> dict[str, Any]:
    """Return a manifest's route that joins answers of `shards`, with `changes`."""
    joined = {"gather": shards, "top_k": 5, "min_coverage": 0.5}
    return _make_route(path) | joined | changes


def make_one_route(path: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a manifest's route to one service, with `changes`."""
    return _make_route(path) | {"service": service} | changes


def _make_route(path: str) -> dict[str, Any]:
    return {
        "name": f"r{path}",
        "host": HOST_HEADER,
        "path_prefix": path,
        "type": "idempotent",
        "timeout_ms": 1_000,
        "slo_ms": 400,
        "priority": 1,
        "attempts": 2,
    }


@asynccontextmanager
async def open_platform(
    directory: Path,
    *,
    regions: dict[str, str] = REGIONS,
    store: ObjectStore | None = None,
) -> AsyncIterator[Platform]:
    """Yield a platform without servers; kill its gateways when the block exits."""
    async with trio.open_nursery() as nursery:
        store = store or ObjectStore()
        port = await nursery.start(store.make_server(ip="127.0.0.1", port=0).run)
        platform = Platform(
            nursery=nursery,
            directory=directory,
            store=store,
            store_port=port,
            regions=regions,
        )
        try:
            yield platform
        finally:
            for gateway in platform.gateways:
                gateway.kill()
            nursery.cancel_scope.cancel()
