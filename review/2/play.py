"""Two servers are full at times; one of them sends some of its answers twice."""

import asyncio
import sys
import time
from collections import Counter, deque
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    Leaf,
    Request,
    Rig,
    ask,
    has_trouble,
    make_reply,
    make_request,
    make_route,
    read_request,
    run_case,
)

ZONES = ["ptl-a", "ptl-b", "sea-a", "sea-b", "sea-a", "sea-b"]
N_CALLERS = (6, 2, 2, 2, 2, 2)  # at each gateway; the balancer's shares are uneven
PLAY_S = 30.0
SETTLE_S = 1.0
DEADLINE_MS = 1_500
SLOTS = 4
N_QUEUED = 2
WORK_S = 0.02
# Like `garble` with `how = "extra late"` in the site file: share 0.6, x 0.03, 5 s.
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0
EXTRA_EVERY_S = 7.0
NOT_RUN = (408, 421, 429, 503)


class Server:
    """A backend server with slots and a short queue that rejects what is beyond.

    If it `doubles`, some rejections are sent again, late: on the same connection, where
    the answer to the next request is due.
    """

    def __init__(self, rig: Rig, server_id: str, *, doubles: bool) -> None:
        self._record = rig.record
        self._server_id = server_id
        self._doubles = doubles
        self._n_answers_due = 0
        self._started = time.monotonic()
        self._n_held = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self.runs: Counter[str] = Counter()
        self.n_extra = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late: deque[bytes] = deque()
        while (request := await read_request(reader)) is not None:
            await reader.readexactly(request.length)
            while late:
                writer.write(late.popleft())
            reply = await self._answer(request, reader)
            writer.write(reply)
            await writer.drain()
            if self._is_doubled(reply):
                self.n_extra += 1
                late.append(reply)
                self._write("answer doubled", request)

    def _is_doubled(self, reply: bytes) -> bool:
        is_due = (time.monotonic() - self._started) % EXTRA_EVERY_S < EXTRA_FOR_S
        if not (has_trouble() and self._doubles and is_due):
            return False
        self._n_answers_due += 1
        is_rejection = reply.startswith(b"HTTP/1.1 503")
        return is_rejection and self.n_extra + 1 <= EXTRA_SHARE * self._n_answers_due

    async def _answer(self, request: Request, reader: asyncio.StreamReader) -> bytes:
        head = {
            "Lavendergap-Attempt-Id": request.attempt,
            "Lavendergap-Server-Stamp": f"{self._server_id}.{request.attempt}",
        }
        expected = request.headers.get("lavendergap-expected-instance")
        if expected != self._server_id:
            return make_reply(421, head | {"Lavendergap-Not-Executed": "1"})
        if self._n_held >= SLOTS + N_QUEUED:
            self._write("rejected", request)
            load = {"Lavendergap-Server-Load": f"{SLOTS},{N_QUEUED},{SLOTS}"}
            return make_reply(503, head | load | {"Lavendergap-Not-Executed": "1"})
        self._n_held += 1
        try:
            async with self._slots:
                if reader.at_eof():
                    self._write("dropped", request)
                    raise ConnectionResetError
                self.runs[request.attempt] += 1
                self._write("run", request)
                await asyncio.sleep(WORK_S)
        finally:
            self._n_held -= 1
        running = min(SLOTS, self._n_held)
        load = f"{running},{self._n_held - running},{SLOTS}"
        return make_reply(
            200,
            head | {"Lavendergap-Server-Load": load},
            b"billed " + request.attempt.encode(),
        )

    def _write(self, event: str, request: Request) -> None:
        self._record.write(event, server=self._server_id, attempt=request.attempt)


async def play(rig: Rig) -> bool:
    """Send billing requests; return whether one ran twice, or ran and was refused."""
    servers = []
    for index, doubles in enumerate((True, False)):
        server = Server(rig, f"i-{index}b7d24", doubles=doubles)
        servers.append(server)
        leaf = Leaf(
            server_id=f"i-{index}b7d24",
            service="ledger",
            zone=ZONES[index],
            slots=SLOTS,
            serve=server.serve,
        )
        await leaf.start(rig.store)
    billing = make_route("billing", type="non_idempotent", service="ledger", attempts=1)
    rig.write_manifest([billing], ["ledger"])
    await rig.start_gateways(ZONES)
    statuses: dict[str, int] = {}
    until = time.monotonic() + PLAY_S

    def list_run_twice() -> list[str]:
        runs = servers[0].runs + servers[1].runs
        return sorted(attempt for attempt, count in runs.items() if count > 1)

    def list_untrue_refusals() -> list[str]:
        runs = servers[0].runs + servers[1].runs
        refused = (a for a, status in statuses.items() if status in NOT_RUN)
        return sorted(attempt for attempt in refused if runs[attempt])

    async def call(gateway_index: int, caller: int) -> None:
        gateway = rig.gateways[gateway_index]
        number = 0
        while time.monotonic() < until:
            attempt = f"b{gateway_index}{caller}{number:05d}"
            number += 1
            data = make_request(
                f"/billing/{attempt}", attempt, deadline_ms=DEADLINE_MS, body=b"{}"
            )
            answer = await ask(gateway, data, limit_s=4.0)
            statuses[attempt] = answer.status
            rig.record.write("answer", attempt=attempt, status=answer.status)
            if answer.status in NOT_RUN:
                pause = float(answer.headers.get("retry-after", "0"))
                await asyncio.sleep(min(pause, DEADLINE_MS / 3_000))

    async def stop_when_broken() -> None:
        nonlocal until
        while time.monotonic() < until:
            await asyncio.sleep(SETTLE_S)
            if list_run_twice() or list_untrue_refusals():
                until = time.monotonic()

    async with asyncio.TaskGroup() as group:
        group.create_task(stop_when_broken())
        for gateway_index in range(len(ZONES)):
            for caller in range(N_CALLERS[gateway_index]):
                group.create_task(call(gateway_index, caller))
    await asyncio.sleep(SETTLE_S)
    twice, untrue = list_run_twice(), list_untrue_refusals()
    rig.record.write(
        "result",
        n_sent=len(statuses),
        n_doubled_answers=servers[0].n_extra,
        run_twice=twice,
        refused_but_run=untrue,
        statuses=dict(Counter(statuses.values())),
    )
    return bool(twice or untrue)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
