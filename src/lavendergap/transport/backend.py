"""Connections to one backend server.

Each connection is a single `httpcore.AsyncHTTP11Connection`, pooled by this module.
The bookkeeping of a pool shared by all servers costs more with each connection that
it holds (see docs/design/connections.md).
"""

from collections.abc import AsyncIterable
from dataclasses import dataclass
from typing import Annotated

import httpcore
import msgspec
import trio

from .. import metrics
from ..coordination.calls import Call, ServerReport, ServerState
from ..coordination.reuse import has_read_request
from ..logs import Category, get_logger, log_decision
from ..protocol.backend import (
    MAX_VERSION,
    Headers,
    Reply,
    Verdict,
    build_headers,
    check_reply,
)
from ..protocol.jsontext import decode_json
from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Server
from .badfields import report_bad_field, report_wrong_answer
from .earlyanswers import report_early_answer
from .stream import RequestStream, open_stream

logger = get_logger(Category.CONNECTIONS)

MAX_ANSWER_BYTES = 1024 * 1024
# Each chunk costs processor time; a body of more than these is not a usual one.
MAX_CHUNKS = 4_096
PROBE_TIMEOUT_S = 0.5
# A request that must not run twice reuses only a connection that carried an answer
# this recently: on a stale connection its outcome would be unknown.
MAX_TRUSTED_IDLE_S = 1.0
# The share of the time left that a read gets on a reused connection: one that carried
# an answer within MAX_TRUSTED_IDLE_S, and any other.
TRUSTED_TIMEOUT_SHARE = 0.75
UNTRUSTED_TIMEOUT_SHARE = 0.5
# A read on a reused connection gets at least this multiple of the server's mean
# latency, so that a slow server is not taken for a silent connection.
MIN_TIMEOUT_FACTOR = 3.0
LATENCY_SMOOTHING_FACTOR = 0.1  # weight of the newest call in the moving average


@dataclass(slots=True, kw_only=True)
class Connection:
    """An open connection and when it last carried a complete answer."""

    http: httpcore.AsyncHTTP11Connection
    stream: RequestStream
    answered_at: float


Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class HealthBody(msgspec.Struct):
    """The body of the answer to GET /health."""

    state: ServerState
    index_versions: list[Version] = []


