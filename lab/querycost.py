"""Measures the processor time of one query over many shards, by role and step.

The owner's part calls backend servers in a second process over loopback, which answer
after a random time. The coordinator's part asks owners that answer at once in this
process; reading the caller's request from its socket is not included. Run with
`python -m lab.querycost`; it prints microseconds for each query.

The totals are of queries without counters: the median, and the tenth percentile, which
varies less with the load of the machine. A second run reads the clock at each step,
so that the steps add up to more than the total.
"""

import multiprocessing
import os
import time
from collections.abc import Callable
from random import Random
from statistics import fmean, median
from typing import Any
from unittest import mock

import click
import trio

from lab.callcost import make_settings, serve
from lab.steptimes import StepTimes
from lavendergap.coordination.documents import Documents
from lavendergap.coordination.routing import RouteIndex
from lavendergap.entry import forwarding, owner, peers
from lavendergap.entry.process import tune_garbage_collector
from lavendergap.logs import LogFormat, configure_logs
from lavendergap.protocol.messages import (
    Answers,
    Frame,
    GreatestOptions,
    Message,
    Search,
    ShardAnswer,
    ShardRef,
)
from lavendergap.protocol.peer import LENGTH_PREFIX, decode_frame, encode_frame
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.outcome import Answered, NotRun
from lavendergap.state.quarantine import Standing
from lavendergap.state.routes import GreatestOfAll, RequestLimits, Route, RouteTable
from lavendergap.state.settings import Server, Settings
from lavendergap.transport import channel, forward, gateway
from tests.headers import NAMES
from tests.nodes import refuse_tickets

N_OWNERS = 3
N_RECORDS = 25
N_WARM_UP = 30
DEADLINE_MS = 1_000
GOAL_MS = 250
HEADERS = [
    (b"host", b"a.example"),
    (b"x-attempt", b"r1"),
    (b"user-agent", b"lab/1.0"),
    (b"accept", b"application/octet-stream"),
]
PROOF = b"3e1b.07.5a2.600.0.c9f2a4d1"
Ask = Callable[[], Any]


class StubChannel:
    """A channel that encodes what is sent; `handle` gets the decoded message."""

    def __init__(self, handle: Callable[["StubChannel", Message], None]) -> None:
        self.on_reply: Callable[[Message], None] | None = None
        self._handle = handle

    def send(self, frame: Frame) -> None:
        """Encode a frame and deliver its message."""
        encode_frame(frame)
        self._handle(self, frame.message)

    def request(self, message: Message, handlers: channel.ReplyHandlers) -> int:
        """Encode a request and deliver it; replies go to the handlers."""
        self.on_reply = handlers.on_reply
        self.send(Frame(id=1, message=message))
        return 1

    def forget(self, request_id: int) -> None:
        """Expect no more replies."""

    def has_received_since(self, at: float) -> bool:
        """Return true, as the owners are never silent."""
        return True


class StubFleet:
    """Owners with equal shares of the groups, none of them this host."""

    own_name = "host-0"

    def rank(self, group: str) -> tuple[str, ...]:
        """Return the owner of a group."""
        return (f"owner-{int(group[1:]) % N_OWNERS}",)


class StubQuarantine:
    """Holds no strikes."""

    def get_standing(self, request: object, body: bytes) -> Standing:
        """Return that a request is clear."""
        return Standing.CLEAR

    def record_answer(self, request: object, body: bytes) -> None:
        """Record nothing."""


def _decode(frame: bytes) -> Frame:
    return decode_frame(frame[LENGTH_PREFIX.size :], is_packed=True)


def _make_search(groups: list[str]) -> Search:
    return Search(
        request_id="r1",
        service="all",
        version=1,
        left_ms=DEADLINE_MS,
        body=b"",
        shards=tuple(ShardRef(shard=group, group=group) for group in groups),
        greatest=GreatestOptions(
            request=ForwardedRequest(
                method=b"GET", target=b"/a", attempt=b"r1", headers=tuple(HEADERS)
            ),
            n_wanted=N_RECORDS,
            goal_ms=GOAL_MS,
            max_attempts=2,
            priority=0,
            is_repeat=False,
        ),
    )


def _make_owner_part(settings: Settings, nursery: trio.Nursery) -> Ask:
    """Return a function that serves the Search messages of one query."""
    done = trio.Event()
    n_answered = 0

    def handle(_: StubChannel, message: Message) -> None:
        nonlocal n_answered
        assert isinstance(message, Answers)
        n_answered += sum(isinstance(a.outcome, Answered) for a in message.answers)
        if n_answered == len(settings.services):
            done.set()

    def make_client(server: Server, idle_timeout_s: float) -> forward.ForwardClient:
        return forward.ForwardClient(
            server=server, idle_timeout_s=idle_timeout_s, names=NAMES, nursery=nursery
        )

    service = peers.PeerService(
        owner=owner.Owner(
            settings=settings,
            nursery=nursery,
            random=Random(1),
            attempt_prefix="l",
            make_client=make_client,
        ),
        documents=Documents(check=lambda name, body: None),
        nursery=nursery,
        answer_ticket=refuse_tickets,
    )
    stub: Any = StubChannel(handle)
    names = [service.name for service in settings.services]
    searches = [_make_search(names[first::N_OWNERS]) for first in range(N_OWNERS)]
    frames = [
        encode_frame(Frame(id=number, message=message))
        for number, message in enumerate(searches)
    ]

    async def ask() -> None:
        nonlocal done, n_answered
        done, n_answered = trio.Event(), 0
        for frame in frames:
            service.handle(stub, _decode(frame))
        await done.wait()

    return ask


