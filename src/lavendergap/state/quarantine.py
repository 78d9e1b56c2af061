"""What is known of requests under which backend servers ended."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, kw_only=True, slots=True)
class Strike:
    """One request under which servers ended and that none answered.

    `name` is unique to the request, `content` is shared by its repeats. `host` saw it
    and `servers` are those that ended; both are for people. In a trial the request was
    a suspect, and had been sent to one server alone.
    """

    name: str
    content: str
    host: str
    servers: tuple[str, ...]
    is_trial: bool


class Standing(Enum):
    """What may be done with a request, by the strikes against its content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """Struck: it goes to one server first, and to others once that has answered."""
    HELD = "held"
    """Struck in a trial: it goes to no server."""
