"""ASGI middleware that receives the body of a request that is answered without it."""

from collections.abc import Awaitable, Callable
from math import inf
from typing import Any

import trio

from .web import Receive, Scope, Send

App = Callable[[Scope, Receive, Send], Awaitable[None]]
Message = dict[str, Any]

# A body that takes longer is answered before it is complete.
READ_TIMEOUT_S = 0.25
# How long the rest of a body is received after such an answer.
LINGER_S = 1.0


class BodyDrain:
    """Wraps an application that may answer before it has received the whole body.

    An application answers so when it refuses a request. If the rest of the body were
    left in the connection, the server would wait for the application to receive it, and
    the application for the server to send the answer. If the connection were closed
    with unread bytes, it would be reset, and the caller could lose the answer.

    The answer is therefore sent once the body is complete. If that takes long, it is
    sent with `Connection: close`, and the connection is closed once the caller has sent
    the body or closed its side, or after a second.
    """

    def __init__(self, app: App) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        body = _Body(receive)

        async def send_after_body(message: Message) -> None:
            if body.is_received:
                await send(message)
            elif message["type"] == "http.response.start":
                await _send_head(message, send, body)
            else:
                await _send_last_part(message, send, body)

        await self._app(scope, body.receive, send_after_body)


async def _send_head(message: Message, send: Send, body: "_Body") -> None:
    await body.discard(limit_s=READ_TIMEOUT_S)
    if not body.is_received:
        headers = [*message["headers"], (b"connection", b"close")]
        message = message | {"headers": headers}
    await _send_while_discarding(message, send, body)


async def _send_last_part(message: Message, send: Send, body: "_Body") -> None:
    """Send the answer's last part in two, as the server closes after the last one."""
    await _send_while_discarding(message | {"more_body": True}, send, body)
    await body.discard(limit_s=LINGER_S)
    await _send_while_discarding(message | {"body": b""}, send, body)


async def _send_while_discarding(message: Message, send: Send, body: "_Body") -> None:
    """Send a message; the server may wait until the body is received."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(body.discard)
        await send(message)
        nursery.cancel_scope.cancel()


class _Body:
    """The body of one request; `is_received` is whether no more of it will come."""

    def __init__(self, receive: Receive) -> None:
        self.is_received = False
        self._receive = receive

    async def receive(self) -> Message:
        message = await self._receive()
        if message["type"] == "http.disconnect" or not message.get("more_body"):
            self.is_received = True
        return message

    async def discard(self, *, limit_s: float = inf) -> None:
        with trio.move_on_after(limit_s):
            while not self.is_received:
                await self.receive()
