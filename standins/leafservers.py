"""Stand-ins for the users' platform's backend servers, which register in its store."""

import itertools
import secrets
from collections import Counter, deque
from dataclasses import dataclass, field

import trio

from .customers import CUSTOMER_HEADER, ReceivedRequest, contains_key
from .http import Connection, HttpServer, Reply, Request
from .objectstore import ObjectStore

SERVERS = "servers"
RECORD_BYTES = 16
N_RECORDS = 60
MAX_RECEIVED = 10_000


def make_server_id() -> str:
    """Return a random id for one incarnation of a server."""
    return f"i-{secrets.token_hex(5)}"


@dataclass(kw_only=True, slots=True)
class LeafFaults:
    """The faults of one server.

    `work_s` is the service time. A server that `refuses` runs no request, nor does one
    that `refuses_first` at its first sight of a request; one that `fails` answers 500,
    and one that `resets_connections` resets the connection instead of answering. Each
    answer is sent `n_copies` times. With `repeats_refusals`, each refusal is sent again
    when the next request arrives. `odd_headers` are added to each answer, and `endless`
    is the kind of bytes without end that is sent in its place.
    """

    work_s: float = 0.005
    refuses: bool = False
    refuses_first: bool = False
    repeats_refusals: bool = False
    fails: bool = False
    resets_connections: bool = False
    n_copies: int = 1
    odd_headers: tuple[tuple[str, str], ...] = ()
    endless: str = ""


@dataclass(kw_only=True)
class Leaf:
    """A server that refuses requests meant for another incarnation of it.

    `arrivals` counts how often each attempt was received, `runs` how often each was
    started, and `n_abandoned` the requests whose connection closed while they ran.
    `late_arrivals` counts the requests received after the time `drained_at`. `received`
    holds the last requests with their customers, and whether a key reached the server.

    A request for the path `crash_path` crashes the server `crash_delay_s` seconds after
    it was started; the server restarts with another id after `restart_delay_s`.
    `crashed_by` lists the attempts that crashed it, and `previous_ids` its previous
    ids.
    """

    service: str
    zone: str
    slots: int = 2
    state: str = "ready"
    server_id: str = field(default_factory=make_server_id)
    faults: LeafFaults = field(default_factory=LeafFaults)
    runs: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)
    received: deque[ReceivedRequest] = field(
        default_factory=lambda: deque(maxlen=MAX_RECEIVED)
    )
    late_arrivals: int = 0
    n_abandoned: int = 0
    drained_at: float | None = None
    address: str = ""
    n_running: int = 0
    crash_path: str = ""
    crash_delay_s: float = 0.0
    restart_delay_s: float = 1.0
    crashed_by: list[str] = field(default_factory=list)
    previous_ids: list[str] = field(default_factory=list)
    serve_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    server: HttpServer = field(init=False)

    async def run(
        self,
        store: ObjectStore,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Register in `store` and serve until cancelled, restarting after crashes."""
        is_first = True
        while True:
            self.serve_scope = trio.CancelScope()
            with self.serve_scope:
                async with trio.open_nursery() as nursery:
                    self.server = HttpServer(ip="127.0.0.1", port=0, handle=self.handle)
                    port = await nursery.start(self.server.run)
                    self.address = f"127.0.0.1:{port}"
                    self.register(store, "ready")
                    if is_first:
                        task_status.started()
                        is_first = False
            await trio.sleep(self.restart_delay_s)
            store.remove(SERVERS, self.server_id)
            self.previous_ids.append(self.server_id)
            self.server_id = make_server_id()

    def register(self, store: ObjectStore, state: str) -> None:
        """Write the server's entry to the store with `state`."""
        self.state = state
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "seq_no": 1,
        }
        store.put(SERVERS, self.server_id, entry)

    def register_again(self, store: ObjectStore) -> None:
        """Write the entry again, as after a restore of the store, if it serves."""
        if not self.serve_scope.cancel_called:
            self.register(store, self.state)

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        """Answer one request, with the faults in force."""
        attempt = request.headers.get("lavendergap-attempt-id", "")
        self.arrivals[attempt] += 1
        if self.drained_at is not None and trio.current_time() > self.drained_at:
            self.late_arrivals += 1
        expected = request.headers.get("lavendergap-expected-instance")
        echo = ("Lavendergap-Attempt-Id", attempt)
        if expected not in (None, self.server_id):
            self._record(attempt, request, is_run=False)
            own_id = ("Lavendergap-Instance-Id", self.server_id)
            return Reply(status=421, headers=(echo, own_id))
        faults = self.faults
        is_refused = faults.refuses or self.n_running >= 2 * self.slots
        if is_refused or (faults.refuses_first and self.arrivals[attempt] == 1):
            self._record(attempt, request, is_run=False)
            mark = ("Lavendergap-Not-Executed", "1")
            return Reply(
                status=503, headers=(echo, mark), is_repeated=faults.repeats_refusals
            )
        self._record(attempt, request, is_run=True)
        return await self._work(attempt, request, connection)

    def _record(self, attempt: str, request: Request, *, is_run: bool) -> None:
        self.received.append(
            ReceivedRequest(
                at=trio.current_time(),
                attempt=attempt,
                customer=request.headers.get(CUSTOMER_HEADER.lower(), ""),
                has_key=contains_key(request),
                is_run=is_run,
            )
        )

    async def _work(
        self, attempt: str, request: Request, connection: Connection
    ) -> Reply | None:
        self.runs[attempt] += 1
        if request.path == self.crash_path:
            await trio.sleep(self.crash_delay_s)
            self.crashed_by.append(attempt)
            self.server.close_port()
            self.serve_scope.cancel()
        self.n_running += 1
        try:
            with trio.move_on_after(self.faults.work_s):
                await connection.wait_for_close()
                self.n_abandoned += 1
                return None
        finally:
            self.n_running -= 1
        if self.faults.resets_connections:
            connection.reset()
            return None
        headers = (
            ("Lavendergap-Attempt-Id", attempt),
            ("Lavendergap-Server-Stamp", f"{self.server_id}.{attempt}"),
            ("Lavendergap-Server-Load", f"{self.n_running},0,{self.slots}"),
            *self.faults.odd_headers,
        )
        if self.faults.fails:
            return Reply(status=500, headers=headers)
        return Reply(
            status=200,
            headers=headers,
            body=make_answer_body(self.service, attempt, request.body),
            n_copies=self.faults.n_copies,
            endless=self.faults.endless,
        )


def make_answer_body(service: str, attempt: str, body: bytes) -> bytes:
    """Return the answer to a request, the same from every server of `service`."""
    head = f"{service}:{attempt}".encode()
    records = (
        bytes([index * 4 % 251]) + head[-(RECORD_BYTES - 2) :].rjust(15, b"-")
        for index in itertools.islice(itertools.count(1), N_RECORDS)
    )
    return b"".join(records) + body
