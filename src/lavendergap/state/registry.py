"""Backend servers as they register themselves at the platform."""

import re
from dataclasses import dataclass

from .settings import Address

_VISIBLE = re.compile(r"[!-~]{1,256}")


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredServer:
    """One incarnation of a backend server, by its own word.

    A server may start again under the id that it had. `started_at_ms` is then another
    one, in Unix milliseconds by the server's own clock: it tells incarnations apart,
    and not which of them came first. It is 0 where servers do not tell it. A server
    that `is_cold` is slow and bears few requests; it may turn cold at any time.
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
        """Raise ValueError for an id that cannot stand in a header.

        It goes with each request to the server; a line break in it would be taken for
        the end of the header, and what follows for headers or a request of our own.
        """
        if not _VISIBLE.fullmatch(self.server_id):
            raise ValueError(f"a server's id is no plain text: {self.server_id!r}")


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedEntry:
    """An entry of the registry that names no server to use."""

    problem: str
