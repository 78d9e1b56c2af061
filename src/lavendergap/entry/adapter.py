"""What the daemon of a gateway host needs of the platform that it runs on."""

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
    """Where strikes last longer than the host that saw them."""

    async def write_strike(self, strike: Strike) -> bool:
        """Keep a strike for all hosts; False when the store did not take it."""

    async def remove_strike(self, name: str) -> bool:
        """Drop a strike for all hosts; False when the store may still hold it."""

    def read_strike(self, name: str, body: bytes) -> Strike:
        """Return a strike that is kept; raises ValueError where it makes no sense."""


class Adapter(StrikeStore, Protocol):
    """What this daemon needs of the platform, in the product's own words."""

    @property
    def names(self) -> HeaderNames:
        """How the platform names its headers."""

    @property
    def source(self) -> FeedSource:
        """The store's feeds."""

    def read_routes(self, entries: Mapping[str, bytes]) -> RouteTable | None:
        """Return the routes in a feed's entries; None where there are none yet.

        Raises ValueError for entries that make no sense.
        """

    def read_server(self, name: str, body: bytes) -> RegisteredServer:
        """Return a registered server; raises ValueError where it makes no sense."""

    def read_evacuation(self, name: str, body: bytes) -> str:
        """Return the data centre that an entry evacuates.

        Raises ValueError where the entry makes no sense.
        """

    async def register_host(self, name: str, address: Address) -> bool:
        """Tell other hosts where this one is; False when the store did not take it."""

    def read_host(self, body: bytes) -> Address:
        """Return where a host takes peers; raises ValueError for nonsense."""
