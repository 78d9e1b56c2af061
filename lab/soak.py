"""A randomized soak of gateway hosts; `make soak`, `SOAK_SEEDS="1 2 3" make soak`.

Real gateway processes stand behind a loopback proxy to a stand-in of the store, before
stand-ins of servers. Faults come in series that overlap, drawn from the seed, while
callers ask. What callers and servers saw is held against the promises; the last line
is `seeds= faults= requests= broken=`, and the exit code is 1 when any was broken.
"""

import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from random import Random

import h11
import trio

from standins.leafs import Leaf, LeafFaults, make_part
from standins.objectstore import Mode

from .gateways import (
    DRAIN_MS,
    EVACUATE_MS,
    HOST,
    Answer,
    Gateway,
    Platform,
    make_one_route,
    make_search_route,
    open_platform,
    read_answer,
)
from .proxy import Proxy

ZONES = ("ptl-a", "ptl-b", "sea-a")
N_SHARDS = 5
N_RECORDS = 5
MIN_SHARE = 0.5
N_FRESH = 3
LENGTH = 14.0
N_CALLERS = 6
CALLER_PAUSE = 0.05
TIME_LEFT_MS = 1_500
# A change has to be in force within 3 s of its acceptance, on hosts that reach the
# store; the soak allows a second more, since it shares the machine with others.
APPLY_LIMIT = 4.0
# Faults of the store and freezes of hosts end some time before the last check, and a
# host that was touched by one is left out of the bounds for as long.
QUIET = 4.5
# One caller's search ends each server that begins to run it, and comes again and again.
DEADLY = "/all/deadly"
DEADLY_PAUSE = (0.2, 1.5)
LEAF_AWAY = 0.7
# What the users bear once it has ended three servers. A host that is killed or frozen
# with it under way may have told nobody, and each such harm allows one more.
MAX_DEADLY = 4
HELD_BACK = b"held back"


@dataclass
class Tally:
    """What was done and what was broken, over all seeds."""

    faults: Counter[str] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)


