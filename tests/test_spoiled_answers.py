"""Servers that send odd numbers, or bytes without end, to each of our clients."""

import gc
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field, replace

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from lab.gateways import make_one_route, make_search_route, open_platform
from lavendergap.protocol import packing
from lavendergap.protocol.backend import read_report
from lavendergap.protocol.forwarding import read_load
from lavendergap.protocol.gossip import GossipCodec
from lavendergap.protocol.messages import BadFrameError
from lavendergap.protocol.peer import decode_frame
from lavendergap.state.outcome import Answered, Outcome, Reason
from lavendergap.state.settings import Address, Server
from lavendergap.transport import answermemory
from lavendergap.transport.backend import BackendClient
from lavendergap.transport.forward import ForwardClient
from lavendergap.transport.httpclient import FailedCall, HttpClient
from lavendergap.transport.replies import (
    MAX_ANSWER_BYTES,
    ReplyReader,
    WrongAnswerError,
)
from standins.http import Connection, HttpServer, Reply, Request
from standins.leafservers import LeafFaults
from standins.spoiled import ENDLESS_KINDS, ODD_NUMBERS
from tests.headers import NAMES
from tests.test_backend import CALL
from tests.test_forward import make_call

LIMIT_S = 3.0
MAX_CHUNKS_CPU_S = 0.5
ODD_FIELDS = (
    "Keep-Alive: timeout={}",
    "x-load: {},0,8",
    "x-load: 1,{},8",
    "load: {}/2/0",
    "index-versions: {}",
    "Retry-After: {}",
)
NESTED = b"[" * 100_000


@dataclass
class Spoiler:
    """A server that sends `spoiled` first and valid answers after it."""

    spoiled: list[Reply]
    n_closed: int = 0
    n_connections: int = 0
    closed: trio.Event = field(default_factory=trio.Event)

    async def handle(self, request: Request, connection: Connection) -> Reply:
        attempt = request.headers.get("x-attempt", "")
        fields = [("x-attempt", attempt), ("x-proof", "p")]
        for name in ("attempt", "shard", "index-version"):
            fields.append((name, request.headers.get(name, "")))
        reply = Reply(status=200, body=b'{"a": 1}', headers=tuple(fields))
        if not self.spoiled:
            return reply
        spoiled = self.spoiled.pop(0)
        headers = (*reply.headers, *spoiled.headers)
        return replace(spoiled, headers=headers, body=spoiled.body or reply.body)


Send = Callable[[], Awaitable[Outcome]]


@asynccontextmanager
async def open_client(
    kind: str, *spoiled: Reply, connections: int = 2, within_s: float = 2 * LIMIT_S
):
    """Yield a function that makes one call, and the client it uses."""
    spoiler = Spoiler(spoiled=list(spoiled))
    async with trio.open_nursery() as nursery:
        http = HttpServer(ip="127.0.0.1", port=0, handle=spoiler.handle)
        address = Address(ip="127.0.0.1", port=await nursery.start(http.run))
        server = Server(
            name="i-1",
            address=address,
            data_centre="ptl-a",
            slots=2,
            connections=connections,
        )
        client: ForwardClient | BackendClient
        if kind == "forward":
            client = ForwardClient(
                server=server, idle_timeout_s=10.0, names=NAMES, nursery=nursery
            )
        else:
            client = BackendClient(server=server, idle_timeout_s=10.0)

        async def send() -> Outcome:
            deadline = trio.current_time() + within_s
            call = CALL if kind == "backend" else make_call()
            call = replace(call, deadline=deadline)
            return (await client.call(call, attempt=b"a1", fresh=False)).outcome

        yield send, client, http
        nursery.cancel_scope.cancel()


async def wait_until_closed(http: HttpServer) -> None:
    with trio.fail_after(1.0):
        while http.n_connections:
            await trio.sleep(0.01)


