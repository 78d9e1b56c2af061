"""A randomized soak test of gateways; `make soak`, `SOAK_SEEDS="1 2 3" make soak`.

Real gateway processes reach a stand-in of the store through a proxy, and stand-ins of
backend servers. Overlapping faults are drawn from the seed while callers send requests.
The answers and the servers' records are checked against the guarantees. The last line
is `seeds= faults= requests= broken=`; the exit code is 1 after any violation.
"""

import os
import signal
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from pathlib import Path
from random import Random

import h11
import trio

from standins.leafservers import SERVERS, Leaf, LeafFaults, make_answer_body
from standins.objectstore import StoreCopy, StoreMode
from standins.spoiled import ENDLESS_KINDS, ODD_NUMBERS

from .gateways import (
    DRAIN_MS,
    EVACUATE_MS,
    HOST_HEADER,
    Answer,
    Gateway,
    Platform,
    make_one_route,
    make_search_route,
    open_platform,
    read_answer,
)
from .proxy import Proxy
from .soakcustomers import PUBLIC_PATH, SoakCustomers, has_customers

ZONES = ("ptl-a", "ptl-b", "sea-a")
N_SHARDS = 5
N_RECORDS = 5
MIN_SHARE = 0.5
N_RANDOM_SEEDS = 3
SEED_DURATION_S = 14.0
N_CALLERS = 6
CALLER_PAUSE_S = 0.05
# Callers that keep connections for longer than a planned stop takes, and send bookings
# to a service of its own, whose servers work for longer than the end of a stop takes.
N_PAUSING_CALLERS = 96
LONG_PAUSE_S = (0.5, 6.0)
LEDGER_WORK_S = 0.8
REQUEST_DEADLINE_MS = 1_500
# A change must be in force within 3 s of its acceptance on hosts that reach the store;
# one second more is allowed for a busy machine.
APPLY_LIMIT_S = 4.0
# Time without faults before the final checks. For as long after a fault of the store
# or of a host, late calls are not counted as violations.
QUIET_S = 4.5
# The store is restored from copies that are up to three seconds old. Servers and the
# operator write again what it has lost within two seconds.
STORE_COPY_INTERVAL_S = 0.4
N_STORE_COPIES = 8
WRITE_AGAIN_LIMIT_S = 1.8
MAX_LOST_VERSIONS = 4
# Calls of all hosts to the store in the two seconds after a restore.
MAX_CALLS_AFTER_RESTORE = 150
# One caller repeats a search that crashes each server that starts to run it.
CRASH_PATH = "/all/deadly"
CRASH_PAUSE_S = (0.2, 1.5)
LEAF_RESTART_S = 0.7
# How many of these requests may crash a server before hosts quarantine them. A host
# that is killed or frozen while running one may not report it to its peers, so each
# such fault allows one more.
MAX_CRASH_REQUESTS = 4
ODD_FIELDS = (
    ("Keep-Alive", "timeout={}"),
    ("Lavendergap-Server-Load", "{},0,8"),
    ("Lavendergap-Server-Load", "0,{},8"),
    ("Retry-After", "{}"),
)
END_CHECK_INTERVAL_S = 0.05
HELD_BACK_TEXT = b"held back"
NOT_RUN_STATUSES = (
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.UNAUTHORIZED,
)


@dataclass
class Tally:
    """Counts of faults and answers, and the violations, over all seeds."""

    faults: Counter[str] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


