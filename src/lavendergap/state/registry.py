"""Backend servers as they register themselves at the platform."""

from dataclasses import dataclass

from .settings import Address


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredServer:
    """One incarnation of a backend server, by its own word.

    `server_id` is new at each start.
    """

    server_id: str
    group: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool
