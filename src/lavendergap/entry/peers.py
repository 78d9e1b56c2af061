"""Serves the requests of peers on their channels."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import trio

from .. import metrics
from ..coordination.calls import Call, FinishCall
from ..coordination.documents import Documents
from ..coordination.records import merge_greatest
from ..protocol.messages import (
    Answers,
    Cancel,
    CountHandover,
    Document,
    FeedFetch,
    FeedState,
    FeedUpdate,
    Fetch,
    Frame,
    GreatestOptions,
    HandoverRequest,
    PermitRequest,
    PermitReturn,
    Run,
    RunOutcome,
    Search,
    ShardAnswer,
    StrikeReport,
    TicketReply,
    TicketRequest,
)
from ..state.outcome import Answered, NotRun, Reason, Step, is_server_end
from ..transport.channel import Channel
from .batch import SubmittedCall
from .owner import Owner

# Limit of the results that `split_answers` puts into one frame, well below the peer's
# limit of a whole frame. A single result is at most this large.
MAX_BATCH_BYTES = 1024 * 1024


# The share of the time to the goal for which an owner holds answers back while it waits
# for other shards. A higher one leaves too little time to join and reply; with a lower
# one, records of each shard cross between data centres separately.
HOLD_SHARE = 0.6


@dataclass(kw_only=True, slots=True)
class PendingSearch:
    """A peer's Search: its running calls and the answers not yet sent.

    Answers are sent at `hold_until`, or earlier once `release` is set. If their
    greatest records are asked for, the answers' bodies are kept in `bodies` instead.
    """

    calls: dict[str, Call] = field(default_factory=dict)
    answers: list[ShardAnswer] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    n_wanted: int = 0
    hold_until: float = 0.0
    release: trio.Event = field(default_factory=trio.Event)


class FeedService(Protocol):
    """The operations on this host's feeds that peers request."""

    def receive(self, update: FeedUpdate, *, host: str) -> None:
        """Apply a peer's update."""

    def make_state(self, fetch: FeedFetch) -> FeedState:
        """Return this host's copy of a feed, or the parts that differ."""

    def receive_strike(self, report: StrikeReport) -> None:
        """Apply a peer's strike."""


class LimitHandler(Protocol):
    """The part of the limits' service that peers request."""

    def handle(self, channel: Channel, frame: Frame) -> None:
        """Serve a message about limits."""