class BackendClient:
    """All connections of this process to one backend server.

    `call` raises nothing for a failure of the server or the network; it returns a
    `Verdict`. `idle_timeout_s` is how long an idle connection is kept.
    """

    def __init__(self, *, server: Server, idle_timeout_s: float) -> None:
        self.server = server
        self.n_open = 0
        self._mean_latency_s = 0.0
        self._idle_timeout_s = idle_timeout_s
        self._idle: list[Connection] = []
        self._origin = httpcore.Origin(
            b"http", server.address.ip.encode(), server.address.port
        )
        self._host_header = str(server.address).encode()
        self._search_url = self._make_url(b"/search")
        self._run_url = self._make_url(b"/run")
        self._health_url = self._make_url(b"/health")

    def _make_url(self, target: bytes) -> httpcore.URL:
        return httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=target,
        )

    async def call(self, call: Call, *, attempt: bytes, fresh: bool) -> Verdict:
        """Make one attempt at `call`, within its deadline.

        A read on a reused connection gets a share of the time left. If a middlebox
        has dropped the connection's state, no answer will arrive, and the rest of
        the time is needed for a retry over a new connection.
        """
        now = trio.current_time()
        left = call.deadline - now
        if left <= 0:
            return self._make_refusal(Step.QUEUE, Reason.DEADLINE)
        connection = None if fresh else self._take_idle(call, now=now)
        if connection is None and self._idle and not self._has_room:
            # An idle connection that this call may not reuse must not keep it waiting.
            self._close_all([self._idle.pop(0)])
        if connection is None and not self._reserve():
            return self._make_refusal(Step.CONNECT, Reason.OVERLOADED)
        headers = build_headers(
            call,
            attempt=attempt,
            host=self._host_header,
            left_ms=max(1, int(left * 1_000)),
        )
        url = self._search_url if call.idempotent else self._run_url
        limit = left
        if connection is not None and call.idempotent:
            limit = self._compute_timeout(connection, left=left, now=now)
        result = await self._exchange(
            connection,
            b"POST",
            url,
            headers,
            call.body,
            limit=limit,
            attempt=attempt,
        )
        if isinstance(result, Reply):
            elapsed = trio.current_time() - now
            self._mean_latency_s += LATENCY_SMOOTHING_FACTOR * (
                elapsed - self._mean_latency_s
            )
            return self._make_verdict(
                result, call, attempt=attempt, is_first=connection is None
            )
        return Verdict(outcome=result, report=None)

    def _make_verdict(
        self, reply: Reply, call: Call, *, attempt: bytes, is_first: bool
    ) -> Verdict:
        """Return the verdict on an answer; an unexpected error loses the attempt."""
        server = self.server.name
        try:
            verdict = check_reply(
                reply, call, attempt=attempt, server=server, is_first=is_first
            )
        except Exception:
            logger.exception("cannot evaluate the answer of %s", server)
            outcome = Unknown(step=Step.CHECK, peer=server, reason=Reason.WRONG_ANSWER)
            return Verdict(outcome=outcome, report=None)
        if verdict.report is None:
            for field in (b"load", b"index-versions"):
                if field in reply.headers:
                    report_bad_field(server, field, reply.headers[field])
        return verdict

    def _compute_timeout(
        self, connection: Connection, *, left: float, now: float
    ) -> float:
        """Return the timeout in seconds of a read on a reused connection.

        The rest of the time left is for a retry over a new connection. After a
        recent answer, a slow server is more likely than a silent connection; a
        timeout of half of the time left treated slow answers as silent connections then
        and closed all idle connections of their server.
        """
        is_trusted = now - connection.answered_at <= MAX_TRUSTED_IDLE_S
        share = TRUSTED_TIMEOUT_SHARE if is_trusted else UNTRUSTED_TIMEOUT_SHARE
        return min(left, max(share * left, MIN_TIMEOUT_FACTOR * self._mean_latency_s))

    async def probe(self) -> ServerReport | None:
        """Query the health endpoint over a new connection; None without an answer.

        On a reused connection, a silent connection could not be distinguished from a
        server that does not answer.
        """
        if not self._reserve():
            return None
        headers = [(b"Host", self._host_header), (b"Connection", b"close")]
        result = await self._exchange(
            None, b"GET", self._health_url, headers, b"", limit=PROBE_TIMEOUT_S
        )
        if not isinstance(result, Reply) or result.status != 200:
            return None
        report = _parse_health(result.body)
        if report is None:
            report_wrong_answer(self.server.name, "the health report is malformed")
        return report

    def _make_refusal(self, step: Step, reason: Reason) -> Verdict:
        outcome = NotRun(step=step, peer=self.server.name, reason=reason)
        return Verdict(outcome=outcome, report=None)

    @property
    def _has_room(self) -> bool:
        return self.n_open < self.server.connections

    def _reserve(self) -> bool:
        """Reserve a connection; return False if the server's limit is reached."""
        if not self._has_room:
            return False
        self.n_open += 1
        metrics.backend_connections.inc()
        return True

    def _release(self) -> None:
        self.n_open -= 1
        metrics.backend_connections.dec()

    async def _open(self) -> Connection:
        address = self.server.address
        stream = await open_stream(
            address.ip, address.port, max_received=MAX_ANSWER_BYTES
        )
        http = httpcore.AsyncHTTP11Connection(self._origin, stream)
        return Connection(http=http, stream=stream, answered_at=trio.current_time())

    def _take_idle(self, call: Call, *, now: float) -> Connection | None:
        """Return the connection that answered last, if it may be reused for `call`."""
        if not self._idle:
            return None
        newest = self._idle[-1]
        if not call.idempotent and now - newest.answered_at > MAX_TRUSTED_IDLE_S:
            return None
        if now - newest.answered_at > self._idle_timeout_s or newest.http.has_expired():
            return None
        return self._idle.pop()

    async def _exchange(
        self,
        idle: Connection | None,
        method: bytes,
        url: httpcore.URL,
        headers: Headers,
        body: bytes,
        *,
        limit: float,
        attempt: bytes = b"",
    ) -> Reply | Outcome:
        """Send one request over `idle`, or over a new connection already reserved."""
        request = httpcore.Request(method, url, headers=headers, content=body)
        connection = idle
        reusable = False
        try:
            with trio.move_on_after(limit):
                if connection is None:
                    connection = await self._open()
                connection.stream.begin()
                reply = await _receive(connection.http, request)
                reusable = self._may_reuse(connection.stream, reply, attempt)
                return reply
            return self._classify_timeout(connection, reused=idle is not None)
        except httpcore.NetworkError:
            return self._classify_loss(connection)
        except httpcore.ProtocolError as error:
            if connection is not None and connection.stream.n_received:
                report_wrong_answer(self.server.name, str(error))
            return self._classify_loss(connection)
        except Exception:
            # An unexpected error must not end the process and the requests of others.
            logger.exception("cannot read the answer of %s", self.server.name)
            return self._classify_loss(connection)
        finally:
            if connection is None:
                self._release()
            else:
                connection.stream.end()
                self._recycle_or_close(connection, reusable=reusable)

    def _classify_loss(self, connection: Connection | None) -> Outcome:
        peer = self.server.name
        if connection is None:
            reason = Reason.REFUSED_CONNECTION
            return NotRun(step=Step.CONNECT, peer=peer, reason=reason)
        reason = Reason.LOST_CONNECTION
        if connection.stream.n_sent == 0:
            return NotRun(step=Step.SEND, peer=peer, reason=reason)
        # Once a byte may have been sent, the request may have run, even if the
        # server closed an idle connection at the same moment.
        return Unknown(step=Step.RECEIVE, peer=peer, reason=reason)

    def _classify_timeout(
        self, connection: Connection | None, *, reused: bool
    ) -> NotRun | Unknown:
        peer = self.server.name
        if connection is None:
            reason = Reason.REFUSED_CONNECTION
            return NotRun(step=Step.CONNECT, peer=peer, reason=reason)
        if not reused:
            return Unknown(step=Step.RECEIVE, peer=peer, reason=Reason.DEADLINE)
        # A timeout on a reused connection is attributed to the connection first. The
        # server's idle connections share its network path, so they are closed too.
        log_decision(
            logger,
            "silent connection",
            request_id=None,
            server=peer,
            n_idle_dropped=len(self._idle),
        )
        self._close_all(self._idle)
        self._idle = []
        return Unknown(step=Step.RECEIVE, peer=peer, reason=Reason.SILENT_CONNECTION)

    def _may_reuse(self, stream: RequestStream, reply: Reply, attempt: bytes) -> bool:
        """Return whether the next request may follow on the connection of `reply`.

        An answer that does not name its attempt may belong to another one, so that the
        answers on the connection are off by one, as all later ones would be. After a
        request that is not sent or not read completely, the server would take the next
        request for the rest of it.
        """
        if stream.n_sent < stream.n_bytes:
            report_early_answer(
                request_id=None,
                server=self.server.name,
                n_bytes=stream.n_bytes,
                n_sent=stream.n_sent,
            )
        return reply.headers.get(b"attempt") == attempt and has_read_request(
            n_bytes=stream.n_bytes,
            n_sent=stream.n_sent,
            is_success=reply.is_success,
        )

    def _recycle_or_close(self, connection: Connection, *, reusable: bool) -> None:
        # The rest of an abandoned answer would be read as the answer to the next
        # request, so only a connection whose answer was read completely is reused.
        if (
            reusable
            and connection.http.is_idle()
            and not _has_trailing_data(connection)
        ):
            connection.answered_at = trio.current_time()
            self._idle.append(connection)
        else:
            self._close_all([connection])

    def _close_all(self, connections: list[Connection]) -> None:
        for connection in connections:
            self._release()
            connection.stream.close()

    async def close_idle(self, *, now: float) -> None:
        """Close the connections that exceed the idle limit at `now`."""
        kept: list[Connection] = []
        old: list[Connection] = []
        for connection in self._idle:
            is_old = now - connection.answered_at > self._idle_timeout_s
            (old if is_old or connection.http.has_expired() else kept).append(
                connection
            )
        self._idle = kept
        self._close_all(old)

    async def close(self) -> None:
        """Close every idle connection; those in use close when their calls end."""
        await self.close_idle(now=float("inf"))


def _has_trailing_data(connection: Connection) -> bool:
    """Return whether bytes followed the answer, which belong to no request.

    The next answer would be read from behind them.
    """
    data, is_closed = connection.http._h11_state.trailing_data
    return bool(data) or is_closed


async def _receive(
    http: httpcore.AsyncHTTP11Connection, request: httpcore.Request
) -> Reply:
    response = await http.handle_async_request(request)
    assert isinstance(response.stream, AsyncIterable)
    try:
        parts = []
        async for part in response.stream:
            parts.append(part)
            if len(parts) > MAX_CHUNKS:
                raise httpcore.RemoteProtocolError("the answer has too many chunks")
    finally:
        await response.aclose()
    return Reply(
        status=response.status,
        headers={name.lower(): value for name, value in response.headers},
        body=b"".join(parts),
    )


def _parse_health(body: bytes) -> ServerReport | None:
    try:
        health = decode_json(body, HealthBody)
    except ValueError:
        return None
    return ServerReport(
        in_use=0,
        slots=0,
        queued=0,
        state=health.state,
        versions=tuple(health.index_versions),
    )
