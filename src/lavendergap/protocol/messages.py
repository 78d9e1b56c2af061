"""The typed messages on the channels between hosts."""

from dataclasses import dataclass

from msgspec import Struct

from ..state.customers import NO_CUSTOMER, Precedence
from ..state.feeds import FeedChange, FeedEntry, StoreContact, StorePosition
from ..state.forwarding import ForwardedRequest
from ..state.outcome import Outcome
from ..state.quarantine import Strike

FORMAT = 1


class BadFrameError(Exception):
    """The bytes are not a valid message; `problem` is the reason."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """The first message in each direction: the sender and its format version."""

    format: int = FORMAT
    deployment: str
    host: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks for a Pong, to check that the channel works in both directions."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Pong:
    """The answer to a Ping."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GoingAway:
    """The sender is stopping: it finishes running requests and accepts no new ones."""


class ShardRef(Struct, frozen=True, kw_only=True):
    """A shard to search, and the group of replicas that serves it."""

    shard: str
    group: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GreatestOptions:
    """Asks for the greatest records of all shards, merged, not for each shard's answer.

    `request` is forwarded to the backend servers unchanged. `goal_ms` is the time until
    an answer is wanted; for a part of it the receiver delays its results, so that most
    of its shards share one message. `max_attempts` is per shard. `priority` ranks the
    query among others; 0 is the most urgent. `is_repeat` is set if another host was
    asked for these shards before. Only servers in `data_centres` may run the query; an
    empty tuple allows all. `customer` and `weight` are those of the calls.
    """

    request: ForwardedRequest
    n_wanted: int
    goal_ms: int
    max_attempts: int
    priority: int
    is_repeat: bool
    data_centres: tuple[str, ...] = ()
    customer: str = ""
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Search:
    """One query, for those of its shards that the receiver owns.

    `left_ms` is the time to the deadline; it is relative, since hosts' clocks differ.
    `precedence` is that of the calls, unless `greatest` has it.
    """

    request_id: str
    service: str
    version: int
    left_ms: int
    body: bytes
    shards: tuple[ShardRef, ...]
    greatest: GreatestOptions | None = None
    precedence: Precedence = NO_CUSTOMER


class ShardAnswer(Struct, frozen=True, kw_only=True):
    """The outcome for one shard, and the index versions that its server now serves.

    `n_servers` counts the servers that the owner sent the call to.
    """

    shard: str
    server: str
    outcome: Outcome
    versions: tuple[int, ...] = ()
    n_servers: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """Outcomes of a Search, sent as they arrive and batched where possible.

    If the greatest records are asked for, `records` holds those of all answers in this
    message, and the bodies of the answers are empty.
    """

    answers: tuple[ShardAnswer, ...]
    records: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """The coordinator no longer wants these shards of a Search."""

    shards: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that is not idempotent; the receiver forwards it at most once."""

    request_id: str
    service: str
    group: str
    left_ms: int
    body: bytes
    precedence: Precedence = NO_CUSTOMER


@dataclass(frozen=True, kw_only=True, slots=True)
class RunOutcome:
    """The outcome of a Run."""

    server: str
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class Fetch:
    """Asks for a document at a version of at least `at_least`."""

    name: str
    at_least: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """The sender's copy of a document; version 0 if it has none that is new enough."""

    name: str
    version: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketRequest:
    """A request about one ticket; `verb` names its kind, see `protocol.tickets`."""

    verb: str
    ticket: str
    body: bytes = b""
    outcome: Outcome | None = None
    left_ms: int = 0
    precedence: Precedence = NO_CUSTOMER


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketReply:
    """The reply to a TicketRequest, with the outcome if one is known."""

    verdict: str
    outcome: Outcome | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedUpdate:
    """Changes of a feed that the sender has just read from the store; no reply.

    `changes` are all changes from `base` to `position`, which are of one epoch. If it
    is empty, the message confirms that the store had nothing newer a moment ago.
    `fingerprint` is that of the sender's copy after the changes; a receiver with the
    same fingerprint is up to date, whatever positions the two copies have. With
    `should_relay` the receiver relays the message to the other hosts of its data
    centre. `contact` is the sender's, from which receivers tell an outage of the store
    from the loss of other hosts.
    """

    feed: str
    base: StorePosition
    position: StorePosition
    changes: tuple[FeedChange, ...]
    fingerprint: int
    should_relay: bool = False
    contact: StoreContact = StoreContact()


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedFetch:
    """Asks for the receiver's copy of a feed.

    With `hashes`, the hashes of the sender's buckets, only differing buckets are sent.
    """

    feed: str
    hashes: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedState:
    """All entries of a feed at a position; the first one if the sender has no copy.

    With `buckets` only the entries of these buckets; the others do not differ.
    """

    feed: str
    position: StorePosition
    entries: tuple[FeedEntry, ...]
    buckets: tuple[int, ...] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class StrikeReport:
    """A strike that the sender observed; no reply.

    Sent directly, since the caller's retry may reach another host milliseconds later,
    before the store has distributed the strike. With `should_relay` the receiver relays
    the message to the other hosts of its data centre.
    """

    strike: Strike
    should_relay: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Asks for up to `n` permits, each for one request of a customer."""

    customer: str
    n: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitGrant:
    """The reply to a PermitRequest: `n` permits, valid for `valid_ms`.

    If there are none, a permit is expected in `next_ms`, and the refused request may
    come back in `retry_ms`. `is_counting` is set if the sender counts in full for the
    customer, so that `n_used` in the last window is the use at all hosts.
    """

    n: int
    valid_ms: int
    next_ms: int
    retry_ms: int
    is_counting: bool
    n_used: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReturn:
    """Returns `n` permits that were not used; no reply."""

    customer: str
    n: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HandoverRequest:
    """Asks the receiver to stop counting for a customer, as the sender is first."""

    customer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CountHandover:
    """The reply to a HandoverRequest, or unasked from a host that leaves.

    `tokens` are those left if the sender `was_counting`. `rank` is the sender's if it
    sees the receiver ranked first, else 0. `is_sure` is unset if the sender started too
    recently to know who counted. `gone` are the hosts that went silently, with the
    milliseconds since, out of `n_hosts`.
    """

    customer: str
    tokens: float
    was_counting: bool
    rank: int
    is_sure: bool
    gone: tuple[tuple[str, int], ...] = ()
    n_hosts: int = 0


Message = (
    Hello
    | Ping
    | Pong
    | GoingAway
    | Search
    | Answers
    | Cancel
    | Run
    | RunOutcome
    | Fetch
    | Document
    | TicketRequest
    | TicketReply
    | FeedUpdate
    | FeedFetch
    | FeedState
    | StrikeReport
    | PermitRequest
    | PermitGrant
    | PermitReturn
    | HandoverRequest
    | CountHandover
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A message with an id, by which replies are matched to their request."""

    id: int
    message: Message
