"""Runs a stand-in as a process: the ready line, signals and the exit status."""

import signal
from collections.abc import Awaitable, Callable

import trio

StartTasks = Callable[[trio.Nursery], Awaitable[None]]


def run_process(start: StartTasks) -> None:
    """Run the tasks of `start`, print `ready`, and stop on SIGTERM or SIGINT.

    `start` is called with a nursery and starts the stand-in's tasks in it.
    """
    trio.run(_run, start)


async def _run(start: StartTasks) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await start(nursery)
            print("ready", flush=True)
            async for _ in signals:
                nursery.cancel_scope.cancel()
                break


def run_to_end(main: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Run `main` until it returns or SIGTERM or SIGINT arrives; the status is 0."""
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
