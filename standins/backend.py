"""A stand-in for backend servers, with slots, a short queue and faults on demand."""

from collections import Counter, deque
from dataclasses import asdict, dataclass, replace
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from lavendergap.state.settings import Server

from .draws import Draws
from .faults import BackendFaults, FaultHistory, Load, change_faults
from .fleet import list_servers, parse_address, read_settings
from .http import (
    Connection,
    HttpServer,
    Reply,
    Request,
    accept,
    make_error,
    make_json_reply,
    open_listener,
    serve_connection,
)
from .process import run_process
from .result import Result, read_query
from .spoiling import Spoiler

QUEUE_PER_SLOT = 2
MAX_RUNS_REMEMBERED = 200_000
MAX_QUERIES_REMEMBERED = 200_000
RETRY_AFTER_S = 1
NOT_RUN = ("Outcome", "not-run")
RETRY_AFTER = ("Retry-After", str(RETRY_AFTER_S))
MAX_DEADLINE_MS = 600_000.0


@dataclass(kw_only=True, slots=True)
class Counts:
    """Counters of one backend server since it started."""

    received: int = 0
    run: int = 0
    answered: int = 0
    shed: int = 0
    refused_state: int = 0
    refused_version: int = 0
    refused_shard: int = 0
    late: int = 0
    cancelled: int = 0
    failed: int = 0
    max_in_use: int = 0
    max_queued: int = 0
    connections: int = 0
    max_connections: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    runs_forgotten: int = 0
    queries_forgotten: int = 0


class Call:
    """A call to /search or /run that has not been answered yet."""

    def __init__(
        self, *, request: Request, attempt: str, version: int, deadline: float
    ):
        self.request = request
        self.attempt = attempt
        self.deadline = deadline
        self.shard = request.headers.get("shard", "")
        self.version = version
        self.scope = trio.CancelScope()
        self.is_cancelled = False
        self.has_slot = False

    def cancel(self) -> None:
        """Cancel the call, whether it is queued or in service."""
        self.is_cancelled = True
        self.scope.cancel()

    def assign_slot(self) -> None:
        """Assign a slot to the call and end its wait in the queue."""
        self.has_slot = True
        self.scope.cancel()


