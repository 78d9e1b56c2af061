"""Connections to one backend server: opened, reused, accounted for and distrusted.

Each connection is a single `httpcore.AsyncHTTPConnection` held here by accounting of
our own; a pool shared by all servers spends more on its bookkeeping with each
connection that it holds (see docs/design/connections.md).
"""

import logging
from dataclasses import dataclass

import httpcore
import msgspec
import trio

from .. import metrics
from ..coordination.calls import Call, ServerReport, ServerState
from ..protocol.leaf import Headers, Reply, Verdict, build_headers, judge_reply
from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Server

logger = logging.getLogger("lavendergap.connections")

CONNECT_LIMIT = 0.5
CLOSE_LIMIT = 1.0
MAX_ANSWER_BYTES = 1024 * 1024
PROBE_LIMIT = 0.5
# A request that must not run twice is sent only on a connection that carried an
# answer this recently, since on a stale one it would end as unknown.
TRUSTED_IDLE = 1.0


@dataclass(slots=True, kw_only=True)
class Connection:
    """An open connection and when it last carried a whole answer."""

    http: httpcore.AsyncHTTPConnection
    answered_at: float


class HealthBody(msgspec.Struct):
    """What GET /health answers."""

    state: ServerState
    index_versions: list[int] = []


class BackendClient:
    """All connections of this process to one backend server.

    `call` never raises for what the server or the network does; it returns a
    `Verdict`. `idle_limit` is how long, in seconds, an idle connection is kept.
    """

    def __init__(self, *, server: Server, idle_limit: float) -> None:
        self.server = server
        self.n_open = 0
        self._idle_limit = idle_limit
        self._idle: list[Connection] = []
        self._distrusted: list[Connection] = []
        self._origin = httpcore.Origin(
            b"http", server.address.ip.encode(), server.address.port
        )
        self._host = str(server.address).encode()
        self._search = self._make_url(b"/search")
        self._run = self._make_url(b"/run")
        self._health = self._make_url(b"/health")

    def _make_url(self, target: bytes) -> httpcore.URL:
        return httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=target,
        )

    async def call(self, call: Call, *, attempt: bytes, fresh: bool) -> Verdict:
        """Make one attempt at `call`, within its deadline.

        A reused connection gets half of the time left: something between the ends
        may have lost track of it, and then nothing ever arrives. The other half
        remains for a retry over a fresh one.
        """
        now = trio.current_time()
        left = call.deadline - now
        if left <= 0:
            return self._refuse(Step.QUEUE, Reason.DEADLINE)
        connection = None if fresh else self._take_idle(call, now=now)
        reused = connection is not None
        if connection is None:
            if self.n_open >= self.server.connections:
                return self._refuse(Step.CONNECT, Reason.OVERLOADED)
            connection = self._open(now)
        headers = build_headers(
            call, attempt=attempt, host=self._host, left_ms=max(1, int(left * 1_000))
        )
        url = self._search if call.idempotent else self._run
        limit = left / 2 if reused and call.idempotent else left
        result = await self._exchange(
            connection, b"POST", url, headers, call.body, limit=limit, reused=reused
        )
        if isinstance(result, Reply):
            return judge_reply(result, call, attempt=attempt, server=self.server.name)
        return Verdict(outcome=result, report=None)

    async def probe(self) -> ServerReport | None:
        """Ask the health endpoint over a fresh connection; None without an answer.

        Fresh, so that a silent old connection is not mistaken for a silent server.
        """
        if self.n_open >= self.server.connections:
            return None
        connection = self._open(trio.current_time())
        headers = [(b"Host", self._host), (b"Connection", b"close")]
        result = await self._exchange(
            connection,
            b"GET",
            self._health,
            headers,
            b"",
            limit=PROBE_LIMIT,
            reused=False,
        )
        if not isinstance(result, Reply) or result.status != 200:
            return None
        return _read_health(result.body)

    def _refuse(self, step: Step, reason: Reason) -> Verdict:
        outcome = NotRun(step=step, peer=self.server.name, reason=reason)
        return Verdict(outcome=outcome, report=None)

    def _open(self, now: float) -> Connection:
        self.n_open += 1
        metrics.backend_connections.inc()
        http = httpcore.AsyncHTTPConnection(self._origin)
        return Connection(http=http, answered_at=now)

    def _take_idle(self, call: Call, *, now: float) -> Connection | None:
        """Return the connection that answered last, if it may be trusted."""
        if not self._idle:
            return None
        newest = self._idle[-1]
        if not call.idempotent and now - newest.answered_at > TRUSTED_IDLE:
            return None
        if now - newest.answered_at > self._idle_limit or newest.http.has_expired():
            return None
        return self._idle.pop()

    async def _exchange(
        self,
        connection: Connection,
        method: bytes,
        url: httpcore.URL,
        headers: Headers,
        body: bytes,
        *,
        limit: float,
        reused: bool,
    ) -> Reply | Outcome:
        request = httpcore.Request(method, url, headers=headers, content=body)
        peer = self.server.name
        outcome: Outcome
        whole = False
        try:
            with trio.move_on_after(limit):
                reply = await _receive(connection.http, request)
                whole = True
                return reply
            outcome = self._judge_silence(connection, reused=reused)
        except httpcore.ConnectError:
            outcome = NotRun(
                step=Step.CONNECT, peer=peer, reason=Reason.REFUSED_CONNECTION
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            # Once a byte may have left nothing is known, even when the server
            # closed an idle connection in that same moment.
            outcome = Unknown(
                step=Step.RECEIVE, peer=peer, reason=Reason.LOST_CONNECTION
            )
        finally:
            await self._put_back(connection, reusable=whole)
        return outcome

    def _judge_silence(self, connection: Connection, *, reused: bool) -> Outcome:
        peer = self.server.name
        if connection.http.info() == "CONNECTING":
            return NotRun(
                step=Step.CONNECT, peer=peer, reason=Reason.REFUSED_CONNECTION
            )
        if not reused:
            return Unknown(step=Step.RECEIVE, peer=peer, reason=Reason.DEADLINE)
        # A timeout on an old connection speaks against that connection first:
        # its siblings went through the same middle, so they go as well.
        logger.info(
            "silent connection to %s, %d idle distrusted", peer, len(self._idle)
        )
        self._distrusted += self._idle
        self._idle = []
        return Unknown(step=Step.RECEIVE, peer=peer, reason=Reason.SILENT_CONNECTION)

    async def _put_back(self, connection: Connection, *, reusable: bool) -> None:
        # An answer that was abandoned half-way would be read as the answer to the
        # next request, so only a connection whose answer was read whole returns.
        if reusable and connection.http.is_idle():
            connection.answered_at = trio.current_time()
            self._idle.append(connection)
        else:
            await self._close(connection)

    async def _close(self, connection: Connection) -> None:
        self.n_open -= 1
        metrics.backend_connections.dec()
        with trio.move_on_after(CLOSE_LIMIT, shield=True):
            await connection.http.aclose()

    async def close_idle(self, *, now: float) -> None:
        """Close distrusted connections and those idle beyond the limit at `now`."""
        kept: list[Connection] = []
        old, self._distrusted = self._distrusted, []
        for connection in self._idle:
            is_old = now - connection.answered_at > self._idle_limit
            (old if is_old or connection.http.has_expired() else kept).append(
                connection
            )
        self._idle = kept
        for connection in old:
            await self._close(connection)

    async def close(self) -> None:
        """Close every idle connection; those in use close as their calls end."""
        await self.close_idle(now=float("inf"))


async def _receive(
    http: httpcore.AsyncHTTPConnection, request: httpcore.Request
) -> Reply:
    response = await http.handle_async_request(request)
    parts = []
    n_bytes = 0
    try:
        async for part in response.aiter_stream():
            parts.append(part)
            n_bytes += len(part)
            if n_bytes > MAX_ANSWER_BYTES:
                raise httpcore.RemoteProtocolError("the answer is too large")
    finally:
        await response.aclose()
    return Reply(
        status=response.status, headers=list(response.headers), body=b"".join(parts)
    )


def _read_health(body: bytes) -> ServerReport | None:
    try:
        health = msgspec.json.decode(body, type=HealthBody)
    except msgspec.DecodeError:
        return None
    return ServerReport(
        in_use=0,
        slots=0,
        queued=0,
        state=health.state,
        versions=tuple(health.index_versions),
    )
