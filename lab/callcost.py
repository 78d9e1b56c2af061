"""Measures the processor time and event loop iterations per backend call.

An owner in this process calls backend servers in a second process, which answer at
once, in bursts of one call per group, as for queries over many shards. Run with
`python -m lab.callcost`; it prints processor time in microseconds, loop iterations
("turns") and task steps per call.
"""

import multiprocessing
import random
import time
from contextlib import suppress
from functools import partial
from random import Random

import click
import trio

from lavendergap.coordination.calls import Call, FinishCall
from lavendergap.entry.batch import SubmittedCall
from lavendergap.entry.owner import Owner
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.settings import (
    Address,
    Control,
    Group,
    Server,
    Settings,
)
from lavendergap.transport.forward import ForwardClient
from tests.groups import make_service
from tests.headers import NAMES

ANSWER = (
    b"HTTP/1.1 200 OK\r\nx-attempt: r1\r\nx-proof: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"x-load: 1,0,2\r\nkeep-alive: timeout=10\r\ncontent-length: 400\r\n\r\n"
) + b"r" * 400


class TurnCounter(trio.abc.Instrument):
    """Counts event loop iterations and task steps."""

    def __init__(self) -> None:
        self.n_turns = 0
        self.n_steps = 0

    def before_io_wait(self, timeout: float) -> None:
        self.n_turns += 1

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.n_steps += 1


async def _answer(stream: trio.SocketStream, *, longest_s: float) -> None:
    # The client resets its connections at the end of its part.
    with suppress(trio.BrokenResourceError):
        await _serve_requests(stream, longest_s)


async def _serve_requests(stream: trio.SocketStream, longest_s: float) -> None:
    async with stream:
        while await stream.receive_some(65_536):
            if longest_s > 0.0:
                await trio.sleep(random.uniform(0.0, longest_s))
            await stream.send_all(ANSWER)


def serve(
    n_servers: int, ports: "multiprocessing.Queue[int]", longest_s: float = 0.0
) -> None:
    """Run backend servers that answer after a random time of up to `longest_s`."""
    answer = partial(_answer, longest_s=longest_s)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(n_servers):
                listen = partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
                [listener] = await nursery.start(listen)
                ports.put(listener.socket.getsockname()[1])

    trio.run(main)


def make_settings(ports: list[int]) -> Settings:
    """Return settings with a group of two servers for every two ports."""
    groups = []
    for number in range(len(ports) // 2):
        servers = tuple(
            Server(
                name=f"i-{port}",
                address=Address(ip="127.0.0.1", port=port),
                data_centre="a",
                slots=2,
                connections=8,
            )
            for port in ports[2 * number : 2 * number + 2]
        )
        groups.append(Group(name=f"s{number:02}", servers=servers))
    services = tuple(
        make_service(group, name=group.name, queue_limit=64) for group in groups
    )
    return Settings(
        deployment="lab",
        version=1,
        platform=Address(ip="127.0.0.1", port=1),
        hosts=(),
        services=services,
        control=Control(),
    )


async def _query(owner: Owner, settings: Settings) -> int:
    done = trio.Event()
    n_open = len(settings.services)
    forward = ForwardedRequest(
        method=b"GET",
        target=b"/a",
        attempt=b"r1",
        headers=((b"host", b"a.example"), (b"x-attempt", b"r1")),
    )

    def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
        nonlocal n_open
        n_open -= 1
        if not n_open:
            done.set()

    now = trio.current_time()
    submitted = [
        SubmittedCall(
            call=Call(
                call_id=owner.make_call_id(),
                request_id="r1",
                service=service.name,
                group=service.name,
                shard=service.name,
                version=0,
                deadline=now + 1.0,
                body=b"",
                idempotent=True,
                forward=forward,
                max_attempts=2,
                goal_at=now + 0.25,
                kind="q",
            ),
            finish=finish,
        )
        for service in settings.services
    ]
    owner.submit(submitted)
    await done.wait()
    return len(submitted)


async def _measure(settings: Settings, n_queries: int, pause: float) -> None:
    counter = TurnCounter()
    trio.lowlevel.add_instrument(counter)
    async with trio.open_nursery() as nursery:

        def make_client(server: Server, idle_timeout_s: float) -> ForwardClient:
            return ForwardClient(
                server=server,
                idle_timeout_s=idle_timeout_s,
                names=NAMES,
                nursery=nursery,
            )

        owner = Owner(
            settings=settings,
            nursery=nursery,
            random=Random(1),
            attempt_prefix="l",
            make_client=make_client,
        )
        for _ in range(20):
            await _query(owner, settings)
        counter.n_turns = counter.n_steps = 0
        started_s = time.process_time()
        n_calls = 0
        for _ in range(n_queries):
            n_calls += await _query(owner, settings)
            await trio.sleep(pause)
        cpu_s = time.process_time() - started_s
        print(
            f"calls={n_calls} us_a_call={1e6 * cpu_s / n_calls:.0f}"
            f" turns_a_call={counter.n_turns / n_calls:.2f}"
            f" steps_a_call={counter.n_steps / n_calls:.2f}"
        )
        nursery.cancel_scope.cancel()


@click.command()
@click.option("--groups", default=5, show_default=True, help="Shards of the owner.")
@click.option("--queries", default=600, show_default=True)
@click.option(
    "--pause", default=0.005, show_default=True, help="Seconds between queries."
)
def main(groups: int, queries: int, pause: float) -> None:
    """Print the cost of a backend call for an owner of some groups."""
    ports: multiprocessing.Queue[int] = multiprocessing.Queue()
    servers = multiprocessing.Process(
        target=serve, args=(2 * groups, ports), daemon=True
    )
    servers.start()
    settings = make_settings([ports.get() for _ in range(2 * groups)])
    trio.run(_measure, settings, queries, pause)
    servers.terminate()


if __name__ == "__main__":
    main()