class BackendServer:
    """One backend server with its own address, slots and faults."""

    def __init__(self, *, server: Server, faults: BackendFaults, queue_limit: int):
        now = trio.current_time()
        self.server = server
        self.counts = Counts()
        self.runs: Counter[str] = Counter()
        self.queries: Counter[str] = Counter()
        self.history = FaultHistory(faults=faults, now=now)
        self.initial_faults = faults
        self.queue_limit = queue_limit
        self.port = server.address.port
        self._draws = Draws(seed=faults.seed, name=server.name)
        self._in_use = 0
        self._queue: deque[Call] = deque()
        self._calls: dict[str, Call] = {}
        self._connections: set[Connection] = set()
        self._serve_scope = trio.CancelScope()
        self._restart_changed = trio.Event()
        self._cold_since = now
        self._spoiler = Spoiler()
        self._reported_load = self._measure_load()
        self._load_reported_at = now

    @property
    def faults(self) -> BackendFaults:
        """The faults in force."""
        return self.history.faults

    def get_counts(self) -> dict[str, int]:
        """Return the counters, with the current load and the distinct runs of /run."""
        return {
            **asdict(self.counts),
            "in_use": self._in_use,
            "queued": len(self._queue),
            "distinct_runs": len(self.runs),
            "run_twice": sum(1 for n in self.runs.values() if n > 1),
        }

    # Start, crash and restart.

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; stop and restart as the faults `dead` and `crash` say.

        The task's status is the port.
        """
        if self.faults.dead:
            task_status.started(self.port)
            task_status = trio.TASK_STATUS_IGNORED
        while True:
            while self.faults.dead:
                await self._wait_while_dead()
            listener = await open_listener(self.server.address.ip, self.port)
            self.port = listener.socket.getsockname()[1]
            task_status.started(self.port)
            task_status = trio.TASK_STATUS_IGNORED
            self._cold_since = trio.current_time()
            with trio.CancelScope() as self._serve_scope:
                if self.faults.dead:
                    self._serve_scope.cancel()
                await self._serve(listener)

    async def _wait_while_dead(self) -> None:
        """Wait for a change of the faults or for the restart delay."""
        self._restart_changed = trio.Event()
        if self.faults.restart_ms is None:
            await self._restart_changed.wait()
            return
        with trio.move_on_after(self.faults.restart_ms / 1_000) as scope:
            await self._restart_changed.wait()
        if scope.cancelled_caught:
            self.set_faults(replace(self.faults, dead=False, restart_ms=None))

    async def _serve(self, listener: trio.SocketListener) -> None:
        async with listener, trio.open_nursery() as nursery:
            while True:
                stream = await accept(listener)
                self.counts.connections_opened += 1
                if len(self._connections) >= self.server.connections:
                    self.counts.connections_refused += 1
                    await trio.aclose_forcefully(stream)
                    continue
                connection = Connection(stream=stream)
                self._connections.add(connection)
                n_open = len(self._connections)
                self.counts.connections = n_open
                self.counts.max_connections = max(self.counts.max_connections, n_open)
                nursery.start_soon(self._serve_stream, stream, connection)

    async def _serve_stream(
        self, stream: trio.SocketStream, connection: Connection
    ) -> None:
        try:
            if self.faults.connect_ms:
                await trio.sleep(self.faults.connect_ms / 1_000)
            await serve_connection(connection, self.handle)
        finally:
            self._connections.discard(connection)
            self.counts.connections = len(self._connections)
            await trio.aclose_forcefully(stream)

    def set_faults(self, faults: BackendFaults) -> None:
        """Put `faults` in force, and apply `silence` and `dead` to open connections."""
        before = self.faults
        now = trio.current_time()
        if faults.silence:
            self._silence()
        # If it were kept, the next change of any fault would silence connections again.
        self.history.set_faults(replace(faults, silence=False), now)
        if faults.seed != before.seed:
            self._draws = Draws(seed=faults.seed, name=self.server.name)
        if faults.cold_s != before.cold_s:
            self._cold_since = now
        if (faults.dead, faults.restart_ms) != (before.dead, before.restart_ms):
            self._restart_changed.set()
        if faults.dead and not before.dead:
            self._stop_abruptly()

    def _silence(self) -> None:
        for connection in self._connections:
            connection.is_silent = True

    def _stop_abruptly(self) -> None:
        for connection in self._connections:
            connection.reset()
        self._serve_scope.cancel()

    async def _crash(self) -> None:
        self.set_faults(replace(self.faults, crash="no", dead=True))
        await trio.sleep_forever()

    # Requests.

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Answer one request to this server."""
        match request.method, request.path:
            case "POST", "/search" | "/run":
                return await self._handle_call(request, connection)
            case "POST", "/cancel":
                return self._cancel(request)
            case "GET", "/health":
                return make_json_reply(self._report_health())
            case "GET", "/load":
                return make_json_reply(self._report_load())
            case _, "/search" | "/run" | "/cancel" | "/health" | "/load":
                return make_error(405, "This path takes another method.")
        return make_error(404, "There is no such path.")

    def _cancel(self, request: Request) -> Reply:
        call = self._calls.get(request.headers.get("attempt", ""))
        if call is not None and self.faults.cancels:
            call.cancel()
        return Reply(status=204)

    def _report_health(self) -> dict[str, object]:
        at = trio.current_time() - self.faults.health_lag_ms / 1_000
        state: str = self.faults.health_says
        if state == "truth":
            state = self.history.get_state(at)
        return {"state": state, "index_versions": self.history.get_index_versions(at)}

    def _report_load(self) -> Load:
        if self.faults.load_says is not None:
            return self.faults.load_says
        now = trio.current_time()
        if now - self._load_reported_at >= self.faults.load_lag_ms / 1_000:
            self._reported_load = self._measure_load()
            self._load_reported_at = now
        return self._reported_load

    def _measure_load(self) -> Load:
        return Load(
            in_use=self._in_use, slots=self.server.slots, queued=len(self._queue)
        )

    # Calls.

    async def _handle_call(self, request: Request, connection: Connection) -> Reply:
        self.counts.received += 1
        if self.faults.remember_queries:
            self._remember_query(request)
        attempt = request.headers.get("attempt", "")
        if not attempt:
            return make_error(400, "A call needs the header Attempt.")
        try:
            left_ms = float(request.headers.get("deadline-ms", MAX_DEADLINE_MS))
            version = int(request.headers.get("index-version", "0"))
        except ValueError:
            return make_error(400, "Deadline-Ms or Index-Version is not a number.")
        # Negated so that NaN is refused too.
        if not left_ms <= MAX_DEADLINE_MS:
            return make_error(400, f"Deadline-Ms is over {MAX_DEADLINE_MS:.0f}.")
        deadline = trio.current_time() + left_ms / 1_000
        call = Call(
            request=request, attempt=attempt, version=version, deadline=deadline
        )
        reply = self._refuse_on_arrival(call)
        if reply is None:
            reply = await self._queue_call(call, connection)
        # Computed after the call has released its slot.
        load = f"{self._in_use}/{self.server.slots}/{len(self._queue)}"
        return replace(reply, headers=(*reply.headers, ("Load", load)))

    def _remember_query(self, request: Request) -> None:
        query = read_query(request.body) or ""
        if query not in self.queries and len(self.queries) >= MAX_QUERIES_REMEMBERED:
            self.counts.queries_forgotten += 1
            return
        self.queries[query] += 1

    def _refuse_on_arrival(self, call: Call) -> Reply | None:
        faults = self.faults
        if faults.state != "serving":
            self.counts.refused_state += 1
            return self._refuse(call, 503, faults.state, RETRY_AFTER)
        is_full = self._in_use >= self.server.slots
        if faults.shed or (is_full and len(self._queue) >= self.queue_limit):
            self.counts.shed += 1
            return self._refuse(call, 503, "shed", RETRY_AFTER)
        return None

    async def _queue_call(self, call: Call, connection: Connection) -> Reply:
        self._calls[call.attempt] = call
        try:
            return await self._run_in_slot(call, connection)
        finally:
            self._calls.pop(call.attempt, None)

    async def _run_in_slot(self, call: Call, connection: Connection) -> Reply:
        if self._in_use < self.server.slots:
            self._in_use += 1
            call.has_slot = True
        elif not await self._wait_for_slot(call, connection):
            return self._refuse_in_queue(call)
        self.counts.max_in_use = max(self.counts.max_in_use, self._in_use)
        try:
            refusal = self._refuse_at_start(call)
            if refusal is not None:
                return refusal
            return await self._run_call(call, connection)
        finally:
            self._release_slot()

    async def _wait_for_slot(self, call: Call, connection: Connection) -> bool:
        self._queue.append(call)
        self.counts.max_queued = max(self.counts.max_queued, len(self._queue))
        call.scope.deadline = call.deadline
        try:
            with call.scope:
                await connection.wait_for_close()
                call.is_cancelled = True
        except trio.Cancelled:
            # The server crashes. A slot assigned at the same moment is released, or
            # the restarted server would have one slot fewer.
            if call.has_slot:
                self._release_slot()
            raise
        finally:
            if not call.has_slot:
                self._queue.remove(call)
        return call.has_slot

    def _refuse_in_queue(self, call: Call) -> Reply:
        if call.is_cancelled:
            self.counts.cancelled += 1
            return self._refuse(call, 503, "cancelled", RETRY_AFTER)
        self.counts.late += 1
        return self._refuse(call, 408, "deadline passed in the queue")

    def _release_slot(self) -> None:
        if self._queue:
            self._queue.popleft().assign_slot()
        else:
            self._in_use -= 1

    def _refuse_at_start(self, call: Call) -> Reply | None:
        if call.is_cancelled:
            self.counts.cancelled += 1
            return self._refuse(call, 503, "cancelled", RETRY_AFTER)
        if call.deadline <= trio.current_time():
            self.counts.late += 1
            return self._refuse(call, 408, "deadline passed in the queue")
        served = self.history.get_index_versions(trio.current_time())
        call.version = call.version or served[-1]
        if call.version not in served:
            self.counts.refused_version += 1
            return self._refuse(call, 409, "that index version is not served")
        shards = self.faults.shards
        if shards is not None and call.shard not in shards.get(call.version, ()):
            self.counts.refused_shard += 1
            return self._refuse(call, 421, "not my shard")
        return None

    async def _run_call(self, call: Call, connection: Connection) -> Reply:
        if self.faults.crash == "before run":
            await self._crash()
        fails = self._draws.happens(self.faults.http_500)
        if fails and not self.faults.http_500_runs:
            return self._fail(call, "failed before it was run")
        self._count_run(call)
        call.scope = trio.CancelScope()
        with call.scope:
            call.scope.deadline = trio.current_time() + self._draw_service_s()
            await self._wait_service_time(call, connection)
        if call.is_cancelled:
            self.counts.cancelled += 1
            return self._fail(call, "cancelled")
        if self.faults.crash == "after run":
            await self._crash()
        if fails:
            return self._fail(call, "failed after it was run")
        return self._answer(call)

    async def _wait_service_time(self, call: Call, connection: Connection) -> None:
        """Wait until the call's scope ends the wait or the caller disconnects."""
        if not self.faults.cancels:
            await trio.sleep_forever()
        await connection.wait_for_close()
        call.is_cancelled = True

    def _count_run(self, call: Call) -> None:
        self.counts.run += 1
        if call.request.path != "/run":
            return
        key = call.request.headers.get("ticket", call.attempt)
        if key not in self.runs and len(self.runs) >= MAX_RUNS_REMEMBERED:
            self.counts.runs_forgotten += 1
            return
        self.runs[key] += 1

    def _draw_service_s(self) -> float:
        age_s = trio.current_time() - self._cold_since
        return self._draws.draw_service_s(self.faults, age_s)

    # Replies.

    def _refuse(
        self, call: Call, status: int, reason: str, *more: tuple[str, str]
    ) -> Reply:
        headers = (*self._make_headers(call), NOT_RUN, *more)
        return make_error(status, reason, headers=headers)

    def _fail(self, call: Call, reason: str) -> Reply:
        self.counts.failed += 1
        return make_error(500, reason, headers=self._make_headers(call))

    def _make_headers(self, call: Call) -> tuple[tuple[str, str], ...]:
        now = trio.current_time()
        versions = self.history.get_index_versions(now)
        return (
            ("Attempt", call.attempt),
            ("Shard", call.shard),
            ("Index-Version", str(call.version)),
            ("Index-Versions", ",".join(map(str, versions))),
            ("Server-State", self.faults.state),
        )

    def _answer(self, call: Call) -> Reply:
        self.counts.answered += 1
        faults = self.faults
        request = call.request
        result = Result(
            shard=call.shard,
            version=call.version,
            server=self.server.name,
            query=read_query(request.body),
            length=len(request.body),
        )
        if self._draws.happens(faults.wrong_shard):
            call.shard = f"not-{call.shard}"
        if self._draws.happens(faults.wrong_version):
            call.version += 1
        if self._draws.happens(faults.wrong_attempt):
            call.attempt = f"not-{call.attempt}"
        reply = make_json_reply(result, headers=self._make_headers(call))
        return self._spoiler.spoil(reply, faults, self._draws)


