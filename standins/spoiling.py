"""Answers that are crossed, cut short or doubled on their way out."""

from dataclasses import replace

from .draws import Draws
from .faults import BackendFaults
from .http import Reply


class Spoiler:
    """Spoils answers as the faults say; remembers the last for a crossed one."""

    def __init__(self) -> None:
        self._last: Reply | None = None

    def spoil(self, reply: Reply, faults: BackendFaults, draws: Draws) -> Reply:
        """Return what goes out in place of `reply`."""
        if faults.crossed:
            reply = self._cross(reply, faults, draws)
        if draws.happens(faults.truncated):
            reply = replace(reply, n_sent=len(reply.body) // 2)
        if draws.happens(faults.duplicated):
            reply = replace(reply, n_copies=2)
        return reply

    def _cross(self, reply: Reply, faults: BackendFaults, draws: Draws) -> Reply:
        last = self._last
        self._last = reply
        if last is not None and draws.happens(faults.crossed):
            return last
        return reply
