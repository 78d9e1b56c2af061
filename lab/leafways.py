"""Trials: cheaper ways of one leaf call than the product's, and the hop between hosts.

None of this is used by the product. `lab.fanout` measures these ways beside ours, to
show what the next step could save: h11 without httpcore above it, and the bytes alone
as the floor that no library reaches. `measure_hop` gives what the codec between entry
processes adds to a call whose shard another host owns.
"""

import time
from collections.abc import Awaitable, Callable

import h11
import trio

from lavendergap.protocol.messages import Answers, Frame, Search, ShardAnswer, ShardRef
from lavendergap.protocol.peer import LENGTH, decode_frame, encode_frame, read_length
from lavendergap.state.outcome import Answered
from lavendergap.state.settings import Group, Server
from lavendergap.transport.stream import RequestStream, open_stream

MAX_RECEIVED = 1 << 20
READ_BYTES = 1 << 16
N_HOPS = 3_000
BODY = b'{"query": "service alert"}'
Exchange = Callable[["Line", str], Awaitable[None]]


class Line:
    """One connection with its HTTP state."""

    def __init__(self, *, server: Server, stream: RequestStream) -> None:
        self.server = server
        self.stream = stream
        self.http = h11.Connection(our_role=h11.CLIENT)


def make_headers(server: Server, shard: str) -> list[tuple[bytes, bytes]]:
    """Make the headers of a call."""
    return [
        (b"Host", str(server.address).encode()),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(BODY)),
        (b"Attempt", b"ptl-a-1-1764700000000-1"),
        (b"Request-Id", b"q-1"),
        (b"Deadline-Ms", b"280"),
        (b"Shard", shard.encode()),
        (b"Index-Version", b"1"),
    ]


async def exchange_h11(line: Line, shard: str) -> None:
    """Make one call with h11 alone."""
    http = line.http
    stream = line.stream
    stream.begin()
    headers = make_headers(line.server, shard)
    head = http.send(h11.Request(method="POST", target="/search", headers=headers))
    body = http.send(h11.Data(data=BODY))
    assert head is not None and body is not None
    http.send(h11.EndOfMessage())
    await stream.write(head + body)
    status = 0
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.EndOfMessage):
            break
    assert status == 200
    http.start_next_cycle()


async def exchange_bytes(line: Line, shard: str) -> None:
    """Send the bytes of a call and take whatever comes as its answer."""
    line.stream.begin()
    head = b"".join([b"%s: %s\r\n" % pair for pair in make_headers(line.server, shard)])
    await line.stream.write(b"POST /search HTTP/1.1\r\n%s\r\n%s" % (head, BODY))
    data = await line.stream.read(READ_BYTES)
    assert data.startswith(b"HTTP/1.1 200")


class TrialSearch:
    """Sends all calls of a query at once, each over its server's own connection."""

    def __init__(self, *, exchange: Exchange) -> None:
        self._exchange = exchange
        self._lines: dict[str, Line] = {}

    async def __call__(self, groups: tuple[Group, ...]) -> None:
        async with trio.open_nursery() as nursery:
            for group in groups:
                nursery.start_soon(self._call, group)

    async def _call(self, group: Group) -> None:
        server = group.servers[0]
        line = self._lines.get(server.name)
        if line is None:
            address = server.address
            stream = await open_stream(
                address.ip, address.port, max_received=MAX_RECEIVED
            )
            line = self._lines[server.name] = Line(server=server, stream=stream)
        await self._exchange(line, group.name)

    def close(self) -> None:
        """Close every connection."""
        for line in self._lines.values():
            line.stream.close()


def measure_hop(n_shards: int) -> float:
    """Return the microseconds that both hosts spend on encoding, for each shard.

    One Search for `n_shards` shards there, their Answers back in one message; each
    is encoded at one end and decoded at the other.
    """
    names = [f"s{i:03}" for i in range(n_shards)]
    search = Search(
        request_id="q-1",
        service="scheduler",
        version=7,
        left_ms=280,
        body=BODY,
        shards=tuple(ShardRef(shard=n, group=f"scheduler-{n}") for n in names),
    )
    answers = Answers(
        answers=tuple(
            ShardAnswer(
                shard=name,
                server=f"scheduler-{name}-a",
                outcome=Answered(body=b'{"hits": 3}' * 8),
                versions=(6, 7),
            )
            for name in names
        )
    )
    start_s = time.process_time()
    for number in range(N_HOPS // n_shards):
        for message in (search, answers):
            frame = encode_frame(Frame(id=number, message=message))
            _, is_packed = read_length(frame, 0)
            decode_frame(frame[LENGTH.size :], is_packed=is_packed)
    used_s = time.process_time() - start_s
    return used_s / (N_HOPS // n_shards * n_shards) * 1e6
