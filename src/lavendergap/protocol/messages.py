"""The typed messages between entry processes on their channels."""

from dataclasses import dataclass

from ..state.feeds import FeedChange, FeedEntry
from ..state.forwarding import ForwardedRequest
from ..state.outcome import Outcome
from ..state.quarantine import Strike

FORMAT = 1


class BadFrameError(Exception):
    """Bytes that are no message of ours; `problem` says why."""

    def __init__(self, *, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """The first message each way: who speaks, and in which format."""

    format: int = FORMAT
    deployment: str
    host: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks for a Pong, to prove that the channel still carries bytes both ways."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Pong:
    """The answer to a Ping."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GoingAway:
    """The sender is stopping: it finishes what runs and wants nothing new."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardRef:
    """A shard to search, and the group of replicas that serves it."""

    shard: str
    group: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Greatest:
    """Asks for the greatest records of all shards together, not for each answer.

    `request` goes to the backend servers unchanged. `goal_ms` is the time until an
    answer is wanted; for a part of it the receiver holds back what it has, so that
    most of its shards share one message. `max_attempts` is for each shard,
    `priority` ranks the query among others (0 is the most urgent);
    `is_repeat` says that another host was asked for these shards before. Only servers
    in `data_centres` may run it; an empty tuple allows all.
    """

    request: ForwardedRequest
    n_wanted: int
    goal_ms: int
    max_attempts: int
    priority: int
    is_repeat: bool
    data_centres: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Search:
    """One query, for all the shards of it that the receiver owns.

    `left_ms` is the time until the deadline: clocks differ between hosts.
    """

    request_id: str
    service: str
    version: int
    left_ms: int
    body: bytes
    shards: tuple[ShardRef, ...]
    greatest: Greatest | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardAnswer:
    """The outcome for one shard, and the index versions its server now serves."""

    shard: str
    server: str
    outcome: Outcome
    versions: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Answers:
    """Outcomes of a Search, as they come; several in one message when they can.

    Where the greatest records are asked for, `records` holds those of all the
    answers in this message, and the answers' own bodies are empty.
    """

    answers: tuple[ShardAnswer, ...]
    records: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel:
    """The coordinator no longer wants these shards of a Search."""

    shards: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that is not idempotent: the receiver sends it on at most once."""

    request_id: str
    service: str
    group: str
    left_ms: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Ran:
    """What became of a Run."""

    server: str
    outcome: Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class Fetch:
    """Asks for a document at a version of at least `at_least`."""

    name: str
    at_least: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """A document as the sender has it; version 0 when it has none new enough."""

    name: str
    version: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketAsk:
    """An order or a question about one ticket; `verb` names which."""

    verb: str
    ticket: str
    body: bytes = b""
    outcome: Outcome | None = None
    left_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketReply:
    """The verdict on a TicketAsk, with the outcome where one is known."""

    verdict: str
    outcome: Outcome | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedNews:
    """What the store has just told the sender of a feed; wants no reply.

    `changes` are all between the revisions `base` and `revision`. Without any, it
    still says that the store had nothing newer a moment ago. `fingerprint` is that of
    the sender's copy with them: a receiver whose own is the same lacks nothing,
    whatever revisions the two have read it at. With `passes_on` the receiver tells the
    other hosts of its data centre the same.
    """

    feed: str
    base: int
    revision: int
    changes: tuple[FeedChange, ...]
    fingerprint: int
    passes_on: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedFetch:
    """Asks for a feed as the receiver has it.

    With `hashes`, those of the sender's buckets, only for the buckets that differ.
    """

    feed: str
    hashes: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedState:
    """All entries of a feed at a revision; 0 when the sender has none.

    With `buckets` all entries of these, the others being as the receiver has them.
    """

    feed: str
    revision: int
    entries: tuple[FeedEntry, ...]
    buckets: tuple[int, ...] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Struck:
    """A strike that the sender saw, ahead of the store's news; wants no reply.

    Its caller's repeat is at another host some milliseconds later. With `passes_on` the
    receiver tells the other hosts of its data centre the same.
    """

    strike: Strike
    passes_on: bool


Message = (
    Hello
    | Ping
    | Pong
    | GoingAway
    | Search
    | Answers
    | Cancel
    | Run
    | Ran
    | Fetch
    | Document
    | TicketAsk
    | TicketReply
    | FeedNews
    | FeedFetch
    | FeedState
    | Struck
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame:
    """A message with the id that ties replies to their request."""

    id: int
    message: Message
