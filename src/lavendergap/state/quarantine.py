"""Records of requests during which backend servers ended."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, kw_only=True, slots=True)
class Strike:
    """One request that no server answered and during which servers ended.

    `name` identifies the request, `content` is shared by repeats of it. `host` is the
    host that observed it and `servers` are those that ended; both are informational.
    With `is_trial` the request was a suspect already and was sent to one server only.
    """

    name: str
    content: str
    host: str
    servers: tuple[str, ...]
    is_trial: bool


class Standing(Enum):
    """Where a request may be sent, by the strikes recorded for its content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """Has a strike: it goes to one server first, to others after that has answered."""
    HELD = "held"
    """Has a strike from a trial: it is sent to no server."""
