"""Running a stand-in as a process: ready line, signals, exit status."""

import signal
from collections.abc import Awaitable, Callable

import trio

Main = Callable[[trio.Nursery], Awaitable[None]]


def run_process(start: Main) -> None:
    """Run what `start` starts in a nursery, print `ready`, and stop on a signal."""
    trio.run(_run, start)


async def _run(start: Main) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await start(nursery)
            print("ready", flush=True)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                break
