"""The HTTP port for callers whose requests go to backend servers unchanged."""

from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any

import trio

from .. import metrics
from ..coordination.answerreserve import AnswerReserve
from ..coordination.callerdelay import CallerDelays, compute_goal, count_parts
from ..coordination.contentids import identify_content
from ..coordination.routing import RouteIndex
from ..coordination.stopping import StopPlan
from ..logs import Category, get_logger, log_decision
from ..protocol.answers import encode_error, name_outcome
from ..protocol.forwarding import HeaderNames, MergedRecords, keep_end_to_end
from ..protocol.keys import replace_customer
from ..state.customers import Customer
from ..state.forwarding import ForwardedRequest, Headers
from ..state.outcome import Answered, NotRun, Reason, Step, Unknown
from ..state.routes import Route
from .callerheaders import (
    MAX_TIME_LEFT_MS,
    KeyReader,
    read_attempt,
    read_time_left,
)
from .web import (
    BadRequestError,
    Receive,
    Scope,
    ScopeSet,
    Send,
    get_headers,
    log_if_cut,
    read_body,
    reject,
    serve_lifespan,
)

logger = get_logger(Category.ROUTE)

PORT = "gateway"
# Priorities of routes that are distinguished within one priority of a customer.
ROUTE_PRIORITIES = 1_000
# The Retry-After of a host without routes. A host that has just started receives them
# within a second, and a retry may reach another host.
NOT_READY_RETRY_MS = 300
# Shorter than the callers' own retry delays, but long enough that refusals without an
# estimate do not cause a busy loop of retries.
MIN_RETRY_AFTER_MS = 20
# This many digests fit into one header in every HTTP library.
PROOFS_PER_HEADER = 50


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayRequest:
    """A caller's request and its route; times are seconds on the event loop's clock.

    `goal` is when the answer has to leave this host to meet the route's latency goal.
    `customer` is None if the request needs no key.
    """

    forward: ForwardedRequest
    body: bytes
    route: Route
    version: int
    started: float
    deadline: float
    goal: float
    customer: Customer | None = None

    @property
    def priority(self) -> int:
        """The rank among all requests: by the customer's priority, then the route's."""
        if self.customer is None:
            return self.route.priority
        route = min(max(0, self.route.priority), ROUTE_PRIORITIES - 1)
        return self.customer.priority * ROUTE_PRIORITIES + route

    @property
    def request_id(self) -> str:
        """The caller's id of the request, as it appears in the logs."""
        return self.forward.attempt.decode("latin-1")