@pytest.mark.parametrize("kind", ["forward", "backend"])
class TestBackendServers:
    @pytest.mark.parametrize("endless", ENDLESS_KINDS)
    async def test_bytes_without_end_cost_one_attempt(self, kind, endless):
        # A head, framing or body without end exhausted the memory.
        is_after = endless == "bytes after an answer"
        async with open_client(kind, Reply(status=200, endless=endless)) as bench:
            send, client, http = bench
            with trio.fail_after(LIMIT_S):
                outcome = await send()
            if not is_after:
                assert outcome.reason in (Reason.WRONG_ANSWER, Reason.LOST_CONNECTION)
            await client.close_idle(now=trio.current_time())
            await wait_until_closed(http)
            assert client.n_open == 0
            assert isinstance(await send(), Answered)

    @pytest.mark.parametrize("endless", ENDLESS_KINDS)
    async def test_slow_bytes_without_end_end_at_the_deadline(self, kind, endless):
        # Each byte in time could keep the attempt and its connection open for good.
        spoiled = Reply(status=200, endless=endless, endless_pause_s=0.02)
        async with open_client(kind, spoiled, within_s=0.5) as (send, client, http):
            with trio.fail_after(1.5):
                outcome = await send()
            is_after = endless == "bytes after an answer"
            assert isinstance(outcome, Answered) is is_after
            await client.close_idle(now=trio.current_time() + 0.1)
            await wait_until_closed(http)
            assert client.n_open == 0
            assert isinstance(await send(), Answered)

    @pytest.mark.parametrize("number", ODD_NUMBERS)
    @pytest.mark.parametrize("template", ODD_FIELDS)
    async def test_an_odd_number_harms_no_later_request(self, kind, template, number):
        # Numbers of 400 digits ended the process in the task of a connection.
        name, _, value = template.format(number).partition(": ")
        spoiled = Reply(status=200, headers=((name, value),))
        async with open_client(kind, spoiled) as (send, *_):
            assert isinstance(await send(), Answered)
            assert isinstance(await send(), Answered)

    async def test_endless_answers_share_a_limit_of_memory(self, kind, monkeypatch):
        # Each answer has a limit, which faulty servers could reach on each connection.
        limit = 200_000
        monkeypatch.setattr(answermemory, "MAX_ANSWERS_BYTES", limit)
        spoiled = [Reply(status=200, endless="body")] * 8
        async with open_client(kind, *spoiled, connections=8) as (send, client, http):
            outcomes = []

            async def collect() -> None:
                outcomes.append(await send())

            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    for _ in range(8):
                        nursery.start_soon(collect)
            assert not any(isinstance(outcome, Answered) for outcome in outcomes)
            await wait_until_closed(http)
            assert client.n_open == 0
            assert isinstance(await send(), Answered)

    async def test_an_answer_that_is_given_up_is_freed_at_once(self, kind):
        # It was part of a cycle: 40 endless answers took 500 MB until a collection.
        spoiled = [Reply(status=200, endless="body")] * 4
        async with open_client(kind, *spoiled) as (send, *_):
            gc.collect()
            gc.disable()
            tracemalloc.start()
            try:
                for _ in spoiled:
                    await send()
                n_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
                gc.enable()
            assert n_bytes < MAX_ANSWER_BYTES

    async def test_small_chunks_without_end_take_little_time(self, kind):
        # A megabyte of chunks of one byte took seconds of the processor.
        async with open_client(kind, Reply(status=200, endless="chunks")) as bench:
            send, *_ = bench
            started = time.process_time()
            await send()
            assert time.process_time() - started < MAX_CHUNKS_CPU_S


class TestOtherPeers:
    @pytest.mark.parametrize("endless", ENDLESS_KINDS)
    async def test_a_health_check_ends_in_time(self, endless):
        async with open_client("backend", Reply(status=200, endless=endless)) as bench:
            _, client, http = bench
            with trio.fail_after(1.0):
                assert await client.probe() is None
            await wait_until_closed(http)

    async def test_a_health_report_nested_without_end(self):
        # Raised RecursionError in the task that probes all servers.
        spoiled = Reply(status=200, body=b'{"state": "serving", "x": ' + NESTED)
        async with open_client("backend", spoiled) as (_, client, _):
            assert await client.probe() is None

    async def test_an_answer_nested_without_end(self):
        # Raised RecursionError in the task of the call, which ended the process.
        async with open_client("backend", Reply(status=200, body=NESTED)) as bench:
            send, *_ = bench
            assert (await send()).reason is Reason.WRONG_ANSWER
            assert isinstance(await send(), Answered)

    @pytest.mark.parametrize("endless", ENDLESS_KINDS)
    async def test_the_store(self, endless):
        async with open_client("backend", Reply(status=200, endless=endless)) as bench:
            _, client, http = bench
            store = HttpClient(address=client.server.address)
            with trio.fail_after(2 * LIMIT_S):
                reply = await store.call("GET", "/objects/x", limit_s=1.0)
            assert isinstance(reply, FailedCall) or endless.startswith("bytes after")
            await store.aclose()
            await wait_until_closed(http)


