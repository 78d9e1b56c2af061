"""Reads requests and sends answers over ASGI, with limits of size and time."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import trio

from .. import metrics
from ..logs import Category, get_logger, log_decision
from ..protocol.answers import encode_error

logger = get_logger(Category.ROUTE)

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Scope = dict[str, Any]

# A request whose body takes longer is refused, so that slow callers cannot occupy
# connections.
BODY_TIMEOUT_S = 5.0
JSON_TYPE = b"application/json"


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An answer to send: status, body and additional headers."""

    status: int
    body: bytes
    content_type: bytes = JSON_TYPE
    headers: tuple[tuple[bytes, bytes], ...] = ()


class BadRequestError(Exception):
    """An invalid request; it is answered with `status`."""

    def __init__(self, *, status: HTTPStatus, problem: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.problem = problem
        self.detail = detail


class ScopeSet:
    """The cancel scopes of running requests, which end together at a planned stop.

    A request that is opened after `cancel` is cancelled at once.
    """

    def __init__(self) -> None:
        self._scopes: set[trio.CancelScope] = set()
        self._is_cancelled = False

    @contextmanager
    def open(self) -> Iterator[trio.CancelScope]:
        """Run the block in a scope of its own."""
        scope = trio.CancelScope()
        if self._is_cancelled:
            scope.cancel()
        self._scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._scopes.discard(scope)

    def cancel(self) -> None:
        """Cancel all scopes."""
        self._is_cancelled = True
        for scope in self._scopes:
            scope.cancel()


def reject(*, port: str, error: BadRequestError) -> Response:
    """Count a bad request and return its answer."""
    metrics.rejected_input.labels(port, error.problem).inc()
    return Response(status=error.status, body=encode_error(error.detail))


def get_headers(scope: Scope) -> dict[bytes, bytes]:
    """Return the request's headers by their lower-case names."""
    return dict(scope["headers"])


async def read_body(scope: Scope, receive: Receive, *, limit: int) -> bytes:
    """Return the body; raises BadRequestError if it is over `limit` bytes or slow."""
    stated = get_headers(scope).get(b"content-length")
    if stated is not None and int(stated) > limit:
        raise _too_large(limit)
    parts: list[bytes] = []
    n_bytes = 0
    with trio.move_on_after(BODY_TIMEOUT_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise BadRequestError(
                    status=HTTPStatus.BAD_REQUEST,
                    problem="caller left",
                    detail="the connection closed before the body was complete",
                )
            parts.append(message.get("body", b""))
            n_bytes += len(parts[-1])
            if n_bytes > limit:
                raise _too_large(limit)
            if not message.get("more_body"):
                return b"".join(parts)
    raise BadRequestError(
        status=HTTPStatus.REQUEST_TIMEOUT,
        problem="slow body",
        detail=f"send the whole body within {BODY_TIMEOUT_S:g} s",
    )


def _too_large(limit: int) -> BadRequestError:
    return BadRequestError(
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        problem="body too large",
        detail=f"send at most {limit} bytes",
    )


async def send_response(send: Send, response: Response) -> None:
    """Send a complete answer."""
    headers = [
        (b"content-type", response.content_type),
        (b"content-length", b"%d" % len(response.body)),
        *response.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": int(response.status),
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


def log_if_cut(
    error: BaseException, scope: Scope, *, id_header: bytes, started: float
) -> None:
    """Log and count a request that was cancelled, and so ends without an answer."""
    if isinstance(error, Exception):
        return
    metrics.cut_requests.inc()
    log_decision(
        logger,
        "request cut",
        request_id=get_headers(scope).get(id_header, b"").decode("latin-1"),
        path=scope["path"],
        after_ms=round((trio.current_time() - started) * 1_000, 1),
    )


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answer the ASGI server's lifespan events; without answers it stops silently."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