class Soak:
    """The run of one seed: a platform with faults, callers and checks."""

    def __init__(
        self, *, seed: int, platform: Platform, proxy: Proxy, tally: Tally
    ) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.platform = platform
        self.proxy = proxy
        self.tally = tally
        self.shards = [f"shard{n}" for n in range(N_SHARDS)]
        self.version = 1
        self.routes_at = 0.0
        self.disturbed_at: dict[str, float] = {}
        self.not_run: list[str] = []
        self.bookings: list[str] = []
        self.n_requests = 0
        self.retired: list[Leaf] = []
        self.ledger: list[Leaf] = []
        self.n_host_faults = 0
        # The hosts in a planned stop, and the requests whose connections they ended
        # without an answer.
        self.stopping: set[str] = set()
        self.cut: list[str] = []
        # Hosts that are frozen for longer than a caller waits for an answer.
        self.frozen: set[str] = set()
        self.n_crash_requests = 0
        self.evacuated: set[str] = set()
        self.store_copies: deque[StoreCopy] = deque(maxlen=N_STORE_COPIES)
        # Draws from its own generator, so that other seeds draw the same faults.
        self.customers: SoakCustomers | None = None
        if has_customers(seed):
            self.customers = SoakCustomers(
                platform=platform,
                proxy=proxy,
                random=Random(-seed),
                report=self.report_violation,
                is_calm_since=self.is_calm_since,
            )

    def report_violation(self, text: str) -> None:
        """Record and print a violated guarantee with its seed and time."""
        at = trio.current_time()
        self.tally.violations.append(f"seed {self.seed}: {text} (at {at:.2f})")
        print(self.tally.violations[-1], flush=True)

    # The deployment.

    async def build(self) -> None:
        """Start servers, write routes, start hosts and wait for them."""
        for shard in [*self.shards, "desk"]:
            for zone in ZONES[:2]:
                await self.add_leaf(shard, zone)
        for zone in ZONES[:2]:
            leaf = Leaf(service="ledger", zone=zone, slots=32)
            leaf.faults = LeafFaults(work_s=LEDGER_WORK_S)
            await self.platform.nursery.start(leaf.run, self.platform.store)
            self.ledger.append(leaf)
        self.write_routes()
        for zone in ZONES:
            gateway = self.platform.add_gateway(zone)
            gateway.store_port = self.proxy.port
            gateway.kill()
            gateway.write_settings()
            gateway.start()
        for gateway in self.platform.gateways:
            await self.platform.wait_ready(gateway)

    async def add_leaf(self, service: str, zone: str) -> None:
        """Start a server that crashes on the request to `CRASH_PATH`."""
        await self.platform.add_leaf(
            service, zone, crash_path=CRASH_PATH, restart_delay_s=LEAF_RESTART_S
        )

    def write_routes(self) -> None:
        """Write a newer version of the routes, with a path that only it has."""
        self.version += self.rng.randint(1, 3)
        self.routes_at = trio.current_time()
        self.put_routes()

    def put_routes(self) -> None:
        """Write the newest version of the routes, unless the store has it."""
        routes = [
            make_search_route("/all/", self.shards, top_k=N_RECORDS),
            make_one_route("/one/", "desk"),
            make_one_route("/book/", "desk", type="non_idempotent"),
            make_one_route("/bill/", "ledger", type="non_idempotent", timeout_ms=2_000),
            make_one_route(f"/v{self.version}/", "desk"),
        ]
        if self.customers:
            routes.append(make_one_route(PUBLIC_PATH, "desk", public=True))
        self.platform.write_routes(self.version, routes)

    # Callers.

    async def send_requests(self, number: int) -> None:
        """Send requests one after the other, over persistent connections."""
        rng = Random(self.seed * 100 + number)
        while True:
            gateway = rng.choice(self.platform.gateways)
            try:
                await self.use_connection(gateway, rng)
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                await trio.sleep(CALLER_PAUSE_S)
            except trio.TooSlowError:
                if gateway.name not in self.frozen:
                    raise

    async def send_rarely(self, number: int) -> None:
        """Send requests with long pauses over connections that are kept meanwhile."""
        rng = Random(self.seed * 100 + N_CALLERS + number)
        while True:
            gateway = rng.choice(self.platform.gateways)
            try:
                stream = await trio.open_tcp_stream("127.0.0.1", gateway.ports[0])
                async with stream:
                    await self.keep_connection(stream, gateway, rng)
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                await trio.sleep(CALLER_PAUSE_S)
            except trio.TooSlowError:
                if gateway.name not in self.frozen:
                    raise

    async def keep_connection(
        self, stream: trio.SocketStream, gateway: Gateway, rng: Random
    ) -> None:
        """Send requests until an answer or the host closes the connection."""
        http = h11.Connection(h11.CLIENT)
        while True:
            n_before = self.n_requests
            try:
                answer = await self.ask(stream, http, "/bill/")
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                if gateway.name in self.stopping:
                    self.cut.append(f"s{self.seed}-{n_before + 1}")
                return
            if answer.get("connection") == "close":
                return
            http.start_next_cycle()
            await trio.sleep(rng.uniform(*LONG_PAUSE_S))

    @property
    def key(self) -> str:
        """The key that all requests have in a run with customers, else ""."""
        return self.customers.regular.keys[0] if self.customers else ""

    async def repeat_crash_request(self) -> None:
        """Send the request that crashes servers to random hosts, until cancelled."""
        rng = Random(self.seed)
        while True:
            await trio.sleep(rng.uniform(*CRASH_PAUSE_S))
            gateway = rng.choice(self.platform.gateways)
            self.n_crash_requests += 1
            attempt = f"deadly{self.seed}-{self.n_crash_requests}"
            with trio.move_on_after(REQUEST_DEADLINE_MS / 1_000 + 1.0):
                try:
                    answer = await self.platform.request(
                        gateway,
                        CRASH_PATH,
                        attempt=attempt,
                        deadline_ms=REQUEST_DEADLINE_MS,
                        key=self.key,
                    )
                except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                    continue
                if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    self.not_run.append(attempt)

    async def use_connection(self, gateway: Gateway, rng: Random) -> None:
        """Send requests over one connection until an answer closes it."""
        stream = await trio.open_tcp_stream("127.0.0.1", gateway.ports[0])
        async with stream:
            http = h11.Connection(h11.CLIENT)
            for _ in range(rng.randint(1, 40)):
                paths = ("/all/", "/all/", "/one/", "/book/")
                path = rng.choice((*paths, PUBLIC_PATH) if self.customers else paths)
                answer = await self.ask(stream, http, path)
                if answer.get("connection") == "close":
                    return
                http.start_next_cycle()
                await trio.sleep(CALLER_PAUSE_S * rng.random() * 2)

    async def ask(
        self, stream: trio.SocketStream, http: h11.Connection, path: str
    ) -> Answer:
        """Send one request and check its answer."""
        self.n_requests += 1
        attempt = f"s{self.seed}-{self.n_requests}"
        if path in ("/book/", "/bill/"):
            self.bookings.append(attempt)
        headers = [
            ("Host", HOST_HEADER),
            ("Lavendergap-Attempt-Id", attempt),
            ("Lavendergap-Deadline-Ms", str(REQUEST_DEADLINE_MS)),
        ]
        if self.customers:
            headers += self.customers.make_headers(attempt, path)
        request = h11.Request(method="GET", target=path, headers=headers)
        data = http.send(request) or b""
        await stream.send_all(data + (http.send(h11.EndOfMessage()) or b""))
        with trio.fail_after(REQUEST_DEADLINE_MS / 1_000 + 3.0):
            answer = await read_answer(stream, http)
        self.tally.answers[answer.status] += 1
        self.check(path, attempt, answer)
        return answer

    def check(self, path: str, attempt: str, answer: Answer) -> None:
        """Check one answer against what servers return for its request."""
        if self.customers:
            self.customers.check_answer(attempt, answer)
        if answer.status in NOT_RUN_STATUSES:
            self.not_run.append(attempt)
            if HELD_BACK_TEXT in answer.body:
                self.report_violation(
                    f"{path} {attempt}: held back, but crashes no server"
                )
        elif answer.status == HTTPStatus.OK and path == "/all/":
            self.check_joined(attempt, answer)
        elif answer.status == HTTPStatus.OK:
            proof = answer.get("lavendergap-server-stamp")
            service = "ledger" if path == "/bill/" else "desk"
            is_own = answer.body == make_answer_body(service, attempt, b"")
            if not is_own or not proof.endswith(f".{attempt}"):
                self.report_violation(
                    f"{path} {attempt}: not the complete answer to this request"
                )

    def check_joined(self, attempt: str, answer: Answer) -> None:
        """Check a joined answer against the parts that it lists."""
        services = {
            server_id: leaf.service
            for leaf in self.all_leaves()
            for server_id in (leaf.server_id, *leaf.previous_ids)
        }
        services_answered = []
        for proof in answer.part_stamps:
            server, _, of = proof.partition(".")
            if of != attempt or server not in services:
                self.report_violation(
                    f"{attempt}: stamp {proof} belongs to another request"
                )
                return
            services_answered.append(services[server])
        missing = int(answer.get("lavendergap-missing-parts") or 0)
        if (
            len(set(services_answered)) != len(services_answered)
            or len(services_answered) + missing != N_SHARDS
        ):
            self.report_violation(
                f"{attempt}: parts {services_answered}, with {missing} missing"
            )
        if len(services_answered) < MIN_SHARE * N_SHARDS:
            self.report_violation(f"{attempt}: only {len(services_answered)} parts")
        parts = [make_answer_body(name, attempt, b"") for name in services_answered]
        records = sorted(
            (p[at : at + 16] for p in parts for at in range(0, len(p), 16)),
            reverse=True,
        )
        if answer.body != b"".join(records[:N_RECORDS]):
            self.report_violation(f"{attempt}: not the greatest records of its parts")

    def all_leaves(self) -> list[Leaf]:
        """Return all servers, including retired ones."""
        return [*self.platform.leaves, *self.retired, *self.ledger]

    # Faults.

    async def inject_faults(self) -> None:
        """Inject overlapping faults until `QUIET_S` before the end."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_host,
            self.pause_host,
            self.stop_host,
            self.harm_store,
            self.restore_store,
            self.harm_proxy,
            self.harm_leaf,
            self.harm_leaf,
            self.harm_leaf,
            self.replace_leaf,
            self.evacuate,
            self.change_routes,
            self.signal_reload,
        ]
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(SEED_DURATION_S - QUIET_S):
                while True:
                    fault = self.rng.choice(faults)
                    self.tally.faults[fault.__name__] += 1
                    nursery.start_soon(fault)
                    await trio.sleep(self.rng.uniform(0.1, 1.2))

    def mark_disturbed(self, *gateways: Gateway) -> None:
        """Record a fault of these hosts, or of all, which suspends checks of bounds."""
        for gateway in gateways or self.platform.gateways:
            self.disturbed_at[gateway.name] = trio.current_time()

    def is_calm_since(self, at: float) -> bool:
        """Return whether no fault has suspended checks of bounds since `at`."""
        return all(disturbed < at for disturbed in self.disturbed_at.values())

    async def kill_host(self) -> None:
        self.n_host_faults += 1
        gateway = self.rng.choice(self.platform.gateways)
        self.mark_disturbed(gateway)
        self.stopping.discard(gateway.name)
        gateway.kill()
        await trio.sleep(self.rng.uniform(0.0, 0.5))
        gateway.kill()
        gateway.start()

    async def pause_host(self) -> None:
        self.n_host_faults += 1
        gateway = self.rng.choice(self.platform.gateways)
        self.mark_disturbed(gateway)
        process = gateway.process
        self.stopping.discard(gateway.name)
        gateway.send(signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(0.1, 2.0))
        if process is gateway.process:
            gateway.send(signal.SIGCONT)
        self.mark_disturbed(gateway)

    async def stop_host(self) -> None:
        self.n_host_faults += 1
        gateway = self.rng.choice(self.platform.gateways)
        self.mark_disturbed(gateway)
        process = gateway.process
        if gateway.name in self.stopping:
            # A second signal ends the process at once.
            self.stopping.discard(gateway.name)
        else:
            self.stopping.add(gateway.name)
        gateway.send(signal.SIGTERM)
        with trio.move_on_after(7.0):
            while process is not None and process.poll() is None:
                await trio.sleep(0.1)
        self.stopping.discard(gateway.name)
        if process is gateway.process:
            gateway.kill()
            gateway.start()
        self.mark_disturbed(gateway)

    async def harm_store(self) -> None:
        store = self.platform.store
        self.mark_disturbed()
        modes: tuple[StoreMode, ...] = ("busy", "silent", "lost")
        if self.rng.random() < 0.25:
            store.forget_history()
        elif store.mode == "up":
            store.mode = self.rng.choice(modes)
            await trio.sleep(self.rng.uniform(0.3, 2.5))
            store.mode = "up"
        self.mark_disturbed()

    async def take_store_copies(self) -> None:
        """Take copies of the store until cancelled."""
        while True:
            self.store_copies.append(self.platform.store.take_copy())
            await trio.sleep(STORE_COPY_INTERVAL_S)

    async def restore_store(self) -> None:
        """Restore the store from a copy, and check how much the hosts call it.

        The copy lacks some versions of the routes that hosts have.
        """
        store = self.platform.store
        self.mark_disturbed()
        if store.mode == "up":
            for _ in range(self.rng.randint(0, MAX_LOST_VERSIONS)):
                self.write_routes()
                await trio.sleep(0.2)
            store.mode = "busy"
            await trio.sleep(self.rng.uniform(0.1, 1.5))
            copy = self.rng.choice(self.store_copies)
            self.store_copies.clear()
            self.store_copies.append(copy)
            store.restore(copy)
            if self.customers:
                self.customers.note_restore()
            store.mode = "up"
            n_before = store.n_calls
            await self.write_again()
            if store.n_calls - n_before > MAX_CALLS_AFTER_RESTORE:
                self.report_violation(
                    f"{store.n_calls - n_before} calls after a restore of the store"
                )
        self.mark_disturbed()

    async def write_again(self) -> None:
        """Write what a restored store lacks, and remove servers that are gone."""
        store = self.platform.store

        async def write_operator_entries() -> None:
            await trio.sleep(self.rng.uniform(0.0, WRITE_AGAIN_LIMIT_S / 2))
            self.put_routes()
            for zone in ZONES:
                if zone in self.evacuated:
                    self.platform.evacuate(zone)
                else:
                    self.platform.end_evacuation(zone)

        async def write_server_entry(leaf: Leaf) -> None:
            await trio.sleep(self.rng.uniform(0.0, WRITE_AGAIN_LIMIT_S))
            leaf.register_again(store)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_operator_entries)
            for leaf in self.all_leaves():
                nursery.start_soon(write_server_entry, leaf)
            await trio.sleep(2.0)
        current = {leaf.server_id for leaf in self.all_leaves()}
        for name in set(store.list_names(SERVERS)) - current:
            store.remove(SERVERS, name)

    async def harm_proxy(self) -> None:
        self.mark_disturbed()
        match self.rng.randrange(5):
            case 0:
                self.proxy.silence()
            case 1:
                self.proxy.reset()
            case 2:
                self.proxy.delay = 0.1
                await trio.sleep(1.5)
                self.proxy.delay = 0.0
            case 3:
                self.proxy.is_cut = True
                await trio.sleep(1.0)
                self.proxy.is_cut = False
            case _:
                self.proxy.drops_answers = True
                await trio.sleep(1.0)
                self.proxy.drops_answers = False
        self.mark_disturbed()

    async def harm_leaf(self) -> None:
        # The service of bookings is chosen more often, for its stronger guarantees.
        service = self.rng.choice(["desk", self.rng.choice(self.shards)])
        leaves = [leaf for leaf in self.platform.leaves if leaf.service == service]
        if self.rng.random() < 0.5:
            leaves = leaves[:1]
        faults = (
            LeafFaults(work_s=0.3),
            LeafFaults(refuses=True),
            LeafFaults(fails=True),
            LeafFaults(resets_connections=True),
            LeafFaults(n_copies=2),
            LeafFaults(work_s=30.0),
            LeafFaults(refuses_first=True, repeats_refusals=True),
            LeafFaults(odd_headers=(self.draw_odd_header(),)),
            LeafFaults(endless=self.rng.choice(ENDLESS_KINDS)),
        )
        fault = self.rng.choice(faults)
        for leaf in leaves:
            leaf.faults = fault
        await trio.sleep(self.rng.uniform(0.3, 3.0))
        for leaf in leaves:
            leaf.faults = LeafFaults()

    def draw_odd_header(self) -> tuple[str, str]:
        name, template = self.rng.choice(ODD_FIELDS)
        return name, template.format(self.rng.choice(ODD_NUMBERS))

    async def watch_ends(self) -> None:
        """Report and restart hosts that end by themselves, until cancelled."""
        while True:
            for gateway in self.platform.gateways:
                code = gateway.process.poll() if gateway.process else None
                # A process that is killed by a signal has a negative code.
                if code is not None and code > 0:
                    self.report_violation(f"{gateway.name} ended with exit code {code}")
                    gateway.start()
            await trio.sleep(END_CHECK_INTERVAL_S)

    async def replace_leaf(self) -> None:
        """Replace a server, and check that calls to the drained one stop in time."""
        leaf = self.rng.choice(self.platform.leaves)
        await self.add_leaf(leaf.service, leaf.zone)
        if leaf not in self.platform.leaves:
            return
        self.platform.leaves.remove(leaf)
        self.retired.append(leaf)
        leaf.register(self.platform.store, "draining")
        accepted_at = trio.current_time()
        await trio.sleep(DRAIN_MS / 1_000 + 0.5)
        n_before = sum(leaf.arrivals.values())
        await trio.sleep(1.0)
        n_late_calls = sum(leaf.arrivals.values()) - n_before
        if n_late_calls and self.is_calm_since(accepted_at - QUIET_S):
            self.report_violation(
                f"{n_late_calls} late calls to {leaf.server_id}, which was draining"
            )

    async def lose_hosts_and_server(self) -> None:
        """Lose two hosts as a server's entry is removed; check that calls to it end.

        Two hosts watch the store for all, so that at times both are lost.
        """
        lost = self.rng.sample(self.platform.gateways, 2)
        leaf = self.rng.choice(self.platform.leaves)
        await self.add_leaf(leaf.service, leaf.zone)
        await trio.sleep(1.0)
        self.platform.leaves.remove(leaf)
        self.retired.append(leaf)
        is_frozen = self.rng.random() < 0.5
        is_lost_first = self.rng.random() < 0.5
        if is_lost_first:
            self.lose_hosts(lost, is_frozen=is_frozen)
            await trio.sleep(self.rng.uniform(0.0, 0.5))
        self.platform.store.remove(SERVERS, leaf.server_id)
        removed_at = trio.current_time()
        if not is_lost_first:
            await trio.sleep(self.rng.uniform(0.0, 0.1))
            self.lose_hosts(lost, is_frozen=is_frozen)
        await trio.sleep_until(removed_at + DRAIN_MS / 1_000)
        n_before = sum(leaf.arrivals.values())
        await trio.sleep(1.0)
        n_late_calls = sum(leaf.arrivals.values()) - n_before
        if n_late_calls:
            self.report_violation(
                f"{n_late_calls} late calls to {leaf.server_id}, which was removed as "
                f"{' and '.join(host.name for host in lost)} were lost"
            )
        for gateway in lost:
            gateway.kill()
            gateway.start()

    def lose_hosts(self, gateways: list[Gateway], *, is_frozen: bool) -> None:
        """Freeze or kill hosts."""
        for gateway in gateways:
            self.mark_disturbed(gateway)
            gateway.send(signal.SIGSTOP if is_frozen else signal.SIGKILL)
            if is_frozen:
                self.frozen.add(gateway.name)

    async def evacuate(self) -> None:
        """Evacuate a data centre, and check that calls to its servers stop in time."""
        zone = self.rng.choice(ZONES)
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        self.platform.evacuate(zone)
        accepted_at = trio.current_time()
        await trio.sleep(EVACUATE_MS / 1_000 + 0.5)
        before = self.count_arrivals(zone)
        await trio.sleep(1.0)
        late = self.count_arrivals(zone) - before
        if late and self.is_calm_since(accepted_at - QUIET_S):
            self.report_violation(
                f"{late.total()} late calls to {zone}, which was evacuated: "
                + ", ".join(late)
            )
        self.platform.end_evacuation(zone)
        self.evacuated.discard(zone)

    def count_arrivals(self, zone: str) -> Counter[str]:
        """Count the arrivals of each attempt at a data centre's servers."""
        arrivals = Counter[str]()
        for leaf in self.all_leaves():
            if leaf.zone == zone:
                arrivals += leaf.arrivals
        return arrivals

    async def change_routes(self) -> None:
        self.write_routes()

    async def signal_reload(self) -> None:
        gateway = self.rng.choice(self.platform.gateways)
        if gateway.process is not None and gateway.process.poll() is None:
            gateway.send(signal.SIGHUP)

    # Final checks.

    async def check_end(self) -> None:
        """Check, after the faults, the routes in force and the runs of requests."""
        started = trio.current_time()
        for gateway in self.platform.gateways:
            await self.check_routes(gateway, started)
        # During the faults, most drains are too close to one for their bound to be
        # checked.
        await self.replace_leaf()
        await self.evacuate()
        if self.customers:
            await self.customers.check_end(self.write_routes)
        await self.lose_hosts_and_server()
        for attempt in self.bookings:
            n_runs = sum(leaf.runs[attempt] for leaf in self.all_leaves())
            if n_runs > 1:
                self.report_violation(f"booking {attempt} ran {n_runs} times")
        crashed_by = {each for leaf in self.all_leaves() for each in leaf.crashed_by}
        if len(crashed_by) > MAX_CRASH_REQUESTS + self.n_host_faults:
            self.report_violation(
                f"{len(crashed_by)} of {self.n_crash_requests} requests crashed servers"
            )
        for attempt in self.cut:
            if any(leaf.runs[attempt] for leaf in self.all_leaves()):
                self.report_violation(f"{attempt} ran and was cut by a planned stop")
        for attempt in self.not_run:
            if any(leaf.runs[attempt] for leaf in self.all_leaves()):
                self.report_violation(f"{attempt} was reported as not run, but ran")

    async def check_routes(self, gateway: Gateway, started: float) -> None:
        """Wait for the newest routes on one host; it must not revert to older ones."""
        path = f"/v{self.version}/"
        while trio.current_time() < started + APPLY_LIMIT_S + QUIET_S:
            try:
                answer = await self.platform.request(gateway, path, key=self.key)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)
                continue
            if answer.status == HTTPStatus.OK:
                break
            await trio.sleep(0.1)
        else:
            self.report_violation(
                f"{gateway.name} did not apply version {self.version}"
            )
            return
        again = await self.platform.request(gateway, path, key=self.key)
        if again.status == HTTPStatus.NOT_FOUND:
            self.report_violation(
                f"{gateway.name} reverted to a version before {self.version}"
            )