class PeerService:
    """Serves peers' requests; ticket requests are passed to `answer_ticket`.

    `may_begin` returns whether work with a deadline, in seconds on the event loop's
    clock, may begin. If not, the peer has it done by another host.
    """

    def __init__(
        self,
        *,
        owner: Owner,
        documents: Documents,
        nursery: trio.Nursery,
        answer_ticket: Callable[[TicketRequest], Awaitable[TicketReply]],
        feeds: FeedService | None = None,
        limits: LimitHandler | None = None,
        may_begin: Callable[[float], bool] = lambda deadline: True,
    ) -> None:
        self._may_begin = may_begin
        self._limits = limits
        self._feeds = feeds
        self._owner = owner
        self._documents = documents
        self._nursery = nursery
        self._answer_ticket = answer_ticket
        self._pending_by_channel: dict[Channel, dict[int, PendingSearch]] = {}

    def handle(self, channel: Channel, frame: Frame) -> None:
        """Serve one request of a peer; replies are sent as they become available."""
        match frame.message:
            case Search() as search:
                self._search(channel, frame.id, search)
            case Cancel(shards=shards):
                self._cancel(channel, frame.id, shards)
            case Run() as run:
                self._run(channel, frame.id, run)
            case Fetch() as fetch:
                self._fetch(channel, frame.id, fetch)
            case TicketRequest() as ask:
                self._nursery.start_soon(
                    self._answer_ticket_request, channel, frame.id, ask
                )
            case FeedUpdate() as update if self._feeds is not None:
                if channel.peer is not None:
                    self._feeds.receive(update, host=channel.peer.host)
            case FeedFetch() as fetch if self._feeds is not None:
                state = self._feeds.make_state(fetch)
                channel.send(Frame(id=frame.id, message=state))
            case StrikeReport() as report if self._feeds is not None:
                self._feeds.receive_strike(report)
            case (
                PermitRequest() | PermitReturn() | HandoverRequest() | CountHandover()
            ) if self._limits is not None:
                self._limits.handle(channel, frame)
            case _:
                metrics.rejected_input.labels("peers", "unexpected message").inc()

    def drop(self, channel: Channel) -> None:
        """Cancel the pending searches of a lost channel's peer."""
        for pending in self._pending_by_channel.pop(channel, {}).values():
            self._owner.cancel(list(pending.calls.values()))

    def _search(self, channel: Channel, frame_id: int, search: Search) -> None:
        now = trio.current_time()
        deadline = now + search.left_ms / 1_000
        if not self._may_begin(deadline):
            self._refuse_search(channel, frame_id, search)
            return
        greatest = search.greatest
        goal = 0.0
        pending = PendingSearch()
        if greatest is not None:
            pending.n_wanted = greatest.n_wanted
            goal = now + greatest.goal_ms / 1_000
            pending.hold_until = now + HOLD_SHARE * (goal - now)
        self._pending_by_channel.setdefault(channel, {})[frame_id] = pending

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            outcome = end.outcome
            body = b""
            if pending.n_wanted and isinstance(outcome, Answered):
                body = outcome.body
                outcome = Answered(
                    body=b"", status=outcome.status, headers=outcome.headers
                )
            answer = ShardAnswer(
                shard=end.call.shard,
                server=end.server,
                outcome=outcome,
                versions=versions,
                n_servers=end.n_servers,
            )
            self._collect(channel, frame_id, pending, answer, body)

        make_call = partial(
            Call,
            request_id=search.request_id,
            version=0 if greatest else search.version,
            deadline=deadline,
            body=search.body,
            idempotent=True,
            forward=greatest.request if greatest else None,
            max_attempts=greatest.max_attempts if greatest else 0,
            is_repeat=greatest.is_repeat if greatest else False,
            goal_at=goal,
            priority=(greatest or search.precedence).priority,
            kind=search.service if greatest else "",
            no_retry_after_server_end=greatest is not None,
            data_centres=_read_data_centres(greatest),
            customer=(greatest or search.precedence).customer,
            weight=(greatest or search.precedence).weight,
        )
        submitted = []
        for ref in search.shards:
            call = make_call(
                call_id=self._owner.make_call_id(),
                service=ref.group if greatest else search.service,
                group=ref.group,
                shard=ref.shard,
            )
            pending.calls[ref.shard] = call
            submitted.append(SubmittedCall(call=call, finish=finish))
        if submitted:
            self._owner.submit(submitted)

    def _refuse_search(self, channel: Channel, frame_id: int, search: Search) -> None:
        refused = [
            ShardAnswer(
                shard=ref.shard,
                server="",
                outcome=_make_stopping(ref.group),
                versions=(),
                n_servers=0,
            )
            for ref in search.shards
        ]
        for batch in split_answers(refused):
            channel.send(Frame(id=frame_id, message=Answers(answers=batch)))

    def _collect(
        self,
        channel: Channel,
        frame_id: int,
        pending: PendingSearch,
        answer: ShardAnswer,
        body: bytes,
    ) -> None:
        """Add an answer to those of the next flush.

        Answers of one iteration of the event loop share a message. The end of a server
        is not held back, since the coordinator has to act on it: it asks another server
        or gives up.
        """
        if pending.calls.pop(answer.shard, None) is None:
            return
        if not pending.calls or is_server_end(answer.outcome):
            pending.release.set()
        if not pending.answers:
            self._nursery.start_soon(self._flush, channel, frame_id, pending)
        pending.answers.append(answer)
        if body:
            pending.bodies.append(body)

    async def _flush(
        self, channel: Channel, frame_id: int, pending: PendingSearch
    ) -> None:
        with trio.move_on_at(pending.hold_until):
            await pending.release.wait()
        answers, pending.answers = pending.answers, []
        if pending.n_wanted:
            # One list of the size that the caller asked for crosses between data
            # centres, not one for each shard.
            bodies, pending.bodies = pending.bodies, []
            records = merge_greatest(bodies, n_wanted=pending.n_wanted)
            merged = Answers(answers=tuple(answers), records=records)
            channel.send(Frame(id=frame_id, message=merged))
        else:
            for batch in split_answers(answers):
                channel.send(Frame(id=frame_id, message=Answers(answers=batch)))
        if not pending.calls:
            self._pending_by_channel.get(channel, {}).pop(frame_id, None)

    def _cancel(self, channel: Channel, frame_id: int, shards: tuple[str, ...]) -> None:
        pending = self._pending_by_channel.get(channel, {}).get(frame_id)
        if pending is None:
            return
        calls = [pending.calls.pop(s) for s in shards if s in pending.calls]
        self._owner.cancel(calls)
        if not pending.calls:
            pending.release.set()
            self._pending_by_channel[channel].pop(frame_id, None)

    def _run(self, channel: Channel, frame_id: int, run: Run) -> None:
        deadline = trio.current_time() + run.left_ms / 1_000
        if not self._may_begin(deadline):
            refused = RunOutcome(server="", outcome=_make_stopping(run.group))
            channel.send(Frame(id=frame_id, message=refused))
            return
        call = Call(
            call_id=self._owner.make_call_id(),
            request_id=run.request_id,
            service=run.service,
            group=run.group,
            shard="",
            version=0,
            deadline=deadline,
            body=run.body,
            idempotent=False,
            priority=run.precedence.priority,
            customer=run.precedence.customer,
            weight=run.precedence.weight,
        )

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            ran = RunOutcome(server=end.server, outcome=end.outcome)
            channel.send(Frame(id=frame_id, message=ran))

        self._owner.submit([SubmittedCall(call=call, finish=finish)])

    def _fetch(self, channel: Channel, frame_id: int, fetch: Fetch) -> None:
        held = self._documents.get(fetch.name)
        reply = Document(name=fetch.name, version=0, body=b"")
        if held is not None and held.version >= fetch.at_least:
            reply = Document(name=fetch.name, version=held.version, body=held.body)
        channel.send(Frame(id=frame_id, message=reply))

    async def _answer_ticket_request(
        self, channel: Channel, frame_id: int, ask: TicketRequest
    ) -> None:
        reply = await self._answer_ticket(ask)
        channel.send(Frame(id=frame_id, message=reply))


def _make_stopping(group: str) -> NotRun:
    return NotRun(step=Step.ROUTE, peer=group, reason=Reason.STOPPING)


def _read_data_centres(greatest: GreatestOptions | None) -> frozenset[str] | None:
    if greatest is None or not greatest.data_centres:
        return None
    return frozenset(greatest.data_centres)


def split_answers(answers: list[ShardAnswer]) -> list[tuple[ShardAnswer, ...]]:
    """Return the answers in batches of at most about `MAX_BATCH_BYTES` each.

    The peer closes a channel on a frame that is too long, as one with the large results
    of many shards would be, and every retry would fail in the same way.
    """
    batches: list[list[ShardAnswer]] = [[]]
    n_bytes = 0
    for answer in answers:
        match answer.outcome:
            case Answered(body=body):
                size = len(body)
            case _:
                size = 0
        if batches[-1] and n_bytes + size > MAX_BATCH_BYTES:
            batches.append([])
            n_bytes = 0
        batches[-1].append(answer)
        n_bytes += size
    return [tuple(batch) for batch in batches]
