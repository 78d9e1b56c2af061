"""The effective settings, with inheritance resolved.

Operators edit a tree in which each branch inherits from its parent. `state.tree`
validates such a file against the table in `state.options` and builds these classes.
"""

from dataclasses import dataclass, field

from .customers import CustomerTable, LimitBounds


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Address:
    """A TCP or UDP address with a numeric IP, such as 127.0.0.1:8001."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """An entry host and the three addresses on which its process listens."""

    name: str
    data_centre: str
    callers: Address
    peers: Address
    admin: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """A backend server, with `slots` concurrent calls over at most `connections`.

    `incarnation` distinguishes restarts under the same name; measurements of one
    incarnation do not apply to the next. It is 0 if restarts are not distinguished.
    A cold server gets at most `cold_limit` requests per second from the host that
    warms it up, and none from the others; None means no limit.
    """

    name: str
    address: Address
    data_centre: str
    slots: int
    connections: int
    incarnation: int = 0
    cold_limit: int | None = None

    def is_same_process(self, other: "Server") -> bool:
        """Return whether both have the same name, address and incarnation."""
        return (
            self.name == other.name
            and self.address == other.address
            and self.incarnation == other.incarnation
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """The replicas that serve one shard of a service."""

    name: str
    servers: tuple[Server, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class GiveUpStragglers:
    """Answer without a straggling shard once `min_share` is covered.

    After that share is reached, the wait is `patience` times the median time of the
    answered shards. Prefers a low tail latency to complete answers.
    """

    min_share: float
    patience: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForCoverage:
    """Wait for all shards until the deadline: prefers coverage to latency."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerByGoal:
    """Wait for all shards until the goal, then answer with `min_share` or more.

    For callers that prefer a partial answer within `goal_ms` to a complete one after
    it. If less is covered by then, the answer is sent once `min_share` is reached.
    """

    min_share: float
    goal_ms: float


StragglerPolicy = GiveUpStragglers | WaitForCoverage | AnswerByGoal


@dataclass(frozen=True, kw_only=True, slots=True)
class ExtraCalls:
    """Limits on the retries and hedges of one owner, in calls and calls per second.

    The budgets in `Service` are shares of the load; these allowances let a group with
    few calls retry and hedge too. With `counts_refusals` a retry after a server's
    refusal uses up the budget as well, for platforms that limit all extra calls.
    """

    hedge_burst: float = 5.0
    retry_burst: float = 10.0
    retries_per_second: float = 1.0
    hedges_per_second: float = 0.0
    counts_refusals: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service: its groups, one for each shard, and the policy of its requests.

    `idempotent` services take queries; the others take requests that run at most
    once and need a ticket. Budgets are shares of extra load: 0.05 allows five extra
    calls in a hundred. Times are in milliseconds. Requests to a `public` service need
    no key.
    """

    name: str
    idempotent: bool
    groups: tuple[Group, ...]
    deadline_ms: int
    stragglers: StragglerPolicy
    hedge_budget: float
    hedge_after_quantile: float
    retry_budget: float
    queue_limit: int
    max_body_bytes: int
    weight: float
    public: bool = False
    extra: ExtraCalls = field(default_factory=ExtraCalls)


@dataclass(frozen=True, kw_only=True, slots=True)
class Control:
    """Timing and limits of the coordination between hosts; times in milliseconds."""

    probe_interval_ms: int = 1_000
    probe_timeout_ms: int = 300
    suspect_ms: int = 4_000
    server_probe_interval_ms: int = 1_000
    idle_connection_ms: int = 15_000
    watch_holders: int = 2
    ticket_lifetime_ms: int = 600_000
    max_tickets: int = 20_000
    drain_ms: int = 10_000


DEFAULT_LIMITS = LimitBounds(window_s=5.0, overage=0.1, slack=20.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """All settings of one deployment at one `version` of the platform's object.

    Version 0 is the file that a host starts with; all versions from the platform are
    newer. Without `customers`, requests need no key.
    """

    deployment: str
    version: int
    platform: Address
    hosts: tuple[Host, ...]
    services: tuple[Service, ...]
    control: Control = field(default_factory=Control)
    customers: CustomerTable | None = None
    limits: LimitBounds = DEFAULT_LIMITS

    def get_service(self, name: str) -> Service | None:
        """Return the service called `name`, or None."""
        return next((s for s in self.services if s.name == name), None)

    def get_host(self, name: str) -> Host | None:
        """Return the entry host called `name`, or None."""
        return next((h for h in self.hosts if h.name == name), None)