async def run_seed(seed: int, tally: Tally) -> int:
    """Run one seed; return the number of requests."""
    with tempfile.TemporaryDirectory() as directory:
        async with open_platform(Path(directory)) as platform:
            proxy = Proxy(target=platform.store_port)
            await platform.nursery.start(proxy.run)
            soak = Soak(seed=seed, platform=platform, proxy=proxy, tally=tally)
            await soak.build()
            n_before = len(tally.violations)
            async with trio.open_nursery() as callers:
                for number in range(N_CALLERS):
                    callers.start_soon(soak.send_requests, number)
                for number in range(N_PAUSING_CALLERS):
                    callers.start_soon(soak.send_rarely, number)
                callers.start_soon(soak.repeat_crash_request)
                callers.start_soon(soak.take_store_copies)
                callers.start_soon(soak.watch_ends)
                if soak.customers:
                    run_customers = partial(
                        soak.customers.run,
                        list_leaves=soak.all_leaves,
                        write=soak.write_routes,
                        check=soak.check,
                    )
                    callers.start_soon(run_customers)
                await soak.inject_faults()
                await trio.sleep(QUIET_S)
                await soak.check_end()
                callers.cancel_scope.cancel()
            if len(tally.violations) > n_before:
                keep_logs(seed, platform)
            return soak.n_requests


