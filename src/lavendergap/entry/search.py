"""Scatter-gather of one query: sends it to its shards' owners and joins the answers."""

import logging
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field

import trio

from .. import metrics
from ..coordination.calls import Call, FinishCall
from ..coordination.hedging import EARLIEST_HEDGE_SHARE
from ..coordination.joining import SHARE_TOLERANCE, Join
from ..coordination.pinning import Pinning
from ..coordination.querylimiter import is_slow
from ..coordination.records import merge_greatest
from ..logs import log_decision
from ..protocol.answers import Refusal, SearchResult, ShardResult
from ..protocol.forwarding import MergedRecords
from ..protocol.messages import (
    Answers,
    Cancel,
    Frame,
    GreatestOptions,
    Message,
    Search,
    ShardAnswer,
    ShardRef,
)
from ..state.customers import NO_CUSTOMER, Precedence
from ..state.forwarding import ForwardedRequest, Headers
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import AnswerByGoal, Service
from ..state.snapshot import Shard, Snapshot
from ..transport.channel import Channel, LossReason, ReplyHandlers
from ..transport.dialer import Dialer
from .batch import SubmittedCall
from .fleet import Fleet
from .owner import Owner

logger = logging.getLogger("lavendergap.route")

# Two lost owners cover the failure of a rack. After more, too little of the deadline
# is left for another attempt.
MAX_OWNERS_TRIED = 3
# Shares of the time left. An owner from which no byte has arrived is pinged after the
# first and given up after the second; its shards then go to the hosts ranked next.
PING_SHARE = 0.2
GIVE_UP_SHARE = 0.45
# An owner is not given up for silence before this, however close the goal is. A busy
# host answers a ping late; giving it up duplicates its work on hosts as busy, and it
# gets no new work for seconds. A weak host that has just been sent 25 calls, or reads
# new routes, answers after 20 to 40 ms; at 50 ms, busy hosts were still given up.
MIN_SILENCE_S = 0.15
# A channel has at least this long to open: a weak host takes 20 to 100 ms to accept
# one. With a fifth of the time to the goal, 7 ms for a quick query, live owners were
# given up. Nothing has been sent by then, so the next owner may still use all attempts.
MIN_DIAL_S = 0.05
# A check that runs later than this after it was due shows that this process was slow,
# not the owner.
LOCAL_DELAY_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class GreatestQuery:
    """A query for the `n_wanted` greatest records of all shards.

    `goal` is the time on the loop's clock by which an answer is wanted. `request` is
    sent to one server of each shard, or up to `max_attempts` with hedges and retries.
    A request that `is_suspect` may have crashed a server: it goes to a server of one
    shard first, and to the other shards once a server has answered. If `data_centres`
    is set, only servers there may run it, and only this host and hosts there may own
    its shards. `customer` and `weight` are those of the calls.
    """

    request: ForwardedRequest
    n_wanted: int
    max_attempts: int
    priority: int
    goal: float
    is_suspect: bool = False
    data_centres: frozenset[str] | None = None
    customer: str = ""
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """A caller's query; `started` and `deadline` are in seconds on the loop's clock.

    `precedence` is that of its calls, unless `greatest` has it.
    """

    request_id: str
    service: Service
    body: bytes
    started: float
    deadline: float
    greatest: GreatestQuery | None = None
    precedence: Precedence = NO_CUSTOMER


@dataclass(kw_only=True, slots=True)
class SubQuery:
    """The shards of a query sent to one owner, and those it has not answered yet."""

    host: str
    channel: Channel | None = None
    request_id: int = 0
    sent_at: float = 0.0
    check_at: float = float("inf")
    is_pinged: bool = False
    is_repeat: bool = False
    calls: list[Call] = field(default_factory=list)
    open_shards: dict[str, Shard] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class DeferredShard:
    """A shard that is not sent to any owner until a server has answered the query.

    `host` is the owner whose server crashed on it; None if it was not sent yet.
    """

    shard: Shard
    host: str | None = None


