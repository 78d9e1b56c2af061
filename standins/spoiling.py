"""Swaps, truncates or duplicates the answers of the backend stand-in."""

from dataclasses import replace

from .draws import Draws
from .faults import BackendFaults
from .http import Reply


class Spoiler:
    """Applies the faults `crossed`, `truncated` and `duplicated` to answers."""

    def __init__(self) -> None:
        self._previous: Reply | None = None

    def spoil(self, reply: Reply, faults: BackendFaults, draws: Draws) -> Reply:
        """Return the reply to send in place of `reply`."""
        if faults.crossed:
            reply = self._cross(reply, faults, draws)
        if draws.happens(faults.truncated):
            reply = replace(reply, n_body_bytes_sent=len(reply.body) // 2)
        if draws.happens(faults.duplicated):
            reply = replace(reply, n_copies=2)
        return reply

    def _cross(self, reply: Reply, faults: BackendFaults, draws: Draws) -> Reply:
        previous = self._previous
        self._previous = reply
        if previous is not None and draws.happens(faults.crossed):
            return previous
        return reply