def keep_logs(seed: int, platform: Platform) -> None:
    """Copy the gateways' logs of a failed seed to build/soak-SEED."""
    target = Path("build") / f"soak-{seed}"
    target.mkdir(parents=True, exist_ok=True)
    for gateway in platform.gateways:
        text = gateway.output_path.read_text()
        (target / gateway.output_path.name).write_text(text)
    print(f"logs of seed {seed}: {target}", flush=True)


def choose_seeds() -> list[int]:
    """Return the seeds of SOAK_SEEDS, or random ones."""
    text = os.environ.get("SOAK_SEEDS", "")
    if text.strip():
        return [int(seed) for seed in text.split()]
    fresh = Random(time.time_ns())
    return [fresh.randrange(1, 1_000_000) for _ in range(N_RANDOM_SEEDS)]


def main() -> int:
    """Run the seeds one after the other; return the exit code."""
    tally = Tally()
    seeds = choose_seeds()
    n_requests = 0
    for seed in seeds:
        n_requests += trio.run(run_seed, seed, tally)
        print(f"seed {seed}: {dict(tally.answers)} so far", flush=True)
    print(f"faults: {dict(tally.faults)}")
    n_faults = sum(tally.faults.values())
    print(
        f"seeds={len(seeds)} faults={n_faults} requests={n_requests} "
        f"broken={len(tally.violations)}"
    )
    return 1 if tally.violations else 0


if __name__ == "__main__":
    sys.exit(main())
