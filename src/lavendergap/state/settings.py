"""The settings in force, with inheritance resolved: what every process acts on.

The file that operators edit is a tree in which each branch inherits from its
parent; `state.tree` turns such a file into these data classes after checking it
against the table in `state.options`.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Address:
    """A TCP or UDP address by IP number, such as 127.0.0.1:8001."""

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
    """A backend server: `slots` calls at once over at most `connections`.

    `incarnation` tells a start of the server from others under the same name. What is
    known of one says nothing of the next. It is 0 where starts are not told apart.
    While the server is cold it gets at most `cold_limit` requests a second of the host
    that warms it up, and none of the others; None where there is no bound.
    """

    name: str
    address: Address
    data_centre: str
    slots: int
    connections: int
    incarnation: int = 0
    cold_limit: int | None = None

    def is_same_process(self, other: "Server") -> bool:
        """Tell whether both are one process, as far as names and addresses tell."""
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

    The wait after the covered share is reached is `patience` times the time that
    the answered shards' median took. Cedarlight's choice: the tail matters most.
    """

    min_share: float
    patience: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForCoverage:
    """Wait for every shard up to the deadline. Qureshi's choice: coverage first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerByGoal:
    """Wait for every shard until the goal, then answer with `min_share` or more.

    For callers to whom an answer within `goal_ms` is worth far more than a whole one
    after it. Where too little is covered by then, the answer goes out as soon as
    `min_share` is reached.
    """

    min_share: float
    goal_ms: float


StragglerPolicy = GiveUpStragglers | WaitForCoverage | AnswerByGoal


@dataclass(frozen=True, kw_only=True, slots=True)
class ExtraCalls:
    """Bounds on what one owner sends beyond the first call of each request.

    The shares in `Service` grow with the load; these let a group with few calls
    retry and hedge as well. `counts_refusals` makes a retry after a server's own
    refusal draw on the budget too: for a platform that bounds all extra calls.
    """

    hedge_burst: float = 5.0
    retry_burst: float = 10.0
    retries_per_second: float = 1.0
    hedges_per_second: float = 0.0
    counts_refusals: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service: its groups, one for each shard, and the policy of its requests.

    `idempotent` services are queried; the others take requests that run at most
    once, against a ticket. Budgets are shares of extra load: 0.05 allows five
    extra calls in a hundred. Times are in milliseconds.
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
    extra: ExtraCalls = field(default_factory=ExtraCalls)


@dataclass(frozen=True, kw_only=True, slots=True)
class Control:
    """Timing of what hosts do together; times in milliseconds."""

    probe_interval_ms: int = 1_000
    probe_timeout_ms: int = 300
    suspect_ms: int = 4_000
    server_probe_interval_ms: int = 1_000
    idle_connection_ms: int = 15_000
    watch_holders: int = 2
    ticket_lifetime_ms: int = 600_000
    max_tickets: int = 20_000
    drain_ms: int = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """All settings of one deployment at one `version` of the platform's object.

    Version 0 is the file that a host starts from; any version that the platform
    gave is newer.
    """

    deployment: str
    version: int
    platform: Address
    hosts: tuple[Host, ...]
    services: tuple[Service, ...]
    control: Control = field(default_factory=Control)

    def get_service(self, name: str) -> Service | None:
        """Return the service called `name`, or None."""
        return next((s for s in self.services if s.name == name), None)

    def get_host(self, name: str) -> Host | None:
        """Return the entry host called `name`, or None."""
        return next((h for h in self.hosts if h.name == name), None)