class Soak:
    """One seed: a platform, its faults, its callers and its checks."""

    def __init__(
        self, *, seed: int, platform: Platform, proxy: Proxy, tally: Tally
    ) -> None:
        self.seed = seed
        self.dice = Random(seed)
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
        self.n_host_harms = 0
        self.n_deadly = 0
        self.evacuated: set[str] = set()

    def break_promise(self, text: str) -> None:
        """Note a broken promise with all that leads back to it."""
        at = trio.current_time()
        self.tally.broken.append(f"seed {self.seed}: {text} (at {at:.2f})")
        print(self.tally.broken[-1], flush=True)

    # The deployment.

    async def build(self) -> None:
        """Start servers, write routes, start hosts and wait for them."""
        for shard in [*self.shards, "desk"]:
            for zone in ZONES[:2]:
                await self.add_leaf(shard, zone)
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
        """Start a server that the deadly request ends."""
        await self.platform.add_leaf(service, zone, ends_on=DEADLY, away=LEAF_AWAY)

    def write_routes(self) -> None:
        """Write a newer version of the routes, with a path of its own."""
        self.version += self.dice.randint(1, 3)
        self.routes_at = trio.current_time()
        self.platform.write_routes(
            self.version,
            [
                make_search_route("/all/", self.shards, top_k=N_RECORDS),
                make_one_route("/one/", "desk"),
                make_one_route("/book/", "desk", type="non_idempotent"),
                make_one_route(f"/v{self.version}/", "desk"),
            ],
        )

    # Callers.

    async def call_for_ever(self, number: int) -> None:
        """Ask one request after the other, on connections kept until they end."""
        dice = Random(self.seed * 100 + number)
        while True:
            gateway = dice.choice(self.platform.gateways)
            try:
                await self.keep_connection(gateway, dice)
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                await trio.sleep(CALLER_PAUSE)

    async def repeat_deadly(self) -> None:
        """Send the request that ends servers, at any host, until cancelled."""
        dice = Random(self.seed)
        while True:
            await trio.sleep(dice.uniform(*DEADLY_PAUSE))
            gateway = dice.choice(self.platform.gateways)
            self.n_deadly += 1
            attempt = f"deadly{self.seed}-{self.n_deadly}"
            with trio.move_on_after(TIME_LEFT_MS / 1_000 + 1.0):
                try:
                    answer = await self.platform.request(
                        gateway, DEADLY, attempt=attempt, deadline_ms=TIME_LEFT_MS
                    )
                except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                    continue
                if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    self.not_run.append(attempt)

    async def keep_connection(self, gateway: Gateway, dice: Random) -> None:
        """Ask on one connection until an answer says to close it."""
        stream = await trio.open_tcp_stream("127.0.0.1", gateway.ports[0])
        async with stream:
            http = h11.Connection(h11.CLIENT)
            for _ in range(dice.randint(1, 40)):
                path = dice.choice(("/all/", "/all/", "/one/", "/book/"))
                answer = await self.ask(stream, http, path)
                if answer.get("connection") == "close":
                    return
                http.start_next_cycle()
                await trio.sleep(CALLER_PAUSE * dice.random() * 2)

    async def ask(
        self, stream: trio.SocketStream, http: h11.Connection, path: str
    ) -> Answer:
        """Make one request and hold its answer against the promises."""
        self.n_requests += 1
        attempt = f"s{self.seed}-{self.n_requests}"
        if path == "/book/":
            self.bookings.append(attempt)
        headers = [
            ("Host", HOST),
            ("Lavendergap-Attempt-Id", attempt),
            ("Lavendergap-Deadline-Ms", str(TIME_LEFT_MS)),
        ]
        request = h11.Request(method="GET", target=path, headers=headers)
        data = http.send(request) or b""
        await stream.send_all(data + (http.send(h11.EndOfMessage()) or b""))
        with trio.fail_after(TIME_LEFT_MS / 1_000 + 3.0):
            answer = await read_answer(stream, http)
        self.tally.answers[answer.status] += 1
        self.check(path, attempt, answer)
        return answer

    def check(self, path: str, attempt: str, answer: Answer) -> None:
        """Hold one answer against what servers have for its request."""
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.not_run.append(attempt)
            if HELD_BACK in answer.body:
                self.break_promise(f"{path} {attempt}: held back, and ends no server")
        elif answer.status == HTTPStatus.OK and path == "/all/":
            self.check_joined(attempt, answer)
        elif answer.status == HTTPStatus.OK:
            proof = answer.get("lavendergap-server-stamp")
            is_own = answer.body == make_part("desk", attempt, b"")
            if not is_own or not proof.endswith(f".{attempt}"):
                self.break_promise(f"{path} {attempt}: not its own whole answer")

    def check_joined(self, attempt: str, answer: Answer) -> None:
        """Hold a joined answer against the parts that it names."""
        services = {
            server_id: leaf.service
            for leaf in self.all_leafs()
            for server_id in (leaf.server_id, *leaf.past_ids)
        }
        named = []
        for proof in answer.proofs:
            server, _, of = proof.partition(".")
            if of != attempt or server not in services:
                self.break_promise(f"{attempt}: proof {proof} is of another request")
                return
            named.append(services[server])
        missing = int(answer.get("lavendergap-missing-parts") or 0)
        if len(set(named)) != len(named) or len(named) + missing != N_SHARDS:
            self.break_promise(f"{attempt}: parts {named} and {missing} missing")
        if len(named) < MIN_SHARE * N_SHARDS:
            self.break_promise(f"{attempt}: only {len(named)} parts")
        parts = [make_part(name, attempt, b"") for name in named]
        records = sorted(
            (p[at : at + 16] for p in parts for at in range(0, len(p), 16)),
            reverse=True,
        )
        if answer.body != b"".join(records[:N_RECORDS]):
            self.break_promise(f"{attempt}: not the greatest records of its parts")

    def all_leafs(self) -> list[Leaf]:
        """Return every server that ever was."""
        return [*self.platform.leafs, *self.retired]

    # Faults.

    async def disturb(self) -> None:
        """Bring about faults, one series beside the other, until the quiet end."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_host,
            self.pause_host,
            self.stop_host,
            self.harm_store,
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
            with trio.move_on_after(LENGTH - QUIET):
                while True:
                    fault = self.dice.choice(faults)
                    self.tally.faults[fault.__name__] += 1
                    nursery.start_soon(fault)
                    await trio.sleep(self.dice.uniform(0.1, 1.2))

    def touch(self, *gateways: Gateway) -> None:
        """Leave hosts out of the bounds for a while: they were disturbed."""
        for gateway in gateways or self.platform.gateways:
            self.disturbed_at[gateway.name] = trio.current_time()

    async def kill_host(self) -> None:
        self.n_host_harms += 1
        gateway = self.dice.choice(self.platform.gateways)
        self.touch(gateway)
        gateway.kill()
        await trio.sleep(self.dice.uniform(0.0, 0.5))
        gateway.kill()
        gateway.start()

    async def pause_host(self) -> None:
        self.n_host_harms += 1
        gateway = self.dice.choice(self.platform.gateways)
        self.touch(gateway)
        process = gateway.process
        gateway.send(signal.SIGSTOP)
        await trio.sleep(self.dice.uniform(0.1, 2.0))
        if process is gateway.process:
            gateway.send(signal.SIGCONT)
        self.touch(gateway)

    async def stop_host(self) -> None:
        self.n_host_harms += 1
        gateway = self.dice.choice(self.platform.gateways)
        self.touch(gateway)
        process = gateway.process
        gateway.send(signal.SIGTERM)
        with trio.move_on_after(7.0):
            while process is not None and process.poll() is None:
                await trio.sleep(0.1)
        if process is gateway.process:
            gateway.kill()
            gateway.start()
        self.touch(gateway)

    async def harm_store(self) -> None:
        store = self.platform.store
        self.touch()
        modes: tuple[Mode, ...] = ("busy", "silent", "lost")
        if self.dice.random() < 0.25:
            store.forget_history()
        elif store.mode == "up":
            store.mode = self.dice.choice(modes)
            await trio.sleep(self.dice.uniform(0.3, 2.5))
            store.mode = "up"
        self.touch()

    async def harm_proxy(self) -> None:
        self.touch()
        match self.dice.randrange(5):
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
                self.proxy.one_way = True
                await trio.sleep(1.0)
                self.proxy.one_way = False
        self.touch()

    async def harm_leaf(self) -> None:
        # Bookings go to one service only, and what happens to them matters most.
        service = self.dice.choice(["desk", self.dice.choice(self.shards)])
        leafs = [leaf for leaf in self.platform.leafs if leaf.service == service]
        if self.dice.random() < 0.5:
            leafs = leafs[:1]
        faults = (
            LeafFaults(work=0.3),
            LeafFaults(refuses=True),
            LeafFaults(fails=True),
            LeafFaults(loses=True),
            LeafFaults(n_copies=2),
            LeafFaults(work=30.0),
        )
        fault = self.dice.choice(faults)
        for leaf in leafs:
            leaf.faults = fault
        await trio.sleep(self.dice.uniform(0.3, 3.0))
        for leaf in leafs:
            leaf.faults = LeafFaults()

    async def replace_leaf(self) -> None:
        """Start a server beside one that drains, and hold its bound."""
        leaf = self.dice.choice(self.platform.leafs)
        await self.add_leaf(leaf.service, leaf.zone)
        if leaf not in self.platform.leafs:
            return
        self.platform.leafs.remove(leaf)
        self.retired.append(leaf)
        leaf.register(self.platform.store, "draining")
        accepted_at = trio.current_time()
        await trio.sleep(DRAIN_MS / 1_000 + 0.5)
        n_before = sum(leaf.arrivals.values())
        await trio.sleep(1.0)
        late = sum(leaf.arrivals.values()) - n_before
        is_calm = all(at < accepted_at - QUIET for at in self.disturbed_at.values())
        if late and is_calm:
            self.break_promise(f"{late} calls to {leaf.server_id}, which was leaving")

    async def evacuate(self) -> None:
        """Evacuate a data centre for a while, and hold the bound."""
        zone = self.dice.choice(ZONES)
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        self.platform.evacuate(zone)
        accepted_at = trio.current_time()
        await trio.sleep(EVACUATE_MS / 1_000 + 0.5)
        n_before = self.count_arrivals(zone)
        await trio.sleep(1.0)
        late = self.count_arrivals(zone) - n_before
        is_calm = all(at < accepted_at - QUIET for at in self.disturbed_at.values())
        if late and is_calm:
            self.break_promise(f"{late} calls to {zone}, which was evacuated")
        self.platform.end_evacuation(zone)
        self.evacuated.discard(zone)

    def count_arrivals(self, zone: str) -> int:
        """Count what came to the servers of a data centre, of all that ever were."""
        return sum(
            leaf.arrivals.total() for leaf in self.all_leafs() if leaf.zone == zone
        )

    async def change_routes(self) -> None:
        self.write_routes()

    async def signal_reload(self) -> None:
        gateway = self.dice.choice(self.platform.gateways)
        if gateway.process is not None and gateway.process.poll() is None:
            gateway.send(signal.SIGHUP)

    # The end.

    async def check_end(self) -> None:
        """After the faults: routes in force, and nothing run that should not have."""
        started = trio.current_time()
        for gateway in self.platform.gateways:
            await self.check_routes(gateway, started)
        # In the middle of faults most drains are near one, and prove nothing.
        await self.replace_leaf()
        await self.evacuate()
        for attempt in self.bookings:
            n_runs = sum(leaf.runs[attempt] for leaf in self.all_leafs())
            if n_runs > 1:
                self.break_promise(f"booking {attempt} ran {n_runs} times")
        ended_by = {each for leaf in self.all_leafs() for each in leaf.ended_by}
        if len(ended_by) > MAX_DEADLY + self.n_host_harms:
            self.break_promise(f"{len(ended_by)} of {self.n_deadly} ended servers")
        for attempt in self.not_run:
            if any(leaf.runs[attempt] for leaf in self.all_leafs()):
                self.break_promise(f"{attempt} was told as not run, and ran")

    async def check_routes(self, gateway: Gateway, started: float) -> None:
        """Wait for the newest routes on one host; then none may be older."""
        path = f"/v{self.version}/"
        while trio.current_time() < started + APPLY_LIMIT + QUIET:
            try:
                answer = await self.platform.request(gateway, path)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)
                continue
            if answer.status == HTTPStatus.OK:
                break
            await trio.sleep(0.1)
        else:
            self.break_promise(f"{gateway.name} has not version {self.version}")
            return
        again = await self.platform.request(gateway, path)
        if again.status == HTTPStatus.NOT_FOUND:
            self.break_promise(f"{gateway.name} went back behind {self.version}")


async def run_seed(seed: int, tally: Tally) -> int:
    """Play one seed; return the number of requests."""
    with tempfile.TemporaryDirectory() as directory:
        async with open_platform(Path(directory)) as platform:
            proxy = Proxy(target=platform.store_port)
            await platform.nursery.start(proxy.run)
            soak = Soak(seed=seed, platform=platform, proxy=proxy, tally=tally)
            await soak.build()
            n_before = len(tally.broken)
            async with trio.open_nursery() as callers:
                for number in range(N_CALLERS):
                    callers.start_soon(soak.call_for_ever, number)
                callers.start_soon(soak.repeat_deadly)
                await soak.disturb()
                await trio.sleep(QUIET)
                await soak.check_end()
                callers.cancel_scope.cancel()
            if len(tally.broken) > n_before:
                keep_logs(seed, platform)
            return soak.n_requests


def keep_logs(seed: int, platform: Platform) -> None:
    """Copy the hosts' logs of a seed that broke a promise beside this run."""
    target = Path("build") / f"soak-{seed}"
    target.mkdir(parents=True, exist_ok=True)
    for gateway in platform.gateways:
        text = gateway.output_path.read_text()
        (target / gateway.output_path.name).write_text(text)
    print(f"logs of seed {seed}: {target}", flush=True)


def choose_seeds() -> list[int]:
    """Return the seeds of SOAK_SEEDS, or fresh ones."""
    text = os.environ.get("SOAK_SEEDS", "")
    if text.strip():
        return [int(seed) for seed in text.split()]
    fresh = Random(time.time_ns())
    return [fresh.randrange(1, 1_000_000) for _ in range(N_FRESH)]


def main() -> int:
    """Play the seeds one after the other."""
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
        f"broken={len(tally.broken)}"
    )
    return 1 if tally.broken else 0


if __name__ == "__main__":
    sys.exit(main())
