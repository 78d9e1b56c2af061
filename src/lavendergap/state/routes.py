"""Routes: which backend servers answer a caller's request, and within which limits."""

from dataclasses import dataclass, field

from .customers import CustomerTable


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedGroup:
    """A group of servers and its weight among the groups of a route."""

    group: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OneOf:
    """One server answers, of a group chosen at random in proportion to the weights."""

    groups: tuple[WeightedGroup, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GreatestOfAll:
    """One server of each group answers; the answer has the greatest `n_records` of all.

    The answer may lack some groups if at least `min_share` of them answered.
    """

    groups: tuple[str, ...]
    n_records: int
    min_share: float


Target = OneOf | GreatestOfAll


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The requests of one host name below one path prefix.

    `prefix` begins and ends with a slash. `max_attempts` is the number of servers (of
    each group) that one request may be sent to. `goal_ms` is the target latency and
    `timeout_ms` the limit after which a request fails. `priority` 0 is the most
    urgent. Requests run in `home_regions` only, or in any region if it is empty. A
    route that `is_public` needs no key.
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    max_attempts: int
    timeout_ms: int
    goal_ms: int
    priority: int
    home_regions: frozenset[str] = frozenset()
    is_public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Limits on the size of callers' requests, and on slow and idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """All routes at one version of the operators' document.

    By group, `connections` holds how many connections one server accepts in total,
    and `cold_rates` how many requests per second one server tolerates while it is
    cold. A group that is missing has no limit. `customers` is None if the operators'
    document names none; requests then need no key.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[str, int] = field(default_factory=dict)
    cold_rates: dict[str, float] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
    customers: CustomerTable | None = None
