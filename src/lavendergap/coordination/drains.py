"""Which backend servers are draining, even if a restored store shows them as ready."""

from collections.abc import Iterable
from dataclasses import replace

from ..state.registry import RegisteredServer

MAX_DRAINING = 4_096
"""Draining servers remembered, to bound memory; the oldest are forgotten first."""


class DrainMemory:
    """The servers that were seen draining, by the store's epoch at that time.

    A process that drains never becomes ready again. A store that was restored from an
    older copy may show it as ready until it has written its entry again. Within one
    epoch the store's entry holds: without a start time in the entries, a server that
    restarts under its id looks like the process that had drained.

    >>> from lavendergap.state.settings import Address
    >>> ready = RegisteredServer(
    ...     server_id="i-1", group="s", address=Address(ip="127.0.0.1", port=1),
    ...     data_centre="a", slots=2, is_draining=False, is_cold=False, started_at_ms=5)
    >>> memory = DrainMemory()
    >>> memory.apply([replace(ready, is_draining=True)], epoch=1)[0].is_draining
    True
    >>> memory.apply([ready], epoch=2)[0].is_draining
    True
    """

    def __init__(self) -> None:
        self._epochs: dict[tuple[str, int], int] = {}

    def apply(
        self, servers: Iterable[RegisteredServer], *, epoch: int
    ) -> tuple[RegisteredServer, ...]:
        """Return the servers of an epoch, those that had drained before as draining."""
        return tuple(self._check(server, epoch) for server in servers)

    def _check(self, server: RegisteredServer, epoch: int) -> RegisteredServer:
        key = (server.server_id, server.started_at_ms)
        if server.is_draining:
            self._epochs.pop(key, None)
            self._epochs[key] = epoch
            if len(self._epochs) > MAX_DRAINING:
                del self._epochs[next(iter(self._epochs))]
            return server
        seen_at = self._epochs.get(key)
        if seen_at is None:
            return server
        if seen_at >= epoch:
            del self._epochs[key]
            return server
        return replace(server, is_draining=True)
