"""Case 4: a server spoils a few of its answers, and gateways end by themselves."""

import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import h11
import trio

from lab.gateways import read_answer
from review import rig_2 as rig
from standins.http import Connection, Reply, Request
from standins.leafservers import Leaf, LeafFaults

SETTLE_S = 6.0
WORK_S = 0.1
SPOILED_SHARE = 0.04
SPOILED_FOR_S = 5.5
N_CONNECTIONS = 8
PAUSE_S = 0.05
RESTART_S = 0.3
DEADLINE_MS = 1_500
# The repeated digits of a spoiled answer.
SPOILED = "timeout=" + 400 * "9"
N_EXCUSED = 3


class SpoilingLeaf(Leaf):
    """A server that spoils a share of its answers while `is_spoiling` is set."""

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.is_spoiling = False
        self.n_spoiled = 0
        self.rng = Random(7)

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        reply = await super().handle(request, connection)
        if reply is None or not self.is_spoiling:
            return reply
        if self.rng.random() >= SPOILED_SHARE:
            return reply
        self.n_spoiled += 1
        return replace(reply, headers=(*reply.headers, ("Keep-Alive", SPOILED)))


@dataclass
class Sent:
    """A request over a connection, and its status if it was answered."""

    machine: str
    attempt: str
    is_kept: bool
    status: int | None = None
    is_cut: bool = False


async def play(record: Callable[[str], None]) -> str:
    async with rig.open_site(record) as site:
        options = {"service": "desk", "slots": 16, "faults": LeafFaults(work_s=WORK_S)}
        spoiling = SpoilingLeaf(zone="ptl-a", **options)
        sound = [Leaf(zone=zone, **options) for zone in ("ptl-a", "ptl-b", "ptl-b")]
        for leaf in (spoiling, *sound):
            await site.add_leaf(leaf)
        route = rig.make_route("/one/", "desk", timeout_ms=2_000, type="non_idempotent")
        site.write_manifest(3, [route])
        for zone in ("ptl-a", "ptl-a", "ptl-b"):
            site.add_machine(zone)
        await site.wait_ready()
        await trio.sleep(SETTLE_S)
        ends: Counter[str] = Counter()
        requests: list[Sent] = []
        with trio.move_on_after(SPOILED_FOR_S + 3.0):
            async with trio.open_nursery() as nursery:
                for machine in site.machines:
                    nursery.start_soon(_supervise, machine, ends, record)
                    for _ in range(N_CONNECTIONS):
                        nursery.start_soon(_call, site, machine, requests)
                await trio.sleep(1.0)
                spoiling.is_spoiling = rig.IS_TROUBLED
                record(f"{trio.current_time():.3f} spoils: {spoiling.is_spoiling}")
                await trio.sleep(SPOILED_FOR_S)
                spoiling.is_spoiling = False
        for sent in requests:
            answer = "cut" if sent.is_cut else sent.status
            record(f"sent {sent.attempt} kept {sent.is_kept} -> {answer}")
        ran_by_sound = {attempt for leaf in sound for attempt in leaf.runs}
        lost = [
            sent
            for sent in requests
            if sent.is_kept and sent.is_cut and sent.attempt in ran_by_sound
        ]
        record(f"spoiled {spoiling.n_spoiled}, ends {dict(ends)}, lost {len(lost)}")
        if ends or len(lost) > N_EXCUSED:
            return (
                f"processes ended by themselves {ends.total()} times after "
                f"{spoiling.n_spoiled} spoiled answers; {len(lost)} requests that "
                "sound servers ran got no answer"
            )
        return ""


async def _supervise(
    machine: rig.Machine, ends: Counter[str], record: Callable[[str], None]
) -> None:
    """Start the process again when it has ended, as the platform does."""
    while True:
        await trio.sleep(0.02)
        if machine.has_ended():
            ends[machine.name] += 1
            code = machine.process.poll() if machine.process else None
            record(f"{trio.current_time():.3f} {machine.name} ended, exit code {code}")
            await trio.sleep(RESTART_S)
            machine.start()


async def _call(site: rig.Site, machine: rig.Machine, requests: list[Sent]) -> None:
    """Send requests over a kept connection, over a new one when it was closed."""
    while True:
        try:
            stream = await trio.open_tcp_stream(machine.ip, machine.ports[0])
            async with stream:
                await _use(site, machine, stream, requests)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            await trio.sleep(PAUSE_S)


async def _use(
    site: rig.Site,
    machine: rig.Machine,
    stream: trio.SocketStream,
    requests: list[Sent],
) -> None:
    http = h11.Connection(h11.CLIENT)
    is_kept = False
    while True:
        site.n_sent += 1
        attempt = f"{machine.name}.{site.n_sent}"
        sent = Sent(machine=machine.name, attempt=attempt, is_kept=is_kept)
        requests.append(sent)
        headers = [
            ("Host", rig.CALLER_HOST),
            ("Lavendergap-Attempt-Id", attempt),
            ("Lavendergap-Deadline-Ms", str(DEADLINE_MS)),
            ("Content-Length", "2"),
        ]
        request = h11.Request(method="POST", target="/one/x", headers=headers)
        data = http.send(request) or b""
        data += http.send(h11.Data(data=b"{}")) or b""
        data += http.send(h11.EndOfMessage()) or b""
        try:
            await stream.send_all(data)
            answer = await read_answer(stream, http)
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            sent.is_cut = True
            raise
        sent.status = answer.status
        if answer.get("connection") == "close":
            return
        http.start_next_cycle()
        is_kept = True
        await trio.sleep(PAUSE_S)


if __name__ == "__main__":
    sys.exit(rig.run_case(__file__, play))
