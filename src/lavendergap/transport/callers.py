"""The HTTP port for callers: validates requests and renders their answers."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec
import trio

from .. import metrics
from ..coordination.stopping import StopPlan
from ..protocol.answers import (
    Refusal,
    SearchResult,
    encode_refusal,
    encode_search,
    get_retry_after_ms,
    name_outcome,
)
from ..protocol.jsontext import check_json
from ..state.customers import Customer
from ..state.outcome import NotRun, Reason, Step, Unknown
from ..state.settings import Service, Settings
from ..state.ticket import Ticket, parse_ticket
from .callerheaders import KeyReader
from .callerinput import (
    make_request_id,
    read_deadline_ms,
    read_ticket,
    require_idempotent,
    require_json,
    require_method,
    require_not_idempotent,
)
from .web import (
    BadRequestError,
    Receive,
    Response,
    Scope,
    ScopeSet,
    Send,
    log_if_cut,
    read_body,
    reject,
    send_response,
    serve_lifespan,
)

PORT = "callers"
KEY_HEADER = b"customer-key"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A valid request; times are in seconds on the event loop's clock.

    `customer` is None if the request needs no key.
    """

    request_id: str
    service: Service
    body: bytes
    started: float
    deadline: float
    customer: Customer | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class IssuedTicket:
    """A ticket that was issued to a caller."""

    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RunResult:
    """The answer to a request that ran once, as the JSON its server sent."""

    request_id: str
    result: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Pending:
    """A ticket whose request has no outcome yet."""

    request_id: str
    state: str


RunAnswer = RunResult | Refusal | Pending | BadRequestError


@dataclass(frozen=True, kw_only=True, slots=True)
class Handlers:
    """The operations that the daemon provides; none raises for a failure.

    `get_stop_plan` returns None unless this host is stopping.
    """

    get_settings: Callable[[], Settings]
    search: Callable[[CallerRequest], Awaitable[SearchResult | Refusal]]
    issue: Callable[[CallerRequest], Awaitable[IssuedTicket | Refusal]]
    run: Callable[[CallerRequest, str], Awaitable[RunAnswer]]
    look_up: Callable[[str, str], Awaitable[RunAnswer]]
    get_stop_plan: Callable[[], StopPlan | None]
    get_startup_problem: Callable[[], str]


