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


def run_to_end(main: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Run `main` until it returns or a signal comes; either ends with status 0."""
    trio.run(_run_to_end, main, arguments)


async def _run_to_end(
    main: Callable[..., Awaitable[None]], arguments: tuple[object, ...]
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop_on_signal)
            await main(*arguments)
            nursery.cancel_scope.cancel()
