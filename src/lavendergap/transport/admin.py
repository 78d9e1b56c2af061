"""The HTTP port for operators and the load balancer: metrics, health, status."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from .web import Receive, Response, Scope, Send, send_response, serve_lifespan


class ReadyBody(msgspec.Struct, omit_defaults=True):
    """Whether the load balancer may send requests to this host, and if not, why.

    `warning` is for operators.
    """

    ready: bool
    reason: str
    warning: str = ""


def _get_no_warning() -> str:
    return ""


class AdminApp:
    """An ASGI application.

    `get_not_ready_reason` returns why the host is not ready, or "" when it is ready.
    """

    def __init__(
        self,
        *,
        get_not_ready_reason: Callable[[], str],
        get_status: Callable[[], msgspec.Struct],
        get_warning: Callable[[], str] = _get_no_warning,
    ) -> None:
        self._get_not_ready_reason = get_not_ready_reason
        self._get_status = get_status
        self._get_warning = get_warning

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await send_response(send, self._serve(scope))

    def _serve(self, scope: Scope) -> Response:
        if scope["method"] != "GET":
            return _answer(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "use GET"})
        match scope["path"]:
            case "/metrics":
                return Response(
                    status=HTTPStatus.OK,
                    body=generate_latest(),
                    content_type=CONTENT_TYPE_LATEST.encode(),
                )
            case "/health":
                return _answer(HTTPStatus.OK, {"health": "alive"})
            case "/ready":
                reason = self._get_not_ready_reason()
                status = HTTPStatus.SERVICE_UNAVAILABLE if reason else HTTPStatus.OK
                body = ReadyBody(
                    ready=not reason, reason=reason, warning=self._get_warning()
                )
                return _answer(status, body)
            case "/status":
                return _answer(HTTPStatus.OK, self._get_status())
            case _:
                paths = "/metrics, /health, /ready or /status"
                return _answer(HTTPStatus.NOT_FOUND, {"error": f"use {paths}"})


def _answer(status: HTTPStatus, body: object) -> Response:
    return Response(status=status, body=msgspec.json.encode(body))
