"""A machine is stopped as planned while callers use their open connections."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    Gateway,
    Leaf,
    Rig,
    has_trouble,
    make_reply,
    make_request,
    make_route,
    read_answer,
    read_request,
    run_case,
)

N_CALLERS = 96
# Idle connections are reused for up to four fifths of `idle_timeout_ms`, which is 15 s.
PAUSES_S = (3.0, 6.0)
WORK_S = 0.8
DEADLINE_MS = 2_000
STOP_AT_S = 8.0
PLAY_S = 22.0
GRACE_S = 6.0
EXCUSED_UNTIL_S = 3.0


class Server:
    """A sound backend server; `runs` has the attempts that it has begun to work on."""

    def __init__(self, rig: Rig, server_id: str) -> None:
        self._record = rig.record
        self._server_id = server_id
        self.runs: set[str] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            await reader.readexactly(request.length)
            self.runs.add(request.attempt)
            self._record.write("run", server=self._server_id, attempt=request.attempt)
            await asyncio.sleep(WORK_S)
            head = {
                "Lavendergap-Attempt-Id": request.attempt,
                "Lavendergap-Server-Stamp": f"{self._server_id}.{request.attempt}",
                "Lavendergap-Server-Load": "1,0,16",
            }
            writer.write(make_reply(200, head, b"billed"))
            await writer.drain()


class Caller:
    """A caller that keeps its connection until an answer says that it is closed."""

    def __init__(self, rig: Rig, index: int) -> None:
        self._rig = rig
        self._index = index
        self._random = random.Random(index)
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[str, int] = {}

    async def run(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, PAUSES_S[1]))
        number = 0
        gateway = self._rig.gateways[0]
        while True:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports[0])
            is_kept = True
            while is_kept:
                attempt = f"s{self._index:02d}{number:05d}"
                number += 1
                data = make_request(
                    f"/billing/{attempt}", attempt, deadline_ms=DEADLINE_MS, body=b"{}"
                )
                self.sent_at[attempt] = time.monotonic()
                try:
                    writer.write(data)
                    answer = await read_answer(reader)
                    status = answer.status
                except ConnectionError:
                    status = 0
                self.statuses[attempt] = status
                self._rig.record.write("answer", attempt=attempt, status=status)
                is_kept = status > 0 and answer.headers.get("connection") != "close"
                await asyncio.sleep(self._random.uniform(*PAUSES_S))
            writer.close()
            # The balancer has taken a machine that is stopping out of rotation.
            gateway = self._rig.gateways[1]


async def play(rig: Rig) -> bool:
    """Return whether the stop cut a request that a server was working on."""
    servers = []
    for index, zone in enumerate(("ptl-a", "ptl-b")):
        server = Server(rig, f"i-{index}c9e01")
        servers.append(server)
        leaf = Leaf(
            server_id=f"i-{index}c9e01",
            service="ledger",
            zone=zone,
            slots=16,
            serve=server.serve,
        )
        await leaf.start(rig.store)
    billing = make_route("billing", type="non_idempotent", service="ledger")
    rig.write_manifest([billing], ["ledger"])
    await rig.start_gateways(["ptl-a", "ptl-a"])
    callers = [Caller(rig, index) for index in range(N_CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(STOP_AT_S)
    stopped_at = time.monotonic()
    if has_trouble():
        rig.gateways[0].send(signal.SIGTERM)
        rig.record.write("SIGTERM", name=rig.gateways[0].name)
        rig.record.write("ended", **await wait_for_end(rig.gateways[0], stopped_at))
    await asyncio.sleep(PLAY_S - STOP_AT_S)
    for task in tasks:
        task.cancel()
    runs = servers[0].runs | servers[1].runs
    cut = []
    for caller in callers:
        for attempt, status in caller.statuses.items():
            after = round(caller.sent_at[attempt] - stopped_at, 3)
            if status == 0 and attempt in runs:
                cut.append({"attempt": attempt, "sent_after_s": after})
    counted = [each for each in cut if each["sent_after_s"] > EXCUSED_UNTIL_S]
    rig.record.write("result", n_cut=len(cut), counted=counted)
    return bool(counted)


async def wait_for_end(gateway: Gateway, stopped_at: float) -> dict[str, object]:
    """Kill the process after the grace time, as the platform does."""
    assert gateway.process is not None
    was_killed = False
    while gateway.process.poll() is None:
        await asyncio.sleep(0.02)
        if time.monotonic() > stopped_at + GRACE_S:
            was_killed = True
            gateway.kill()
    after = round(time.monotonic() - stopped_at, 3)
    return {"after_s": after, "was_killed": was_killed}


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
