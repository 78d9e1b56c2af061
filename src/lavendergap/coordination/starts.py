"""Which start of a backend server is current, even if an earlier one writes late."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..state.registry import RegisteredServer

HOLD_S = 10.0
"""How long an entry of an earlier start is ignored.

The running server writes its own entry again with each heartbeat. If it does not, it
has ended, or the other server has started after it and its clock was stepped back.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Current:
    """The entry in force of a server, by the store's epoch when it was listed."""

    server: RegisteredServer
    epoch: int
    refused_at: float | None = None


class StartMemory:
    """The current start of each listed server.

    A server that starts again under its id has a later start time, and often another
    address. An entry of its earlier start that is written late must not move the work
    back. After a restore the store's entry holds, as its running server writes its own
    again within seconds. Memory is bounded by the listed servers.

    >>> from dataclasses import replace
    >>> from lavendergap.state.settings import Address
    >>> before = RegisteredServer(
    ...     server_id="i-1", group="s", address=Address(ip="127.0.0.1", port=1),
    ...     data_centre="a", slots=2, is_draining=False, started_at_ms=5)
    >>> after = replace(
    ...     before, address=Address(ip="127.0.0.1", port=2), started_at_ms=9)
    >>> memory = StartMemory()
    >>> [memory.apply([each], epoch=1, now=0.0)[0].started_at_ms
    ...  for each in (before, after, before)]
    [5, 9, 9]
    """

    def __init__(self) -> None:
        self._current: dict[str, _Current] = {}

    def apply(
        self, servers: Iterable[RegisteredServer], *, epoch: int, now: float
    ) -> tuple[RegisteredServer, ...]:
        """Return the servers of an epoch, with entries of earlier starts replaced.

        Servers that are not listed are forgotten.
        """
        current = {
            server.server_id: self._check(server, epoch=epoch, now=now)
            for server in servers
        }
        self._current = current
        return tuple(each.server for each in current.values())

    def next_due(self) -> float:
        """Return when to apply the same servers again; infinity if not needed."""
        return min(
            (
                each.refused_at + HOLD_S
                for each in self._current.values()
                if each.refused_at is not None
            ),
            default=float("inf"),
        )

    def _check(self, server: RegisteredServer, *, epoch: int, now: float) -> _Current:
        known = self._current.get(server.server_id)
        if known is None or not _is_earlier(server, known.server):
            return _Current(server=server, epoch=epoch)
        refused_at = now if known.refused_at is None else known.refused_at
        if epoch > known.epoch or now >= refused_at + HOLD_S:
            return _Current(server=server, epoch=epoch)
        return _Current(server=known.server, epoch=known.epoch, refused_at=refused_at)


def _is_earlier(server: RegisteredServer, known: RegisteredServer) -> bool:
    """Return whether an entry is of an earlier start at another address.

    A start time of 0 is not stated. At the same address there is one process, whose
    clock may have been stepped back before it started again.
    """
    return (
        0 < server.started_at_ms < known.started_at_ms
        and server.address != known.address
    )