class Fleet:
    """The backend servers of one process; handles requests to their control port."""

    def __init__(self, *, servers: tuple[BackendServer, ...]):
        self.servers = servers

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Answer one request to the control port."""
        match request.method, request.path:
            case "GET", "/faults":
                return make_json_reply(
                    {s.server.name: asdict(s.faults) for s in self.servers}
                )
            case "POST", "/faults":
                return self._set_faults(request.body)
            case "POST", "/faults/clear":
                for server in self.servers:
                    server.set_faults(server.initial_faults)
                return make_json_reply({})
            case "GET", "/counts":
                return make_json_reply(
                    {s.server.name: s.get_counts() for s in self.servers}
                )
            case "GET", "/runs":
                return make_json_reply({s.server.name: s.runs for s in self.servers})
            case "GET", "/queries":
                return make_json_reply({s.server.name: s.queries for s in self.servers})
        return make_error(404, "There is no such path.")

    def _set_faults(self, body: bytes) -> Reply:
        try:
            changes = self._read_changes(body)
        except ValueError as error:
            return make_error(400, str(error))
        for server, faults in changes:
            server.set_faults(faults)
        return make_json_reply({"changed": [s.server.name for s, _ in changes]})

    def _read_changes(self, body: bytes) -> list[tuple[BackendServer, BackendFaults]]:
        by_pattern = msgspec.json.decode(body, type=dict[str, dict[str, Any]])
        changes: dict[BackendServer, BackendFaults] = {}
        for pattern, change in by_pattern.items():
            matching = [s for s in self.servers if fnmatchcase(s.server.name, pattern)]
            if not matching:
                raise ValueError(f"no backend server here matches {pattern!r}")
            for server in matching:
                before = changes.get(server, server.faults)
                changes[server] = change_faults(before, change)
        return list(changes.items())


def make_fleet(
    servers: tuple[Server, ...], *, faults: BackendFaults, queue_per_slot: int
) -> Fleet:
    """Make stand-ins for `servers`; each queues `queue_per_slot` calls per slot."""
    return Fleet(
        servers=tuple(
            BackendServer(server=s, faults=faults, queue_limit=s.slots * queue_per_slot)
            for s in servers
        )
    )


@click.command()
@click.option("--settings", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--only", multiple=True, default=("*",), help="Name pattern; repeatable.")
@click.option("--control", required=True, help="IP:PORT of the control port.")
@click.option("--service-ms", type=float, default=5.0, show_default=True)
@click.option("--queue-per-slot", type=int, default=QUEUE_PER_SLOT, show_default=True)
def main(
    settings: Path,
    only: tuple[str, ...],
    control: str,
    service_ms: float,
    queue_per_slot: int,
) -> None:
    """Serve the backend servers of a settings file whose names match --only."""
    servers = list_servers(read_settings(settings), only)
    address = parse_address(control)
    faults = BackendFaults(service_ms=service_ms)

    async def start(nursery: trio.Nursery) -> None:
        fleet = make_fleet(servers, faults=faults, queue_per_slot=queue_per_slot)
        for server in fleet.servers:
            await nursery.start(server.run)
        port = HttpServer(ip=address.ip, port=address.port, handle=fleet.handle)
        await nursery.start(port.run)

    run_process(start)


if __name__ == "__main__":
    main()
