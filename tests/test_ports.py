"""The ports of a host over real connections: requests answered before their bodies."""

import socket
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import fields
from functools import partial
from typing import Any

import msgspec
import pytest
import trio

from lavendergap.coordination.routing import RouteIndex
from lavendergap.entry.ports import serve_port
from lavendergap.state.routes import RequestLimits, RouteTable
from lavendergap.state.settings import Address
from lavendergap.transport.admin import AdminApp
from lavendergap.transport.callers import CallersApp, Handlers
from lavendergap.transport.gateway import GatewayApp, GatewayHandlers
from tests.headers import NAMES

MAX_BODY_BYTES = 100_000
LIMIT = 5.0


def make_gateway(index: RouteIndex | None) -> GatewayApp:
    used = {"get_routes": lambda: index, "get_stop_plan": lambda: None}
    handlers = GatewayHandlers(**make_unused(GatewayHandlers) | used)
    return GatewayApp(handlers=handlers, names=NAMES, cores=1.0)


def make_callers() -> CallersApp:
    used = {"get_stop_plan": lambda: None}
    return CallersApp(handlers=Handlers(**make_unused(Handlers) | used))


def make_unused(handlers: type) -> dict[str, Any]:
    return {field.name: None for field in fields(handlers)}


LIMITED = RouteTable(
    version=1, routes=(), limits=RequestLimits(max_body_bytes=MAX_BODY_BYTES)
)
APPS: dict[str, Callable[[], Any]] = {
    "gateway without routes, 503": partial(make_gateway, None),
    "gateway, 413": partial(make_gateway, RouteIndex(table=LIMITED)),
    "callers, 404": make_callers,
    "admin, 405": lambda: AdminApp(
        get_not_ready_reason=lambda: "", get_status=msgspec.Struct
    ),
}
# Sizes and pauses: all at once, in the segments of an Ethernet, in long pieces, and
# slower than an answer waits.
PIECES = [(260_000, 1, 0.0), (1_460, 180, 0.001), (65_536, 4, 0.01), (20_000, 12, 0.05)]


@asynccontextmanager
async def open_port(app):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    async with trio.open_nursery() as nursery:
        address = Address(ip="127.0.0.1", port=port)
        serve = partial(serve_port, app, address, stop=trio.Event(), drain_limit=1.0)
        await nursery.start(serve)
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            yield stream
        nursery.cancel_scope.cancel()


def make_head(length: int) -> bytes:
    return (
        b"POST /a/ HTTP/1.1\r\nhost: a.example\r\ncontent-length: %d\r\n\r\n" % length
    )


class TestAnswersBeforeTheBody:
    @pytest.mark.parametrize("name", APPS)
    @pytest.mark.parametrize(("size", "n_pieces", "pause"), PIECES)
    async def test_the_answer_arrives_and_the_connection_is_kept_or_closed(
        self, name, size, n_pieces, pause
    ):
        # Guards against a request that is counted as running for good, and against a
        # connection that is reset while the caller sends.
        app = APPS[name]()
        async with open_port(app) as stream:
            await stream.send_all(make_head(size * n_pieces))
            for _ in range(n_pieces):
                await stream.send_all(b"x" * size)
                await trio.sleep(pause)
            with trio.fail_after(LIMIT):
                first = await read_answer(stream)
                if b"connection: close" in first:
                    assert await stream.receive_some(1) == b""
                else:
                    await stream.send_all(make_head(0))
                    assert (await read_answer(stream))[:9] == b"HTTP/1.1 "
            assert int(name[-3:]) == int(first.split(b" ")[1])
            await wait_until_idle(app)

    async def test_a_caller_that_goes_on_sending_does_not_hold_the_request(self):
        app = APPS["gateway, 413"]()
        async with open_port(app) as stream:
            await stream.send_all(make_head(10**9))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_for_good, stream)
                with trio.fail_after(LIMIT):
                    assert b"connection: close" in await read_answer(stream)
                await wait_until_idle(app)
                nursery.cancel_scope.cancel()


async def wait_until_idle(app) -> None:
    with trio.fail_after(LIMIT):
        while getattr(app, "n_running", 0):
            await trio.sleep(0.01)


async def send_for_good(stream: trio.SocketStream) -> None:
    try:
        while True:
            await stream.send_all(b"x" * 65_536)
            await trio.sleep(0.001)
    except trio.BrokenResourceError:
        return


async def read_answer(stream: trio.SocketStream) -> bytes:
    """Return an answer's head, once its body has arrived."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = await stream.receive_some(65_536)
        assert more, data
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < length:
        more = await stream.receive_some(65_536)
        assert more, data
        body += more
    return head
