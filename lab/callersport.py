"""Measures the callers' port alone: HTTP parsing and JSON encoding, no backend.

The port is served as by the daemon; each query is answered at once with fixed results
for a number of shards. The only caller is a plain socket in the same process that sends
prepared bytes, so that the result includes the cost of its reads and writes.
"""

import time
from functools import partial

import trio

from lavendergap.entry.ports import serve_port
from lavendergap.protocol.answers import Refusal, SearchResult, ShardResult
from lavendergap.state.outcome import Coverage
from lavendergap.state.settings import Address
from lavendergap.state.tree import parse_settings
from lavendergap.transport.callers import CallerRequest, CallersApp, Handlers

from .processes import find_free_ports
from .reading import make_text

HOST = "127.0.0.1"
N_REQUESTS = 200
READ_SIZE = 1 << 20
QUERY = b'{"query": "service alert"}'
REQUEST = (
    b"POST /v1/services/search/query HTTP/1.1\r\nHost: lab\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(QUERY)
) + QUERY


def make_results(n_shards: int, body: bytes) -> tuple[ShardResult, ...]:
    """Return the same result for each of `n_shards` shards."""
    return tuple(ShardResult(shard=f"s{n:04}", result=body) for n in range(n_shards))


class FixedAnswerApp:
    """An application that answers each query with the same results."""

    def __init__(self, *, body: bytes) -> None:
        self.body = body
        self.results: tuple[ShardResult, ...] = ()
        self.settings = parse_settings(make_text(130), file="lab", version=1)

    async def search(self, request: CallerRequest) -> SearchResult | Refusal:
        """Return the fixed results."""
        n = len(self.results)
        return SearchResult(
            request_id=request.request_id,
            service="search",
            version=1,
            coverage=Coverage(n_asked=n, n_answered=n, share=1.0, missing=()),
            results=self.results,
        )

    async def reject_booking(self, *given: object) -> Refusal:
        """Raise NotImplementedError: this application takes no bookings."""
        raise NotImplementedError

    def build_app(self) -> CallersApp:
        """Return the application."""
        handlers = Handlers(
            get_settings=lambda: self.settings,
            search=self.search,
            issue=self.reject_booking,
            run=self.reject_booking,
            look_up=self.reject_booking,
            get_stop_plan=lambda: None,
            get_startup_problem=str,
        )
        return CallersApp(handlers=handlers)


async def send_query(stream: trio.SocketStream) -> None:
    """Send one query and read its complete answer."""
    await stream.send_all(REQUEST)
    received = b""
    while b"\r\n\r\n" not in received:
        received += await stream.receive_some(READ_SIZE)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    lines = head.lower().split(b"\r\n")
    n_bytes = next(int(line[15:]) for line in lines if line[:15] == b"content-length:")
    n_read = len(body)
    while n_read < n_bytes:
        n_read += len(await stream.receive_some(READ_SIZE))


async def measure_caller(
    sizes: tuple[int, ...], body: bytes, n_runs: int
) -> dict[int, float]:
    """Return the minimum processor time of a query in microseconds, by shard count."""
    least_us: dict[int, float] = {}
    app = FixedAnswerApp(body=body)
    stop = trio.Event()
    [port_number] = find_free_ports(1)
    address = Address(ip=HOST, port=port_number)
    async with trio.open_nursery() as nursery:
        serve = partial(
            serve_port, app.build_app(), address, stop=stop, drain_limit=1.0
        )
        await nursery.start(serve)
        stream = await trio.open_tcp_stream(HOST, port_number)
        for _ in range(n_runs):
            for n in sizes:
                app.results = make_results(n, body)
                started_s = time.process_time()
                for _ in range(N_REQUESTS):
                    await send_query(stream)
                spent_us = (time.process_time() - started_s) / N_REQUESTS * 1e6
                least_us[n] = min(spent_us, least_us.get(n, spent_us))
        await stream.aclose()
        stop.set()
    return least_us