class SearchRun:
    """One query at one snapshot.

    `ended_servers` are the servers that are known to have crashed while running it.
    """

    def __init__(
        self,
        *,
        query: Query,
        snapshot: Snapshot,
        pinning: Pinning | None,
        fleet: Fleet,
        owner: Owner,
        dialer: Dialer,
        nursery: trio.Nursery,
    ) -> None:
        self._query = query
        self._snapshot = snapshot
        self._pinning = pinning
        self._fleet = fleet
        self._owner = owner
        self._dialer = dialer
        self._nursery = nursery
        self.ended_servers: list[str] = []
        self._deferred: list[DeferredShard] = []
        self._sub_queries: list[SubQuery] = []
        self._owners_tried: dict[str, list[str]] = {}
        self._n_possible_attempts: Counter[str] = Counter()
        self._refusals: list[NotRun] = []
        self._may_have_run = False
        self._records: list[bytes] = []
        self._proofs: dict[str, Headers] = {}
        self._answer_by = query.deadline
        if query.greatest is not None:
            self._answer_by = min(query.deadline, query.greatest.goal)
        self._run_started = trio.current_time()
        self._response_times: list[float] = []
        self._progress = trio.Event()
        self._wait_ends_at: float | None = None
        self._join = Join(
            snapshot=snapshot,
            policy=query.service.stragglers,
            started=query.started,
            deadline=query.deadline,
        )

    @property
    def needs_newer_snapshot(self) -> bool:
        """Whether a shard lacks this index version and another one may be complete."""
        return self._join.needs_newer_snapshot

    @property
    def is_congested(self) -> bool:
        """Whether groups refused calls, or most shards answered slowly."""
        limit = self._query.deadline - self._run_started
        return bool(self._refusals) or is_slow(self._response_times, limit=limit)

    @property
    def has_answer(self) -> bool:
        """Whether any server has answered."""
        return bool(self._proofs)

    async def run(self) -> SearchResult | Refusal:
        """Query every owner and join the answers, as long as policy and deadline allow.

        Calls that are still open are cancelled before it returns.
        """
        await self._search_and_cancel()
        return self._conclude()

    async def run_greatest(self, after: ExitStack) -> MergedRecords | NotRun | Unknown:
        """Query every owner for the greatest records of all shards together.

        Open calls are cancelled by a callback on `after`, once the caller has its
        answer: sending the cancellations first could delay the answer past its goal.
        """
        after.callback(self._cancel_open)
        await self._search()
        return self._conclude_greatest()

    async def _search_and_cancel(self) -> None:
        try:
            await self._search()
        finally:
            self._cancel_open()

    async def _search(self) -> None:
        shards = list(self._snapshot.shards)
        greatest = self._query.greatest
        if greatest is not None and greatest.is_suspect:
            # Sent to all shards at once, it could crash a server of each.
            self._deferred = [DeferredShard(shard=shard) for shard in shards[1:]]
            shards = shards[:1]
        self._send(shards)
        await self._wait()

    async def _wait(self) -> None:
        while True:
            # Before the join is checked, as shards sent now may be refused at once.
            self._check_deferred()
            if self._join.is_done or self._join.needs_newer_snapshot:
                break
            limit = self._query.deadline
            wake_at = self._join.next_wake()
            if wake_at is not None:
                limit = min(limit, wake_at)
            for sub_query in self._sub_queries:
                limit = min(limit, sub_query.check_at)
            self._progress = trio.Event()
            with trio.move_on_at(limit):
                await self._progress.wait()
            now = trio.current_time()
            self._advance_join(now)
            self._check_sub_queries(now)
            if now >= self._query.deadline:
                break

    def _advance_join(self, now: float) -> None:
        wake_at = self._join.next_wake()
        self._join.advance(now=now)
        if self._join.is_done:
            self._wait_ends_at = wake_at

    def _check_sub_queries(self, now: float) -> None:
        """Ping silent owners; give them up while others still have time to answer."""
        for sub_query in list(self._sub_queries):
            if now < sub_query.check_at:
                continue
            channel = sub_query.channel
            if not sub_query.open_shards or (
                channel is not None and channel.has_received_since(sub_query.sent_at)
            ):
                sub_query.check_at = float("inf")
            elif now - sub_query.check_at > LOCAL_DELAY_S:
                # This process was late itself, and the owner's reply may lie unread
                # in the socket. Giving the owner up would repeat its calls elsewhere
                # whenever this host is busy.
                sub_query.check_at = now + LOCAL_DELAY_S
            elif channel is not None and not sub_query.is_pinged:
                sub_query.is_pinged = True
                give_up_at = self._time_at_share(sub_query.sent_at, GIVE_UP_SHARE)
                give_up_at = max(give_up_at, sub_query.sent_at + MIN_SILENCE_S)
                sub_query.check_at = max(give_up_at, now + LOCAL_DELAY_S)
                channel.ping()
            elif channel is None and now < sub_query.sent_at + MIN_DIAL_S:
                sub_query.check_at = sub_query.sent_at + MIN_DIAL_S
            else:
                sub_query.check_at = float("inf")
                self._handle_loss(sub_query, LossReason.SILENT)

    def _time_at_share(self, since: float, share: float) -> float:
        return since + share * (max(self._answer_by, since) - since)

    def _send(self, shards: list[Shard], *, is_repeat: bool = False) -> None:
        by_host: dict[str, list[Shard]] = {}
        for shard in shards:
            host = self._choose_owner(shard)
            if host is None:
                self._add_missing(shard, Reason.NO_REPLICA, shard.group)
            else:
                by_host.setdefault(host, []).append(shard)
        log_decision(
            logger,
            "query sent",
            request_id=self._query.request_id,
            version=self._snapshot.version,
            owners={host: len(owned) for host, owned in by_host.items()},
        )
        for host, owned in by_host.items():
            self._send_to_owner(host, owned, is_repeat=is_repeat)

    def _choose_owner(self, shard: Shard) -> str | None:
        tried = self._owners_tried.setdefault(shard.name, [])
        if len(tried) >= MAX_OWNERS_TRIED:
            return None
        for host in self._fleet.rank(shard.group):
            if host not in tried and self._may_own(host):
                tried.append(host)
                return host
        return None

    def _may_own(self, host: str) -> bool:
        greatest = self._query.greatest
        if greatest is None or greatest.data_centres is None:
            return True
        is_own = host == self._fleet.own_name
        return is_own or self._fleet.is_in_data_centre(host, greatest.data_centres)

    def _send_to_owner(
        self, host: str, shards: list[Shard], *, is_repeat: bool
    ) -> None:
        now = trio.current_time()
        sub_query = SubQuery(
            host=host,
            sent_at=now,
            is_repeat=is_repeat,
            open_shards={shard.name: shard for shard in shards},
        )
        self._sub_queries.append(sub_query)
        if host == self._fleet.own_name:
            self._submit_locally(sub_query, shards)
            return
        channel = self._dialer.get_open(host)
        if channel is not None:
            self._send_over(sub_query, channel)
        else:
            sub_query.check_at = self._time_at_share(now, PING_SHARE)
            self._progress.set()
            self._nursery.start_soon(self._dial_and_send, sub_query)

    def _submit_locally(self, sub_query: SubQuery, shards: list[Shard]) -> None:
        query = self._query
        greatest = query.greatest
        submitted = []
        for shard in shards:
            call = Call(
                call_id=self._owner.make_call_id(),
                request_id=query.request_id,
                service=shard.group if greatest else query.service.name,
                group=shard.group,
                shard=shard.name,
                version=0 if greatest else self._snapshot.version,
                deadline=query.deadline,
                body=query.body,
                idempotent=True,
                forward=greatest.request if greatest else None,
                max_attempts=self._count_attempts_left(shard.name) if greatest else 0,
                is_repeat=sub_query.is_repeat,
                goal_at=greatest.goal if greatest else 0.0,
                priority=(greatest or query.precedence).priority,
                kind=query.service.name if greatest else "",
                no_retry_after_server_end=greatest is not None,
                data_centres=greatest.data_centres if greatest else None,
                customer=(greatest or query.precedence).customer,
                weight=(greatest or query.precedence).weight,
            )
            sub_query.calls.append(call)
            submitted.append(
                SubmittedCall(
                    call=call,
                    finish=lambda end, versions: self._finish(sub_query, end, versions),
                )
            )
        self._owner.submit(submitted)

    def _finish(
        self, sub_query: SubQuery, end: FinishCall, versions: tuple[int, ...]
    ) -> None:
        answer = ShardAnswer(
            shard=end.call.shard,
            server=end.server,
            outcome=end.outcome,
            versions=versions,
            n_servers=end.n_servers,
        )
        self._handle_answer(sub_query, answer, trio.current_time())

    async def _dial_and_send(self, sub_query: SubQuery) -> None:
        address = self._fleet.get_address(sub_query.host)
        if address is None:
            self._handle_loss(sub_query, LossReason.REFUSED)
            return
        channel = await self._dialer.dial(sub_query.host, address)
        if not sub_query.open_shards:
            return
        if isinstance(channel, LossReason):
            self._handle_loss(sub_query, channel)
        else:
            self._send_over(sub_query, channel)

    def _send_over(self, sub_query: SubQuery, channel: Channel) -> None:
        query = self._query
        left = query.deadline - trio.current_time()
        sub_query.channel = channel
        sub_query.sent_at = trio.current_time()
        sub_query.check_at = self._time_at_share(sub_query.sent_at, PING_SHARE)
        self._progress.set()
        sub_query.request_id = channel.request(
            Search(
                request_id=query.request_id,
                service=query.service.name,
                version=self._snapshot.version,
                left_ms=max(0, int(left * 1_000)),
                body=query.body,
                shards=tuple(
                    ShardRef(shard=s.name, group=s.group)
                    for s in sub_query.open_shards.values()
                ),
                greatest=self._make_greatest(sub_query),
                precedence=query.precedence,
            ),
            ReplyHandlers(
                on_reply=lambda message: self._handle_message(sub_query, message),
                on_loss=lambda loss: self._handle_loss(sub_query, loss),
            ),
        )

    def _make_greatest(self, sub_query: SubQuery) -> GreatestOptions | None:
        greatest = self._query.greatest
        if greatest is None:
            return None
        left = greatest.goal - trio.current_time()
        return GreatestOptions(
            request=greatest.request,
            n_wanted=greatest.n_wanted,
            goal_ms=max(0, int(left * 1_000)),
            max_attempts=self._count_fewest_attempts_left(sub_query),
            priority=greatest.priority,
            is_repeat=sub_query.is_repeat,
            data_centres=tuple(sorted(greatest.data_centres or ())),
            customer=greatest.customer,
            weight=greatest.weight,
        )

    def _handle_message(self, sub_query: SubQuery, message: Message) -> None:
        match message:
            case Answers(answers=answers, records=records):
                if any(answer.shard not in sub_query.open_shards for answer in answers):
                    # The records of a batch are not labelled by shard. If one shard was
                    # given up or sent elsewhere, the whole batch has to be discarded.
                    self._discard_batch(sub_query, answers)
                    return
                if records:
                    self._records.append(records)
                now = trio.current_time()
                for answer in answers:
                    self._handle_answer(sub_query, answer, now)
            case _:
                metrics.dropped_answers.labels("unexpected reply of a peer").inc()

    def _handle_answer(
        self, sub_query: SubQuery, answer: ShardAnswer, now: float
    ) -> None:
        shard = sub_query.open_shards.pop(answer.shard, None)
        if shard is None:
            metrics.dropped_answers.labels("answer for a shard not asked for").inc()
            return
        if not sub_query.open_shards and sub_query.channel is not None:
            sub_query.channel.forget(sub_query.request_id)
        if self._pinning is not None:
            self._pinning.observe(shard=shard.name, versions=answer.versions, now=now)
        match answer.outcome:
            case Answered(body=body, headers=headers):
                self._response_times.append(now - self._run_started)
                self._proofs[shard.name] = headers
                if body and self._query.greatest is not None:
                    self._records.append(body)
            case NotRun(reason=Reason.STOPPING | Reason.UNKNOWN_SERVICE):
                # The owner is stopping, or has just started and has no settings yet.
                # It has sent nothing, so the next host can do all of it; returning
                # the refusal would fail a tenth of a second's searches whenever a host
                # starts.
                self._send([shard])
                return
            case NotRun(reason=Reason.VERSION_GONE) if self._pinning is not None:
                self._handle_version_gone(self._pinning, shard, answer, now)
                return
            case NotRun() as refusal:
                self._refusals.append(refusal)
            case Unknown(reason=Reason.SERVER_ENDED) if self._query.greatest:
                self._may_have_run = True
                self._n_possible_attempts[shard.name] += answer.n_servers
                self.ended_servers.append(answer.server)
                self._deferred.append(DeferredShard(shard=shard, host=sub_query.host))
                self._progress.set()
                return
            case Unknown():
                self._may_have_run = True
        self._join.add(answer.shard, answer.outcome, answer.server, now=now)
        self._progress.set()

    def _check_deferred(self) -> None:
        """Send the deferred shards once a server has answered, or give them up.

        Retried at once, a request that crashes every server that runs it would take
        down all servers of a group. Once a server has answered the request, it is
        safe to send elsewhere.
        """
        while self._deferred:
            if self._proofs:
                deferred, self._deferred = self._deferred, []
                self._send_deferred(deferred)
            elif any(sub_query.open_shards for sub_query in self._sub_queries):
                return
            elif self.ended_servers:
                deferred, self._deferred = self._deferred, []
                for each in deferred:
                    self._add_server_ended(each.shard)
            else:
                # No server has run it yet: the first shard's were busy or unreachable.
                self._send_deferred([self._deferred.pop(0)])

    def _send_deferred(self, deferred: list[DeferredShard]) -> None:
        by_host: dict[str, list[Shard]] = {}
        unasked = []
        for each in deferred:
            if each.host is None:
                unasked.append(each.shard)
            elif self._count_attempts_left(each.shard.name) > 0:
                by_host.setdefault(each.host, []).append(each.shard)
            else:
                self._add_server_ended(each.shard)
        if unasked:
            self._send(unasked)
        # Back to the same owner, which has recorded the crashed server.
        for host, shards in by_host.items():
            self._send_to_owner(host, shards, is_repeat=True)

    def _discard_batch(
        self, sub_query: SubQuery, answers: tuple[ShardAnswer, ...]
    ) -> None:
        metrics.dropped_answers.labels("answer for a shard not asked for").inc()
        for answer in answers:
            shard = sub_query.open_shards.pop(answer.shard, None)
            if shard is not None:
                self._add_missing(shard, Reason.STRAGGLER, sub_query.host)

    def _handle_version_gone(
        self, pinning: Pinning, shard: Shard, answer: ShardAnswer, now: float
    ) -> None:
        """Mark the version gone; without another snapshot, report the shard missing."""
        version = self._snapshot.version
        pinning.record_refusal(shard=shard.name, version=version, now=now)
        outcome = answer.outcome
        if pinning.choose(now=now).version == version:
            outcome = Unknown(
                step=Step.PIN, peer=answer.server, reason=Reason.VERSION_GONE
            )
        self._join.add(shard.name, outcome, answer.server, now=now)
        self._progress.set()

    def _handle_loss(self, sub_query: SubQuery, loss: LossReason) -> None:
        """Send shards that a lost owner has not answered to the hosts ranked next."""
        if not sub_query.open_shards:
            return
        shards = list(sub_query.open_shards.values())
        sub_query.open_shards.clear()
        self._send_cancel(sub_query, tuple(shard.name for shard in shards))
        now = trio.current_time()
        self._fleet.avoid(sub_query.host, now=now)
        log_decision(
            logger,
            "owner lost",
            request_id=self._query.request_id,
            host=sub_query.host,
            loss=loss.value,
            n_shards=len(shards),
        )
        # Without an open channel, nothing had been sent to the owner.
        is_uncertain = loss is not LossReason.REFUSED and sub_query.channel is not None
        if is_uncertain:
            self._may_have_run = True
            n_sent = self._count_sent(sub_query, now)
            self._n_possible_attempts.update({shard.name: n_sent for shard in shards})
        if now < self._query.deadline:
            self._send_again(shards, sub_query.host, is_repeat=is_uncertain)

    def _send_again(self, shards: list[Shard], host: str, *, is_repeat: bool) -> None:
        """Send to other owners the shards that a lost owner had not answered.

        Attempts that a lost owner may have made count against the route's limit:
        the owner may be busy rather than dead, and the request would reach more
        servers than the route allows. A shard with no attempts left is reported
        missing at once.
        """
        repeated = []
        for shard in shards:
            if self._count_attempts_left(shard.name) > 0:
                repeated.append(shard)
            else:
                self._add_missing(shard, Reason.LOST_CONNECTION, host)
        if repeated:
            self._send(repeated, is_repeat=is_repeat)

    def _count_sent(self, sub_query: SubQuery, now: float) -> int:
        """Return how many servers a lost owner may have sent each of its calls to.

        One, if it was too early for a hedge; otherwise as many as the route allows.
        """
        greatest = self._query.greatest
        if greatest is None or now < self._time_at_share(
            sub_query.sent_at, EARLIEST_HEDGE_SHARE
        ):
            return 1
        return greatest.max_attempts

    def _count_attempts_left(self, shard: str) -> int:
        """Return how many servers the next owner may send the call of a shard to."""
        greatest = self._query.greatest
        if greatest is None:
            return 1  # A search has no such limit: each owner limits its attempts.
        return greatest.max_attempts - self._n_possible_attempts[shard]

    def _count_fewest_attempts_left(self, sub_query: SubQuery) -> int:
        greatest = self._query.greatest
        if greatest is not None and not self._n_possible_attempts:
            return greatest.max_attempts  # So it is until an owner is lost.
        return min(map(self._count_attempts_left, sub_query.open_shards))

    def _add_missing(
        self, shard: Shard, reason: Reason, peer: str, *, step: Step = Step.ROUTE
    ) -> None:
        outcome: Outcome = Unknown(step=step, peer=peer, reason=reason)
        self._join.add(shard.name, outcome, "", now=trio.current_time())
        self._progress.set()

    def _add_server_ended(self, shard: Shard) -> None:
        server = self.ended_servers[0]
        self._add_missing(shard, Reason.SERVER_ENDED, server, step=Step.RECEIVE)

    def _cancel_open(self) -> None:
        """Cancel all open calls, whose results are no longer needed."""
        for sub_query in self._sub_queries:
            if not sub_query.open_shards:
                continue
            self._may_have_run = True
            names = tuple(sub_query.open_shards)
            sub_query.open_shards.clear()
            if sub_query.channel is None:
                open_calls = [call for call in sub_query.calls if call.shard in names]
                self._owner.cancel(open_calls)
            else:
                self._send_cancel(sub_query, names)

    def _send_cancel(self, sub_query: SubQuery, names: tuple[str, ...]) -> None:
        """Cancel these shards' calls at an owner."""
        if sub_query.channel is not None:
            sub_query.channel.forget(sub_query.request_id)
            sub_query.channel.send(
                Frame(id=sub_query.request_id, message=Cancel(shards=names))
            )

    def _conclude(self) -> SearchResult | Refusal:
        results = self._join.results()
        query = self._query
        if not results and not self._may_have_run and self._refusals:
            worst = max(self._refusals, key=lambda refusal: refusal.retry_after_ms)
            return Refusal(request_id=query.request_id, outcome=worst)
        return SearchResult(
            request_id=query.request_id,
            service=query.service.name,
            version=self._snapshot.version,
            coverage=self._join.coverage(),
            results=tuple(
                ShardResult(shard=result.shard, result=result.body)
                for result in results
            ),
        )

    def _conclude_greatest(self) -> MergedRecords | NotRun | Unknown:
        greatest = self._query.greatest
        assert greatest is not None
        coverage = self._join.coverage()
        policy = self._query.service.stragglers
        assert isinstance(policy, AnswerByGoal)
        # The records must come from exactly the shards whose proofs are attached;
        # otherwise the answer would claim shards that it does not cover.
        is_consistent = coverage.n_answered == len(self._proofs)
        is_enough = coverage.share + SHARE_TOLERANCE >= policy.min_share
        if self._proofs and is_consistent and is_enough:
            return MergedRecords(
                records=merge_greatest(self._records, n_wanted=greatest.n_wanted),
                # A copy, as answers arrive until the open calls are cancelled.
                proofs=self._proofs.copy(),
                coverage=coverage,
                wait_ends_at=self._wait_ends_at,
            )
        # Open calls are cancelled only after the answer, and may run until then.
        is_open = any(sub_query.open_shards for sub_query in self._sub_queries)
        may_have_run = self._may_have_run or is_open
        if self._refusals and not may_have_run and not self._proofs:
            return max(self._refusals, key=lambda refusal: refusal.retry_after_ms)
        first = coverage.missing[0]
        return Unknown(step=first.step, peer=first.peer, reason=first.reason)
