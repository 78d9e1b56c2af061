"""Measures the callers' port: HTTP in, JSON out, with nothing behind it.

The port is served as by the daemon; each query is answered at once with the results
of so many shards. The one caller is a bare socket with its bytes made beforehand, in
the same process: its reads and writes are in the figure.
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
    """Return the results of some shards."""
    return tuple(ShardResult(shard=f"s{n:04}", result=body) for n in range(n_shards))


class Port:
    """An application that answers each query with the same results."""

    def __init__(self, *, body: bytes) -> None:
        self.body = body
        self.results: tuple[ShardResult, ...] = ()
        self.settings = parse_settings(make_text(130), file="lab", version=1)

    async def search(self, request: CallerRequest) -> SearchResult | Refusal:
        """Answer a query at once."""
        n = len(self.results)
        return SearchResult(
            request_id=request.request_id,
            service="search",
            version=1,
            coverage=Coverage(n_asked=n, n_answered=n, share=1.0, missing=()),
            results=self.results,
        )

    async def refuse(self, *given: object) -> Refusal:
        """Take no booking."""
        raise NotImplementedError

    def build_app(self) -> CallersApp:
        """Return the application."""
        handlers = Handlers(
            get_settings=lambda: self.settings,
            search=self.search,
            issue=self.refuse,
            run=self.refuse,
            look_up=self.refuse,
            is_leaving=lambda: False,
            get_unsettled=str,
        )
        return CallersApp(handlers=handlers)


async def ask(stream: trio.SocketStream) -> None:
    """Send one query and read its whole answer."""
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
    """Return the least processor microseconds of a query by its shards."""
    points: dict[int, float] = {}
    port = Port(body=body)
    stop = trio.Event()
    [number] = find_free_ports(1)
    address = Address(ip=HOST, port=number)
    async with trio.open_nursery() as nursery:
        serve = partial(
            serve_port, port.build_app(), address, stop=stop, drain_limit=1.0
        )
        await nursery.start(serve)
        stream = await trio.open_tcp_stream(HOST, number)
        for _ in range(n_runs):
            for n in sizes:
                port.results = make_results(n, body)
                began = time.process_time()
                for _ in range(N_REQUESTS):
                    await ask(stream)
                spent = (time.process_time() - began) / N_REQUESTS * 1e6
                points[n] = min(spent, points.get(n, spent))
        await stream.aclose()
        stop.set()
    return points
