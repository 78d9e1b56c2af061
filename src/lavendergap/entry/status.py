"""The responses of /status, which `lavendergap status` and `customers` read."""

from collections.abc import Iterable
from heapq import nlargest
from typing import Literal

import msgspec

MAX_CUSTOMERS = 200
"""The limit for the customers in one response."""


class SettingsStatus(msgspec.Struct, kw_only=True):
    """The active settings, and the problem of a newer version if there is one."""

    version: int
    source: str
    problem: str | None = None


class MemberStatus(msgspec.Struct, kw_only=True):
    """An entry host as this one sees it."""

    name: str
    data_centre: str
    state: str
    incarnation: int
    settings_version: int = 0


class ServiceStatus(msgspec.Struct, kw_only=True):
    """The snapshot of a service that this host serves now."""

    name: str
    version: int
    n_shards: int


class HostStatus(msgspec.Struct, kw_only=True):
    """The complete response of /status."""

    host: str
    data_centre: str
    incarnation: int
    state: str
    unready: str
    settings: SettingsStatus
    members: list[MemberStatus]
    services: list[ServiceStatus]


CountingRole = Literal["", "full", "settling", "share", "substitute"]
"""How a host counts for a customer: at its full limit, from the reserve until it has
settled, at a share of the limit, or from the reserve in place of a host that others do
not reach; "" if it does not count."""


class CustomerStatus(msgspec.Struct, kw_only=True):
    """A customer as one host sees it.

    Within the last window this host granted `n_used` permits, also to other hosts, and
    refused `n_refused` requests of its callers. `counted_by` is the host that this one
    asks for permits, and `role` how this host counts itself.
    """

    name: str
    rate_per_s: float
    burst: float
    n_used: int
    n_refused: int
    counted_by: str
    role: CountingRole = ""


class GatewayStatus(msgspec.Struct, kw_only=True):
    """The response of a gateway host.

    `warning` is a problem of a host that may be ready, "" without one.
    `limit_window_s` is 0 if the platform states no bound on customers' limits, and
    `n_customers` is the number of customers with a limit, and `customers` lists those
    that were counted or refused here.
    """

    host: str
    data_centre: str
    unready: str
    routes_version: int
    n_servers: int
    members: list[str]
    warning: str = ""
    limit_window_s: float = 0.0
    n_customers: int = 0
    customers: list[CustomerStatus] = []


def list_most_used(customers: Iterable[CustomerStatus]) -> list[CustomerStatus]:
    """Return at most `MAX_CUSTOMERS`, those with the most requests first."""
    return nlargest(
        MAX_CUSTOMERS, customers, key=lambda each: each.n_used + each.n_refused
    )
