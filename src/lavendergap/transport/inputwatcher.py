"""Watches many sockets for input in a single task.

A task that waits for each socket costs a registration with the kernel, a wake-up and a
step of the event loop for each answer. Here all sockets with input in one turn of the
loop cost these once.
"""

import select
import socket
from collections.abc import Callable

import trio


class InputWatcher:
    """Calls back when a watched socket has input or was closed by its peer.

    A callback has to read the input or stop watching the socket, and must not raise.
    The task ends with the trio run.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[], None]] = {}
        trio.lowlevel.spawn_system_task(self._run)

    def watch(self, watched: socket.socket, on_input: Callable[[], None]) -> None:
        """Start watching an open socket."""
        descriptor = watched.fileno()
        self._epoll.register(descriptor, select.EPOLLIN)
        self._callbacks[descriptor] = on_input

    def discard(self, watched: socket.socket) -> None:
        """Stop watching a socket, if it is watched; call this before closing it."""
        descriptor = watched.fileno()
        if self._callbacks.pop(descriptor, None) is not None and not self._epoll.closed:
            self._epoll.unregister(descriptor)

    async def _run(self) -> None:
        with self._epoll:
            while True:
                await trio.lowlevel.wait_readable(self._epoll)
                for descriptor, _ in self._epoll.poll(0):
                    # The callback of another socket may have closed this one.
                    on_input = self._callbacks.get(descriptor)
                    if on_input is not None:
                        on_input()


_watcher: trio.lowlevel.RunVar[InputWatcher] = trio.lowlevel.RunVar("input watcher")


def get_input_watcher() -> InputWatcher:
    """Return the watcher of this trio run, which is started when first needed."""
    try:
        return _watcher.get()
    except LookupError:
        watcher = InputWatcher()
        _watcher.set(watcher)
        return watcher
