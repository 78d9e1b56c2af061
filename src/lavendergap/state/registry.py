"""Backend servers as registered with the platform."""

import re
from dataclasses import dataclass

from .settings import Address

_VISIBLE_ASCII = re.compile(r"[!-~]{1,256}")


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredServer:
    """One incarnation of a backend server, as the server registered it.

    A server may restart under the same id. `started_at_ms` distinguishes its
    incarnations, and `StartMemory` orders those at different addresses. It is Unix
    milliseconds by the server's own clock, or 0 if the server does not report it. A
    server that `is_cold` is slow and tolerates only a low rate of requests; it may
    become cold at any time.
    """

    server_id: str
    group: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool
    started_at_ms: int = 0
    is_cold: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError if the id is not safe as a header value.

        The id is sent as a header of each request to the server. A line break in it
        would allow header injection and request smuggling.
        """
        if not _VISIBLE_ASCII.fullmatch(self.server_id):
            raise ValueError(
                f"server id is not 1-256 visible ASCII characters: {self.server_id!r}"
            )


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedEntry:
    """An entry of the registry that describes no usable server."""

    problem: str