def _make_coordinator_part(settings: Settings, nursery: trio.Nursery) -> Ask:
    """Return a function that plays one caller's request."""
    groups = tuple(service.name for service in settings.services)
    route = Route(
        name="all",
        host="a.example",
        prefix="/",
        target=GreatestOfAll(groups=groups, n_records=N_RECORDS, min_share=0.9),
        idempotent=True,
        max_attempts=2,
        timeout_ms=DEADLINE_MS,
        goal_ms=GOAL_MS,
        priority=0,
    )
    limits = RequestLimits(max_body_bytes=1_000)
    index = RouteIndex(table=RouteTable(version=1, routes=(route,), limits=limits))
    records = os.urandom(16 * N_RECORDS)
    answered = Answered(body=b"", headers=((NAMES.proof, PROOF),))
    frames: dict[tuple[ShardRef, ...], bytes] = {}

    def handle(stub: StubChannel, message: Message) -> None:
        if not isinstance(message, Search):
            return
        frame = frames.get(message.shards)
        if frame is None:
            answers = tuple(
                ShardAnswer(shard=ref.shard, server="i-20001", outcome=answered)
                for ref in message.shards
            )
            reply = Answers(answers=answers, records=records)
            frame = frames[message.shards] = encode_frame(Frame(id=1, message=reply))
        assert stub.on_reply is not None
        # In the next turn of the event loop, as from a socket.
        nursery.start_soon(_reply, stub.on_reply, frame)

    stub = StubChannel(handle)
    dialer: Any = mock.Mock(get_open=lambda host: stub)
    fleet: Any = StubFleet()
    quarantine: Any = StubQuarantine()
    forwarder = forwarding.Forwarder(
        fleet=fleet,
        owner=mock.Mock(),
        dialer=dialer,
        nursery=nursery,
        random=Random(1),
        quarantine=quarantine,
    )

    async def admit(request: gateway.GatewayRequest) -> NotRun | None:
        return None

    app = gateway.GatewayApp(
        handlers=gateway.GatewayHandlers(
            get_routes=lambda: index,
            forward=forwarder.forward,
            get_stop_plan=lambda: None,
            admit=admit,
            give_back=lambda request: None,
        ),
        names=NAMES,
        cores=1.0,
    )
    scope = {
        "type": "http",
        "method": "GET",
        "raw_path": b"/a",
        "path": "/a",
        "query_string": b"",
        "headers": HEADERS,
    }

    async def ask() -> None:
        incoming = [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive() -> dict[str, Any]:
            if incoming:
                return incoming.pop()
            await trio.sleep_forever()
            raise AssertionError

        async def send(message: dict[str, Any]) -> None:
            assert message.get("status", 200) == 200

        await app(scope, receive, send)

    return ask


async def _reply(on_reply: Callable[[Message], None], frame: bytes) -> None:
    on_reply(_decode(frame).message)


async def _measure_queries(ask: Ask, n_queries: int, pause_s: float) -> list[float]:
    """Return the processor time of each query, in seconds."""
    elapsed = []
    for _ in range(n_queries):
        started_s = time.process_time()
        await ask()
        elapsed.append(time.process_time() - started_s)
        await trio.sleep(pause_s)
    return elapsed


async def _measure(
    settings: Settings, n_queries: int, pause_s: float, with_steps: bool
) -> None:
    for role, make in (
        ("owners", _make_owner_part),
        ("coordinator", _make_coordinator_part),
    ):
        async with trio.open_nursery() as nursery:
            ask = make(settings, nursery)
            await _measure_queries(ask, N_WARM_UP, pause_s)
            tune_garbage_collector()
            elapsed = sorted(await _measure_queries(ask, n_queries, pause_s))
            total_s = median(elapsed)
            print(
                f"{role} us_a_query={1e6 * total_s:.0f}"
                f" p10_us_a_query={1e6 * elapsed[n_queries // 10]:.0f}"
            )
            if with_steps:
                await _print_steps(ask, n_queries, pause_s)
            nursery.cancel_scope.cancel()


async def _print_steps(ask: Ask, n_queries: int, pause_s: float) -> None:
    times = StepTimes()
    with times.patch():
        counted_s = fmean(await _measure_queries(ask, n_queries, pause_s))
    for step, step_s in sorted(times.totals.items(), key=lambda item: -item[1]):
        print(f"  {step:<20} {1e6 * step_s / n_queries:8.0f}")
    rest_s = counted_s - sum(times.totals.values()) / n_queries
    print(f"  {'event loop, rest':<20} {1e6 * rest_s:8.0f}")


@click.command()
@click.option("--groups", default=90, show_default=True, help="Shards of a query.")
@click.option("--queries", default=150, show_default=True)
@click.option("--pause", default=0.01, show_default=True, help="Seconds in between.")
@click.option(
    "--longest", default=0.02, show_default=True, help="Longest answer, in seconds."
)
@click.option("--steps/--no-steps", default=True, show_default=True)
def main(groups: int, queries: int, pause: float, longest: float, steps: bool) -> None:
    """Print the cost of a query over all shards."""
    configure_logs(log_format=LogFormat.JSON, descriptor=os.open(os.devnull, os.O_RDWR))
    ports: multiprocessing.Queue[int] = multiprocessing.Queue()
    servers = multiprocessing.Process(
        target=serve, args=(2 * groups, ports, longest), daemon=True
    )
    servers.start()
    settings = make_settings([ports.get() for _ in range(2 * groups)])
    trio.run(_measure, settings, queries, pause, steps)
    servers.terminate()


if __name__ == "__main__":
    main()