class TestParts:
    def test_a_trailer_replaces_no_header(self):
        # The proof of an answer would be that of its trailer.
        reader = ReplyReader()
        reader.feed(
            b"HTTP/1.1 200 OK\r\nx-proof: p\r\ntransfer-encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nx-proof: q\r\n\r\n"
        )
        assert reader.make_reply().headers[b"x-proof"] == b"p"

    def test_an_answer_with_no_valid_status_is_not_skipped(self):
        # It was taken for an informational one, and its body became that of the next.
        reader = ReplyReader()
        with pytest.raises(WrongAnswerError, match="status 0"):
            reader.feed(b"HTTP/1.1 000 x\r\ncontent-length: 1\r\n\r\nx")

    def test_white_space_after_a_value_is_not_forwarded(self):
        # The callers' port cannot send such a value, and their request got no answer.
        reader = ReplyReader()
        reader.feed(b"HTTP/1.1 200 OK\r\nx-a: b \t\r\ncontent-length: 0\r\n\r\n")
        assert reader.make_reply().headers[b"x-a"] == b"b"


class TestDamagedBytes:
    """No parser of outside input raises an error that its callers do not expect."""

    @given(cuts=st.binary(max_size=200), tail=st.binary(max_size=200))
    def test_answers(self, cuts, tail):
        reader = ReplyReader()
        with suppress(WrongAnswerError):
            reader.feed(b"HTTP/1.1 200 OK\r\n" + cuts + b"\r\n\r\n" + tail)
            reader.end()

    @given(number=st.binary(max_size=40) | st.sampled_from(ODD_NUMBERS).map(str.encode))
    def test_loads(self, number):
        text = number + b",0,8"
        for report in (read_load(text), read_report({b"load": number + b"/2/0"})):
            assert report is None or float(report.in_use + report.slots) >= 0

    @given(data=st.binary(max_size=300))
    def test_messages_between_hosts(self, data):
        GossipCodec(deployment="d").decode(b"\x01" + data)
        for is_packed in (False, True):
            with suppress(BadFrameError):
                decode_frame(data, is_packed=is_packed)

    def test_a_message_nested_without_end(self):
        # The decoder of a message raises RecursionError, which ended the process.
        with pytest.raises(BadFrameError):
            packing.unpack(b"\x93\x04\x01" + b"\x91" * 100_000)


class TestGatewayProcesses:
    async def test_no_answer_ends_a_gateway_or_harms_a_sound_server(self, tmp_path):
        # One server of two spoils its answers; gateways ended, and cut all requests.
        odd = [("Lavendergap-Server-Load", f"{n},0,8") for n in ODD_NUMBERS]
        odd += [("Keep-Alive", f"timeout={n}") for n in ODD_NUMBERS]
        faults = [LeafFaults(odd_headers=(header,)) for header in odd]
        faults += [LeafFaults(endless=endless) for endless in ENDLESS_KINDS]
        async with open_platform(tmp_path) as platform:
            shards = ["shard0", "shard1"]
            for service in ("desk", *shards):
                for zone in ("ptl-a", "ptl-b"):
                    await platform.add_leaf(service, zone)
            routes = [make_one_route("/one/", "desk"), make_search_route("/s/", shards)]
            platform.write_routes(3, routes)
            gateways = [platform.add_gateway(zone) for zone in ("ptl-a", "ptl-b")]
            for gateway in gateways:
                await platform.wait_ready(gateway)
            n_served = 0
            for fault in faults:
                for leaf in platform.leaves[::2]:
                    leaf.faults = fault
                for gateway in gateways:
                    for path in ("/one/x", "/s/x"):
                        answer = await platform.request(gateway, path, deadline_ms=2000)
                        n_served += answer.status == 200
            assert all(
                each.process and each.process.poll() is None for each in gateways
            )
            assert n_served > 0.9 * 4 * len(faults)
