"""The interface between the daemon of a gateway host and its platform."""

from collections.abc import Mapping
from typing import Protocol

from ..protocol.forwarding import HeaderNames
from ..state.feeds import FeedSource
from ..state.quarantine import Strike
from ..state.registry import RegisteredServer
from ..state.routes import RouteTable
from ..state.settings import Address

ROUTES_FEED = "routes"
SERVERS_FEED = "servers"
HOSTS_FEED = "hosts"
STRIKES_FEED = "strikes"
EVACUATIONS_FEED = "evacuations"


class StrikeStore(Protocol):
    """Stores strikes beyond the life of the host that recorded them."""

    async def write_strike(self, strike: Strike) -> bool:
        """Store a strike for all hosts; return False when it was not accepted."""

    async def remove_strike(self, name: str) -> bool:
        """Remove a strike for all hosts; return False when it may still be stored."""

    def read_strike(self, name: str, body: bytes) -> Strike:
        """Return a stored strike; raise ValueError for an invalid entry."""


class Adapter(StrikeStore, Protocol):
    """The operations of the platform, in terms of this project's types."""

    @property
    def header_names(self) -> HeaderNames:
        """The platform's names of headers."""

    @property
    def feed_source(self) -> FeedSource:
        """The source of the store's feeds."""

    def read_routes(self, entries: Mapping[str, bytes]) -> RouteTable | None:
        """Return the routes in a feed's entries; None when there are none yet.

        Raises ValueError for invalid entries.
        """

    def read_server(self, name: str, body: bytes) -> RegisteredServer:
        """Return a registered server; raise ValueError for an invalid entry."""

    def read_evacuation(self, name: str, body: bytes) -> str:
        """Return the data centre that an entry evacuates.

        Raises ValueError for an invalid entry.
        """

    async def register_host(self, name: str, address: Address) -> bool:
        """Register this host's address for other hosts; return False on failure."""

    def read_host(self, body: bytes) -> Address:
        """Return a host's address for peers; raise ValueError for an invalid entry."""
