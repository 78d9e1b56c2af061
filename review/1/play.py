"""A server rejects some long requests before it has read their bodies."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    Answer,
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

ROUND_S = 0.1
N_ROUNDS = 180
LOOKUPS_PER_ROUND = 2
# Long requests come in pairs, from this round on and each third round.
FIRST_LONG_ROUND = 75
LONG_EVERY = 3
LONG_PER_ROUND = 2
BODY_BYTES = 260_000  # `max_body_bytes` of the manifest is 262,144
# Like `garble` with `how = "early"`: half of the servers, 2 in 100 of their answers.
MAX_REJECTED_SHARE = 0.02
DECIDE_S = 0.02
READ_LATER_S = 1.0
READ_BYTES = 4_096
READ_PAUSE_S = 0.002
WORK_S = 0.03


def make_body(attempt: str) -> bytes:
    """Return the body of a request, which only its attempt determines."""
    line = f"{attempt}.".encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


class Server:
    """A backend server that may reject a long request before it has read it."""

    def __init__(self, rig: Rig, server_id: str, *, rejects: bool) -> None:
        self._record = rig.record
        self._server_id = server_id
        self._rejects = rejects
        self._n_answers = 0
        self.n_rejected = 0
        self.n_foreign = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self._n_answers += 1
            if self._is_rejected(request):
                await self._reject(request, reader, writer)
                continue
            body = await reader.readexactly(request.length)
            if request.headers.get("lavendergap-expected-instance") != self._server_id:
                writer.write(make_reply(421, self._head(request)))
                continue
            is_whole = body == (make_body(request.attempt) if request.length else b"")
            self._write("run", request, is_whole=is_whole)
            self.n_foreign += not is_whole
            await asyncio.sleep(WORK_S)
            writer.write(make_reply(200, self._head(request), body[:32]))
            await writer.drain()

    def _is_rejected(self, request: Request) -> bool:
        is_long = request.length == BODY_BYTES
        n_allowed = MAX_REJECTED_SHARE * self._n_answers
        return self._rejects and is_long and self.n_rejected + 1 <= n_allowed

    async def _reject(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.n_rejected += 1
        head = self._head(request) | {"Lavendergap-Not-Executed": "1"}
        await asyncio.sleep(DECIDE_S)
        if has_trouble():
            self._write("rejected before its body", request)
            writer.write(make_reply(503, head))
            await writer.drain()
            await asyncio.sleep(READ_LATER_S)
            await self._read_rest(request, reader)
        else:
            await self._read_rest(request, reader)
            self._write("rejected after its body", request)
            writer.write(make_reply(503, head))
            await writer.drain()

    async def _read_rest(self, request: Request, reader: asyncio.StreamReader) -> None:
        """Read the body of a rejected request; the end of the connection is fine."""
        expected = make_body(request.attempt)
        n_read = 0
        while n_read < request.length:
            await asyncio.sleep(READ_PAUSE_S)
            data = await reader.read(min(READ_BYTES, request.length - n_read))
            if not data:
                self._write("end of the connection", request, n_read=n_read)
                return
            due = expected[n_read : n_read + len(data)]
            if data != due:
                at = next(i for i, byte in enumerate(data) if byte != due[i])
                found = data[at : at + 160].decode("latin-1")
                self._write("other bytes", request, at_byte=n_read + at, found=found)
                self.n_foreign += 1
                raise ConnectionResetError
            n_read += len(data)
        self._write("read the rest", request, n_read=n_read)

    def _head(self, request: Request) -> dict[str, str]:
        return {
            "Lavendergap-Attempt-Id": request.attempt,
            "Lavendergap-Server-Stamp": f"{self._server_id}.{request.attempt}",
            "Lavendergap-Server-Load": "1,0,2",
        }

    def _write(self, event: str, request: Request, **fields: object) -> None:
        self._record.write(
            event, server=self._server_id, attempt=request.attempt, **fields
        )


async def play(rig: Rig) -> bool:
    """Return whether a server got bytes that nobody sent, or the gateway crashed."""
    servers = []
    for index, rejects in enumerate((True, False)):
        server = Server(rig, f"i-{index}a5c3e", rejects=rejects)
        servers.append(server)
        leaf = Leaf(
            server_id=f"i-{index}a5c3e",
            service="ledger",
            zone="ptl-a",
            slots=2,
            serve=server.serve,
        )
        await leaf.start(rig.store, has_small_window=True)
    billing = make_route("billing", type="non_idempotent", service="ledger")
    rig.write_manifest([billing, make_route("lookup", service="ledger")], ["ledger"])
    await rig.start_gateways(["ptl-a", "ptl-b"])
    gateway = rig.gateways[0]  # The balancer sends callers to one of their zone.

    async def send(attempt: str) -> Answer:
        is_long = attempt.startswith("long")
        body = make_body(attempt) if is_long else None
        path = f"/{'billing' if is_long else 'lookup'}/{attempt}"
        data = make_request(path, attempt, deadline_ms=2_000, body=body)
        answer = await ask(gateway, data, limit_s=4.0)
        rig.record.write("answer", attempt=attempt, status=answer.status)
        return answer

    def is_broken() -> bool:
        has_ended = gateway.process is None or gateway.process.poll() is not None
        return has_ended or any(server.n_foreign for server in servers)

    tasks = []
    for number in range(N_ROUNDS):
        attempts = [f"look{number:04d}{index}" for index in range(LOOKUPS_PER_ROUND)]
        if number >= FIRST_LONG_ROUND and number % LONG_EVERY == 0:
            attempts += [f"long{number:04d}{index}" for index in range(LONG_PER_ROUND)]
        tasks += [asyncio.create_task(send(attempt)) for attempt in attempts]
        await asyncio.sleep(ROUND_S)
        if is_broken():
            break
    answers = await asyncio.gather(*tasks)
    rig.record.write(
        "result",
        n_sent=len(answers),
        n_answered=sum(answer.status == 200 for answer in answers),
        n_rejected=sum(server.n_rejected for server in servers),
        n_foreign=sum(server.n_foreign for server in servers),
        gateway_exit_code=gateway.process.poll() if gateway.process else None,
    )
    return is_broken()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
