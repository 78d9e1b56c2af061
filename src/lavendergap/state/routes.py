"""Routes: which backend servers answer a caller's request, and on what terms."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedGroup:
    """A group of servers and its weight among those of one route."""

    group: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OneOf:
    """One server answers, of a group drawn in the proportion of the weights."""

    groups: tuple[WeightedGroup, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GreatestOfAll:
    """One server of each group answers; the greatest `n_records` of all go back.

    An answer without some groups is one as long as `min_share` of them is in.
    """

    groups: tuple[str, ...]
    n_records: int
    min_share: float


Target = OneOf | GreatestOfAll


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The requests of one host name below one path prefix.

    `prefix` begins and ends with a slash. `max_attempts` is the number of servers (of
    each group) that one request may be sent to. An answer is wanted within `goal_ms`
    and final after `timeout_ms`. `priority` 0 is the most urgent. Requests run in
    `home_regions` only, or anywhere where these are empty.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """All routes at one version of the operators' document.

    `connections` holds, by group, how many connections one of its servers accepts
    from all callers together, and `cold_rates` how many requests a second one of them
    tolerates while it is cold. A group that is not in it has no bound.
    """

    version: int
    routes: tuple[Route, ...]
    connections: dict[str, int] = field(default_factory=dict)
    cold_rates: dict[str, float] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