class CallersApp:
    """An ASGI application; docs/design/interfaces.md describes its endpoints."""

    def __init__(self, *, handlers: Handlers) -> None:
        self.n_running = 0
        self._scopes = ScopeSet()
        self._handlers = handlers
        self._keys = KeyReader(key=KEY_HEADER, request_id=b"request-id")

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        self.n_running += 1
        started = trio.current_time()
        try:
            response = await self._serve(scope, receive)
            if self._handlers.get_stop_plan() is not None:
                # The load balancer keeps connections open. Closing one from here
                # could cut off a request in transit; with this header the balancer
                # closes it between two requests.
                response = _add_header(response, b"connection", b"close")
            await send_response(send, response)
        except BaseException as error:
            log_if_cut(error, scope, id_header=b"request-id", started=started)
            raise
        finally:
            self.n_running -= 1

    def give_up(self) -> None:
        """Answer the requests that still run at the end of a planned stop."""
        self._scopes.cancel()

    async def _serve(self, scope: Scope, receive: Receive) -> Response:
        with self._scopes.open():
            try:
                return await self._route(scope, receive)
            except BadRequestError as error:
                return reject(port=PORT, error=error)
        outcome = Unknown(step=Step.RECEIVE, peer="", reason=Reason.STOPPING)
        refusal = Refusal(request_id=make_request_id(scope), outcome=outcome)
        return _render_refusal(refusal)

    async def _route(self, scope: Scope, receive: Receive) -> Response:
        match scope["path"].strip("/").split("/"):
            case ["v1", "services", name, "query"]:
                request = await self._read(scope, receive, name)
                require_idempotent(request.service)
                return self._refuse(
                    request.request_id, deadline=request.deadline
                ) or await self._search_until_disconnect(
                    self._identify(scope, request), receive
                )
            case ["v1", "services", name, "tickets"]:
                request = await self._read(scope, receive, name, needs_body=False)
                return self._refuse(
                    request.request_id, deadline=request.deadline
                ) or await self._issue(self._identify(scope, request))
            case ["v1", "services", name, "requests"]:
                request = await self._read(scope, receive, name)
                ticket = read_ticket(scope)
                return self._refuse(
                    request.request_id, deadline=request.deadline, may_have_run=True
                ) or await self._run(self._identify(scope, request), ticket)
            case ["v1", "tickets", ticket]:
                require_method(scope, "GET")
                return await self._look_up(scope, ticket)
            case _:
                raise BadRequestError(
                    status=HTTPStatus.NOT_FOUND,
                    problem="unknown path",
                    detail="use /v1/services/SERVICE/query, /tickets or /requests",
                )

    def _refuse(
        self, request_id: str, *, deadline: float = 0.0, may_have_run: bool = False
    ) -> Response | None:
        """Refuse a request while this host is not ready, or cannot end it any more.

        While the only settings are those of this host's file, accepted edits may have
        replaced them. The load balancer sends no requests to this host then, but some
        may arrive. One with a ticket may be a repeat of one that has run, so that its
        outcome is unknown here.
        """
        reason, detail = Reason.NOT_READY, self._handlers.get_startup_problem()
        if not detail:
            plan = self._handlers.get_stop_plan()
            if plan is None or plan.may_begin(
                deadline=deadline, now=trio.current_time()
            ):
                return None
            reason = Reason.STOPPING
        make_outcome = Unknown if may_have_run else NotRun
        outcome = make_outcome(step=Step.ADMIT, peer=detail, reason=reason)
        return _render_refusal(Refusal(request_id=request_id, outcome=outcome))

    def _identify(self, scope: Scope, request: CallerRequest) -> CallerRequest:
        """Return the request with its customer; raises BadRequestError without one."""
        customer = self._find_customer(scope, request.service.name)
        return request if customer is None else replace(request, customer=customer)

    def _find_customer(self, scope: Scope, service_name: str) -> Customer | None:
        # These may be newer than the settings before the body arrived, and lack a key.
        settings = self._handlers.get_settings()
        service = settings.get_service(service_name)
        if settings.customers is None or (service is not None and service.public):
            return None
        return self._keys.read(scope, settings.customers, route=service_name)

    async def _read(
        self, scope: Scope, receive: Receive, name: str, *, needs_body: bool = True
    ) -> CallerRequest:
        require_method(scope, "POST")
        service = self._handlers.get_settings().get_service(name)
        if service is None:
            raise BadRequestError(
                status=HTTPStatus.NOT_FOUND,
                problem="unknown service",
                detail=f"there is no service {name[:64]!r} in the settings in force",
            )
        started = trio.current_time()
        deadline = started + read_deadline_ms(scope, service) / 1_000
        body = b""
        if needs_body:
            require_json(scope)
            body = await read_body(scope, receive, limit=service.max_body_bytes)
            try:
                check_json(body)
            except ValueError as error:
                raise BadRequestError(
                    status=HTTPStatus.BAD_REQUEST,
                    problem="malformed body",
                    detail=f"the body is not JSON: {error}",
                ) from error
        return CallerRequest(
            request_id=make_request_id(scope),
            service=service,
            body=body,
            started=started,
            deadline=deadline,
        )

    async def _search_until_disconnect(
        self, request: CallerRequest, receive: Receive
    ) -> Response:
        """Search, but cancel when the caller's connection closes.

        The request of a disconnected caller would otherwise hold slots of every
        group until its deadline.
        """
        response = Response(status=HTTPStatus.BAD_REQUEST, body=b"")
        async with trio.open_nursery() as nursery:

            async def cancel_on_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                metrics.requests.labels(request.service.name, "caller left").inc()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
            response = await self._search(request)
            nursery.cancel_scope.cancel()
        return response

    async def _search(self, request: CallerRequest) -> Response:
        result = await self._handlers.search(request)
        name = request.service.name
        metrics.request_seconds.labels(name).observe(
            trio.current_time() - request.started
        )
        match result:
            case Refusal():
                outcome = name_outcome(result.outcome)
                metrics.requests.labels(name, outcome).inc()
                return _render_refusal(result)
            case SearchResult():
                outcome = "answered" if result.is_whole else "partly answered"
                metrics.requests.labels(name, outcome).inc()
                metrics.coverage_share.labels(name).observe(result.coverage.share)
                status = HTTPStatus.OK if result.results else HTTPStatus.GATEWAY_TIMEOUT
                return Response(status=status, body=encode_search(result))

    async def _issue(self, request: CallerRequest) -> Response:
        require_not_idempotent(request.service)
        issued = await self._handlers.issue(request)
        match issued:
            case IssuedTicket(text=text):
                body = msgspec.json.encode({"ticket": text})
                return Response(status=HTTPStatus.CREATED, body=body)
            case Refusal():
                return _render_refusal(issued)

    async def _look_up(self, scope: Scope, text: str) -> Response:
        request_id = make_request_id(scope)
        if self._handlers.get_settings().customers is not None:
            refusal = self._refuse(request_id, may_have_run=True)
            if refusal is not None:
                return refusal
            ticket = parse_ticket(text)
            self._find_customer(
                scope, ticket.service if isinstance(ticket, Ticket) else ""
            )
        return _render_run(await self._handlers.look_up(request_id, text))

    async def _run(self, request: CallerRequest, ticket: str) -> Response:
        require_not_idempotent(request.service)
        answer = await self._handlers.run(request, ticket)
        name = request.service.name
        match answer:
            case RunResult():
                metrics.requests.labels(name, "answered").inc()
            case Refusal(outcome=outcome):
                metrics.requests.labels(name, name_outcome(outcome)).inc()
        return _render_run(answer)


def _add_header(response: Response, name: bytes, value: bytes) -> Response:
    return Response(
        status=response.status,
        body=response.body,
        content_type=response.content_type,
        headers=(*response.headers, (name, value)),
    )


def _render_refusal(refusal: Refusal) -> Response:
    retry_after_s = math.ceil(get_retry_after_ms(refusal.outcome) / 1_000)
    status = HTTPStatus.GATEWAY_TIMEOUT
    if isinstance(refusal.outcome, NotRun):
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if refusal.outcome.reason is Reason.OVER_LIMIT:
            status = HTTPStatus.TOO_MANY_REQUESTS
    return Response(
        status=status,
        body=encode_refusal(refusal),
        headers=((b"retry-after", b"%d" % retry_after_s),),
    )


def _render_run(answer: RunAnswer) -> Response:
    match answer:
        case BadRequestError():
            raise answer
        case Refusal():
            return _render_refusal(answer)
        case Pending(request_id=request_id, state=state):
            body = {"request_id": request_id, "outcome": "pending", "state": state}
            return Response(status=HTTPStatus.OK, body=msgspec.json.encode(body))
        case RunResult(request_id=request_id, result=result):
            answered = {
                "request_id": request_id,
                "outcome": "answered",
                "result": msgspec.Raw(result),
            }
            return Response(status=HTTPStatus.OK, body=msgspec.json.encode(answered))