GatewayResult = Answered | MergedRecords | NotRun | Unknown


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayHandlers:
    """The operations that the daemon provides; `forward` never raises for a failure.

    `forward` pushes callbacks onto the stack that run after the answer is sent. `admit`
    takes a right of the request's customer, or returns why there is none; `give_back`
    returns the right of a request that did not run. `get_stop_plan` returns None unless
    this host is stopping.
    """

    get_routes: Callable[[], RouteIndex | None]
    forward: Callable[[GatewayRequest, ExitStack], Awaitable[GatewayResult]]
    get_stop_plan: Callable[[], StopPlan | None]
    admit: Callable[[GatewayRequest], Awaitable[NotRun | None]]
    give_back: Callable[[GatewayRequest], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    status: int
    headers: Headers
    body: bytes


class GatewayApp:
    """An ASGI application that finds the route of each request and forwards it."""

    def __init__(
        self, *, handlers: GatewayHandlers, names: HeaderNames, cores: float
    ) -> None:
        self.n_running = 0
        self._scopes = ScopeSet()
        self._handlers = handlers
        self._names = names
        self._caller_delays = CallerDelays()
        self._reserve = AnswerReserve(cores=cores)
        self._keys = KeyReader(key=names.key, request_id=names.attempt)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            self.n_running += 1
            started = trio.current_time()
            try:
                await self._serve(scope, receive, send)
            except BaseException as error:
                log_if_cut(error, scope, id_header=self._names.attempt, started=started)
                raise
            finally:
                self.n_running -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        started = trio.current_time()
        index = self._handlers.get_routes()
        if index is None:
            outcome = NotRun(
                step=Step.ADMIT,
                peer="",
                reason=Reason.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_MS,
            )
            await self._send(send, _render_refusal(outcome))
            return
        received = await self._receive(scope, receive, index, started)
        match received:
            case _Reply():
                await self._send(send, received)
            case GatewayRequest():
                await self._answer(received, receive, send)

    async def _receive(
        self, scope: Scope, receive: Receive, index: RouteIndex, started: float
    ) -> GatewayRequest | _Reply:
        """Return the request, or the answer to one that cannot be forwarded."""
        with self._scopes.open():
            try:
                return await self._read(scope, receive, index, started)
            except BadRequestError as error:
                return _render_rejection(error)
        refusal = NotRun(step=Step.ADMIT, peer="", reason=Reason.STOPPING)
        return _render_refusal(refusal)

    async def _answer(
        self, request: GatewayRequest, receive: Receive, send: Send
    ) -> None:
        with ExitStack() as deferred:
            result = await self._handle_until_disconnect(request, receive, deferred)
            if result is None:
                return
            ended = trio.current_time()
            # Everything else follows the answer, which may have been delayed until
            # just before its goal. Servers are released before the log is written.
            try:
                await self._send(send, self._render(request, result))
                self._record_send_time(result)
            finally:
                deferred.close()
                self._record_done(request, result, ended)

    def give_up(self) -> None:
        """Answer the requests that still run at the end of a planned stop."""
        self._scopes.cancel()

    async def _read(
        self, scope: Scope, receive: Receive, index: RouteIndex, started: float
    ) -> GatewayRequest:
        headers = get_headers(scope)
        limits = index.table.limits
        body = await read_body(scope, receive, limit=limits.max_body_bytes)
        # A version that was activated while the body arrived may have removed a key.
        index = self._handlers.get_routes() or index
        path = scope["raw_path"].decode("latin-1")
        host = headers.get(b"host", b"").decode("latin-1")
        route = index.find(host, path)
        if route is None:
            log_decision(
                logger,
                "no route",
                request_id=headers.get(self._names.attempt, b"").decode("latin-1"),
                host=host,
                path=path,
                version=index.table.version,
            )
            raise BadRequestError(
                status=HTTPStatus.NOT_FOUND,
                problem="no route",
                detail=f"no route begins this path in version {index.table.version}",
            )
        customer = None
        forwarded = keep_end_to_end(scope["headers"])
        customers = index.table.customers
        if customers is not None:
            if not route.is_public:
                customer = self._keys.read(scope, customers, route=route.name)
            forwarded = replace_customer(
                forwarded, names=self._names, customer=customer
            )
        stated = read_time_left(headers, self._names)
        delay = self._caller_delays.note(
            route.name,
            left_ms=min(stated, MAX_TIME_LEFT_MS),
            goal_ms=route.goal_ms,
            connection=scope.get("client"),
            now=started,
        )
        reserve_ms = self._reserve.get_ms(n_parts=count_parts(route), now=started)
        goal_ms = compute_goal(route, delay, reserve_ms=reserve_ms)
        left = min(stated, route.timeout_ms)
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        return GatewayRequest(
            forward=ForwardedRequest(
                method=scope["method"].encode("latin-1"),
                target=target,
                attempt=read_attempt(headers, self._names),
                headers=forwarded,
            ),
            body=body,
            route=route,
            version=index.table.version,
            started=started,
            deadline=started + left / 1_000,
            goal=started + goal_ms / 1_000,
            customer=customer,
        )

    def _record_send_time(self, result: GatewayResult) -> None:
        if isinstance(result, MergedRecords) and result.wait_ends_at is not None:
            now = trio.current_time()
            self._reserve.note(elapsed_ms=(now - result.wait_ends_at) * 1_000, now=now)

    async def _handle_until_disconnect(
        self, request: GatewayRequest, receive: Receive, deferred: ExitStack
    ) -> GatewayResult | None:
        """Admit and forward, but cancel and return None when the caller disconnects.

        Servers would otherwise continue the work of a disconnected caller and hold
        slots that other requests need. A request that is given up at the end of a
        planned stop may have run.
        """
        result: GatewayResult | None = None
        with self._scopes.open() as work:
            async with trio.open_nursery() as nursery:

                async def cancel_on_disconnect() -> None:
                    while (await receive())["type"] != "http.disconnect":
                        pass
                    self._record_disconnect(request)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(cancel_on_disconnect)
                result = await self._admit_and_forward(request, deferred)
                nursery.cancel_scope.cancel()
        if work.cancelled_caught and result is None:
            return Unknown(step=Step.RECEIVE, peer="", reason=Reason.STOPPING)
        return result

    def _record_disconnect(self, request: GatewayRequest) -> None:
        log_decision(
            logger,
            "caller left",
            request_id=request.request_id,
            route=request.route.name,
            after_ms=round((trio.current_time() - request.started) * 1_000, 1),
        )
        metrics.requests.labels(request.route.name, "caller left").inc()

    async def _admit_and_forward(
        self, request: GatewayRequest, deferred: ExitStack
    ) -> GatewayResult:
        plan = self._handlers.get_stop_plan()
        if plan is not None:
            now = trio.current_time()
            if not plan.may_begin(deadline=request.deadline, now=now):
                return NotRun(step=Step.ADMIT, peer="", reason=Reason.STOPPING)
            deadline = min(request.deadline, plan.gives_up_at)
            request = replace(request, deadline=deadline)
        refusal = await self._handlers.admit(request)
        if refusal is not None:
            return refusal
        result = await self._handlers.forward(request, deferred)
        if isinstance(result, NotRun):
            self._handlers.give_back(request)
        return result

    def _record_done(
        self, request: GatewayRequest, result: GatewayResult, ended: float
    ) -> None:
        elapsed = ended - request.started
        outcome = "answered"
        detail: dict[str, Any]
        match result:
            case Answered(status=status):
                detail = {"status": status}
            case MergedRecords(coverage=coverage):
                if coverage.missing:
                    outcome = "partly answered"
                detail = {
                    "n_missing": coverage.n_asked - coverage.n_answered,
                    "missing": [
                        f"{m.shard}: {m.reason.value} at {m.peer}"
                        for m in coverage.missing
                    ],
                }
                metrics.coverage_share.labels(request.route.name).observe(
                    coverage.share
                )
            case NotRun() | Unknown():
                outcome = name_outcome(result)
                detail = {
                    "reason": result.reason.value,
                    "step": result.step.value,
                    "peer": result.peer,
                    "content": identify_content(request.forward, request.body),
                }
        if request.customer is not None:
            detail["customer"] = request.customer.name
        metrics.requests.labels(request.route.name, outcome).inc()
        metrics.request_seconds.labels(request.route.name).observe(elapsed)
        log_decision(
            logger,
            "done",
            request_id=request.request_id,
            route=request.route.name,
            version=request.version,
            outcome=outcome,
            ms=round(elapsed * 1_000, 1),
            goal_ms=request.route.goal_ms,
            left_ms=round((request.deadline - ended) * 1_000),
            **detail,
        )

    def _render(self, request: GatewayRequest, result: GatewayResult) -> _Reply:
        match result:
            case Answered(status=status, headers=headers, body=body):
                return _Reply(status=status, headers=headers, body=body)
            case MergedRecords():
                return self._render_merged(request, result)
            case NotRun():
                return _render_refusal(result)
            case Unknown(reason=reason):
                status = HTTPStatus.BAD_GATEWAY
                if reason in (Reason.DEADLINE, Reason.STRAGGLER):
                    status = HTTPStatus.GATEWAY_TIMEOUT
                return _Reply(
                    status=status,
                    headers=(),
                    body=encode_error(f"{result.step.value}: {reason.value}"),
                )

    def _render_merged(self, request: GatewayRequest, merged: MergedRecords) -> _Reply:
        names = self._names
        proofs = [
            value
            for headers in merged.proofs.values()
            for name, value in headers
            if name == names.proof
        ]
        headers = [(names.attempt, request.forward.attempt)]
        for at in range(0, len(proofs), PROOFS_PER_HEADER):
            batch = b", ".join(proofs[at : at + PROOFS_PER_HEADER])
            headers.append((names.proofs, batch))
        n_missing = merged.coverage.n_asked - merged.coverage.n_answered
        headers.append((names.n_missing, b"%d" % n_missing))
        return _Reply(status=HTTPStatus.OK, headers=tuple(headers), body=merged.records)

    async def _send(self, send: Send, reply: _Reply) -> None:
        headers = [*reply.headers, (b"content-length", b"%d" % len(reply.body))]
        if self._handlers.get_stop_plan() is not None:
            # The client would otherwise keep the connection, and the end of this
            # process would cut off a request in transit.
            headers.append((b"connection", b"close"))
        start = {
            "type": "http.response.start",
            "status": int(reply.status),
            "headers": headers,
        }
        await send(start)
        await send({"type": "http.response.body", "body": reply.body})


def _render_rejection(error: BadRequestError) -> _Reply:
    response = reject(port=PORT, error=error)
    return _Reply(
        status=response.status,
        headers=((b"content-type", response.content_type),),
        body=response.body,
    )


def _render_refusal(outcome: NotRun) -> _Reply:
    retry_after_s = max(MIN_RETRY_AFTER_MS, outcome.retry_after_ms) / 1_000
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if outcome.reason is Reason.OVER_LIMIT:
        status = HTTPStatus.TOO_MANY_REQUESTS
    return _Reply(
        status=status,
        headers=((b"retry-after", b"%.3f" % retry_after_s),),
        body=encode_error(f"not run: {outcome.step.value}: {outcome.reason.value}"),
    )
