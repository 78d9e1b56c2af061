"""One query over the owners of its shards: who is asked, and what is made of it."""

import logging
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field

import trio

from .. import metrics
from ..coordination.calls import Call, FinishCall
from ..coordination.gate import is_slow
from ..coordination.hedging import HEDGE_GOAL_SHARE
from ..coordination.joining import ROUNDING, Join
from ..coordination.pinning import Pinning
from ..coordination.records import merge_greatest
from ..logs import log_decision
from ..protocol.answers import Refusal, SearchResult, ShardResult
from ..protocol.forwarding import JoinedRecords
from ..protocol.messages import (
    Answers,
    Cancel,
    Frame,
    Greatest,
    Message,
    Search,
    ShardAnswer,
    ShardRef,
)
from ..state.forwarding import ForwardedRequest, Headers
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import AnswerByGoal, Service
from ..state.snapshot import Shard, Snapshot
from ..transport.channel import Channel, Exchange, Loss
from ..transport.dialer import Dialer
from .batch import Wanted
from .fleet import Fleet
from .owner import Owner

logger = logging.getLogger("lavendergap.route")

# A shard whose owner was lost goes to the host ranked next, and once more after
# that: two lost in one query is a rack, more is a data centre, and by then most of
# the deadline is gone.
MAX_OWNERS_TRIED = 3
# An owner of which no byte has come after this share of the time left is pinged, and
# after the second share it is lost: its shards go to the hosts ranked next while
# there is time. A live owner answers a ping within a turn of its loop.
PING_SHARE = 0.2
LOSE_SHARE = 0.45
# However soon the goal is, an owner has this long to show that it lives, in seconds. A
# weak host that has just been sent 25 calls, or reads new routes, answers a ping after
# 20 to 40 ms, and on a loaded day after more. Taken for lost at 15, its work was done
# twice, by others as busy; at 50 busy ones were still passed over for 2 s. What is
# asked again comes after the goal of a search at either time, so that nothing is lost
# by waiting.
SHORTEST_LOSS = 0.15
# A channel may take this long to open, in seconds, before its owner is lost: a new one
# takes 20 to 100 ms at a weak host. At a fifth of the time to the goal, 7 ms of a quick
# look, live owners were passed over for 2 s. Half of a search's goal is left after it,
# and as nothing has been sent, the next owner may do all that the lost one might.
SHORTEST_DIAL = 0.05
# A check that comes later than it was due by this many seconds tells of this process.
OWN_STALL = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class GreatestWanted:
    """A query for the `n_wanted` greatest records of all shards.

    `goal` is the time on the loop's clock by which an answer is wanted; `request`
    goes to one server of each shard, and to `max_attempts` at most. One that
    `is_suspect` goes to a server of one shard first, and to the others once one has
    answered: a server may have ended under it. With `data_centres` only servers there
    may run it, and only hosts there may own its shards, beside this one.
    """

    request: ForwardedRequest
    n_wanted: int
    max_attempts: int
    priority: int
    goal: float
    is_suspect: bool = False
    data_centres: frozenset[str] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """A caller's query; `deadline` is in seconds on the loop's clock."""

    request_id: str
    service: Service
    body: bytes
    started: float
    deadline: float
    greatest: GreatestWanted | None = None


@dataclass(kw_only=True, slots=True)
class Part:
    """The shards of a query that one owner was asked for, and those still open."""

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
class Parked:
    """A shard that nobody is asked for until some server has answered the query.

    `host` is the owner whose server ended under it; None before any was asked.
    """

    shard: Shard
    host: str | None = None


class SearchRun:
    """One query at one snapshot.

    `ended_servers` are those that ended under it, as far as it has heard.
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
        self._parked: list[Parked] = []
        self._parts: list[Part] = []
        self._tried: dict[str, list[str]] = {}
        self._n_uncertain: Counter[str] = Counter()
        self._refusals: list[NotRun] = []
        self._may_have_run = False
        self._records: list[bytes] = []
        self._proofs: dict[str, Headers] = {}
        self._horizon = query.deadline
        if query.greatest is not None:
            self._horizon = min(query.deadline, query.greatest.goal)
        self._began = trio.current_time()
        self._times: list[float] = []
        self._progress = trio.Event()
        self._cut_at: float | None = None
        self._join = Join(
            snapshot=snapshot,
            policy=query.service.stragglers,
            started=query.started,
            deadline=query.deadline,
        )

    @property
    def needs_newer_snapshot(self) -> bool:
        """Whether a shard lacks this index version and another one may do."""
        return self._join.needs_newer_snapshot

    @property
    def is_congested(self) -> bool:
        """Whether the groups refused part of it, or answered late as a whole."""
        limit = self._query.deadline - self._began
        return bool(self._refusals) or is_slow(self._times, limit=limit)

    @property
    def has_answer(self) -> bool:
        """Whether any server has answered."""
        return bool(self._proofs)

    async def run(self) -> SearchResult | Refusal:
        """Ask every owner, join the answers, give up when policy or time say so."""
        await self._collect()
        return self._conclude()

    async def run_greatest(self, after: ExitStack) -> JoinedRecords | NotRun | Unknown:
        """Do the same, for the greatest records of all shards together.

        What is left to do once the caller has its answer is put on `after`: telling
        each owner that its stragglers are not wanted takes a weak host milliseconds,
        and an answer that is cut shortly before the goal has none to lose.
        """
        after.callback(self._withdraw)
        await self._search()
        return self._conclude_greatest()

    async def _collect(self) -> None:
        try:
            await self._search()
        finally:
            self._withdraw()

    async def _search(self) -> None:
        shards = list(self._snapshot.shards)
        greatest = self._query.greatest
        if greatest is not None and greatest.is_suspect:
            # A canary: sent to all, it would end a server of each shard.
            self._parked = [Parked(shard=shard) for shard in shards[1:]]
            shards = shards[:1]
        self._send(shards)
        await self._wait()

    async def _wait(self) -> None:
        while True:
            # What is asked for now may be refused at once, with nothing to wait for.
            self._check_parked()
            if self._join.is_done or self._join.needs_newer_snapshot:
                break
            limit = self._query.deadline
            wake_at = self._join.next_wake()
            if wake_at is not None:
                limit = min(limit, wake_at)
            for part in self._parts:
                limit = min(limit, part.check_at)
            self._progress = trio.Event()
            with trio.move_on_at(limit):
                await self._progress.wait()
            now = trio.current_time()
            self._advance_join(now)
            self._check_parts(now)
            if now >= self._query.deadline:
                break

    def _advance_join(self, now: float) -> None:
        wake_at = self._join.next_wake()
        self._join.advance(now=now)
        if self._join.is_done:
            self._cut_at = wake_at

    def _check_parts(self, now: float) -> None:
        """Find owners that are silent while there is still time to ask others."""
        for part in list(self._parts):
            if now < part.check_at:
                continue
            channel = part.channel
            if not part.open_shards or (
                channel is not None and channel.has_received_since(part.sent_at)
            ):
                part.check_at = float("inf")
            elif now - part.check_at > OWN_STALL:
                # This process was late itself, and what the owner sent may lie
                # unread in the socket. Blamed for that, live owners would be passed
                # over, and a second one fill the same slots, on each busy moment.
                part.check_at = now + OWN_STALL
            elif channel is not None and not part.is_pinged:
                part.is_pinged = True
                lose_at = self._share_time(part.sent_at, LOSE_SHARE)
                lose_at = max(lose_at, part.sent_at + SHORTEST_LOSS)
                part.check_at = max(lose_at, now + OWN_STALL)
                channel.ping()
            elif channel is None and now < part.sent_at + SHORTEST_DIAL:
                part.check_at = part.sent_at + SHORTEST_DIAL
            else:
                part.check_at = float("inf")
                self._lose(part, Loss.SILENT)

    def _share_time(self, since: float, share: float) -> float:
        return since + share * (max(self._horizon, since) - since)

    def _send(self, shards: list[Shard], *, is_repeat: bool = False) -> None:
        by_host: dict[str, list[Shard]] = {}
        for shard in shards:
            host = self._choose_owner(shard)
            if host is None:
                self._miss(shard, Reason.NO_REPLICA, shard.group)
            else:
                by_host.setdefault(host, []).append(shard)
        log_decision(
            logger,
            "route",
            request_id=self._query.request_id,
            version=self._snapshot.version,
            owners={host: len(part) for host, part in by_host.items()},
        )
        for host, part in by_host.items():
            self._send_part(host, part, is_repeat=is_repeat)

    def _choose_owner(self, shard: Shard) -> str | None:
        tried = self._tried.setdefault(shard.name, [])
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
        return is_own or self._fleet.stands_in(host, greatest.data_centres)

    def _send_part(self, host: str, shards: list[Shard], *, is_repeat: bool) -> None:
        now = trio.current_time()
        part = Part(
            host=host,
            sent_at=now,
            is_repeat=is_repeat,
            open_shards={shard.name: shard for shard in shards},
        )
        self._parts.append(part)
        if host == self._fleet.own_name:
            self._submit(part, shards)
            return
        channel = self._dialer.get_open(host)
        if channel is not None:
            self._ask(part, channel)
        else:
            part.check_at = self._share_time(now, PING_SHARE)
            self._progress.set()
            self._nursery.start_soon(self._dial_and_ask, part)

    def _submit(self, part: Part, shards: list[Shard]) -> None:
        query = self._query
        greatest = query.greatest
        wanted = []
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
                is_repeat=part.is_repeat,
                wanted_by=greatest.goal if greatest else 0.0,
                priority=greatest.priority if greatest else 0,
                kind=query.service.name if greatest else "",
                ends_with_server=greatest is not None,
                data_centres=greatest.data_centres if greatest else None,
            )
            part.calls.append(call)
            wanted.append(
                Wanted(
                    call=call,
                    finish=lambda end, versions: self._finish(part, end, versions),
                )
            )
        self._owner.submit(wanted)

    def _finish(self, part: Part, end: FinishCall, versions: tuple[int, ...]) -> None:
        answer = ShardAnswer(
            shard=end.call.shard,
            server=end.server,
            outcome=end.outcome,
            versions=versions,
        )
        self._take(part, answer)

    async def _dial_and_ask(self, part: Part) -> None:
        address = self._fleet.get_address(part.host)
        if address is None:
            self._lose(part, Loss.REFUSED)
            return
        channel = await self._dialer.dial(part.host, address)
        if not part.open_shards:
            return
        if isinstance(channel, Loss):
            self._lose(part, channel)
        else:
            self._ask(part, channel)

    def _ask(self, part: Part, channel: Channel) -> None:
        query = self._query
        left = query.deadline - trio.current_time()
        part.channel = channel
        part.sent_at = trio.current_time()
        part.check_at = self._share_time(part.sent_at, PING_SHARE)
        self._progress.set()
        part.request_id = channel.request(
            Search(
                request_id=query.request_id,
                service=query.service.name,
                version=self._snapshot.version,
                left_ms=max(0, int(left * 1_000)),
                body=query.body,
                shards=tuple(
                    ShardRef(shard=s.name, group=s.group)
                    for s in part.open_shards.values()
                ),
                greatest=self._make_greatest(part),
            ),
            Exchange(
                reply=lambda message: self._take_message(part, message),
                lose=lambda loss: self._lose(part, loss),
            ),
        )

    def _make_greatest(self, part: Part) -> Greatest | None:
        greatest = self._query.greatest
        if greatest is None:
            return None
        left = greatest.goal - trio.current_time()
        return Greatest(
            request=greatest.request,
            n_wanted=greatest.n_wanted,
            goal_ms=max(0, int(left * 1_000)),
            max_attempts=min(map(self._count_attempts_left, part.open_shards)),
            priority=greatest.priority,
            is_repeat=part.is_repeat,
            data_centres=tuple(sorted(greatest.data_centres or ())),
        )

    def _take_message(self, part: Part, message: Message) -> None:
        match message:
            case Answers(answers=answers, records=records):
                if any(answer.shard not in part.open_shards for answer in answers):
                    # The records of a batch cannot be told apart by shard: with one
                    # that was given up or passed on, the whole batch is of no use.
                    self._lose_batch(part, answers)
                    return
                if records:
                    self._records.append(records)
                for answer in answers:
                    self._take(part, answer)
            case _:
                metrics.dropped_answers.labels("unexpected reply of a peer").inc()

    def _take(self, part: Part, answer: ShardAnswer) -> None:
        shard = part.open_shards.pop(answer.shard, None)
        if shard is None:
            metrics.dropped_answers.labels("answer for a shard not asked for").inc()
            return
        if not part.open_shards and part.channel is not None:
            part.channel.forget(part.request_id)
        now = trio.current_time()
        if self._pinning is not None:
            self._pinning.observe(shard=shard.name, versions=answer.versions, now=now)
        match answer.outcome:
            case NotRun(reason=Reason.STOPPING | Reason.UNKNOWN_SERVICE):
                # Its owner stops, or has just started and knows no groups yet: it has
                # sent nothing, and the host ranked next can do all of it. Told to the
                # caller instead, each start of a host cost it the searches of a tenth
                # of a second.
                self._send([shard])
                return
            case NotRun(reason=Reason.VERSION_GONE) if self._pinning is not None:
                self._lose_version(self._pinning, shard, answer, now)
                return
            case NotRun() as refusal:
                self._refusals.append(refusal)
            case Unknown(reason=Reason.SERVER_ENDED) if self._query.greatest:
                self._may_have_run = True
                self._n_uncertain[shard.name] += 1
                self.ended_servers.append(answer.server)
                self._parked.append(Parked(shard=shard, host=part.host))
                self._progress.set()
                return
            case Unknown():
                self._may_have_run = True
            case Answered(body=body, headers=headers):
                self._times.append(now - self._began)
                self._proofs[shard.name] = headers
                if body and self._query.greatest is not None:
                    self._records.append(body)
        self._join.add(answer.shard, answer.outcome, answer.server, now=now)
        self._progress.set()

    def _check_parked(self) -> None:
        """Ask for what is parked once a server has answered, or give it up.

        A request that ends each server that runs it would else take a group's second
        server within milliseconds of the first, and leave no caller any. What one
        server answers does not end servers, and is asked for elsewhere.
        """
        while self._parked:
            if self._proofs:
                parked, self._parked = self._parked, []
                self._unpark(parked)
            elif any(part.open_shards for part in self._parts):
                return
            elif self.ended_servers:
                parked, self._parked = self._parked, []
                for each in parked:
                    self._miss_ended(each.shard)
            else:
                # Nobody has run it yet, as the first one's servers are busy or gone.
                self._unpark([self._parked.pop(0)])

    def _unpark(self, parked: list[Parked]) -> None:
        by_host: dict[str, list[Shard]] = {}
        unasked = []
        for each in parked:
            if each.host is None:
                unasked.append(each.shard)
            elif self._count_attempts_left(each.shard.name) > 0:
                by_host.setdefault(each.host, []).append(each.shard)
            else:
                self._miss_ended(each.shard)
        if unasked:
            self._send(unasked)
        # The same owner again: it knows which server has ended, and is the near one.
        for host, shards in by_host.items():
            self._send_part(host, shards, is_repeat=True)

    def _lose_batch(self, part: Part, answers: tuple[ShardAnswer, ...]) -> None:
        metrics.dropped_answers.labels("answer for a shard not asked for").inc()
        for answer in answers:
            shard = part.open_shards.pop(answer.shard, None)
            if shard is not None:
                self._miss(shard, Reason.STRAGGLER, part.host)

    def _lose_version(
        self, pinning: Pinning, shard: Shard, answer: ShardAnswer, now: float
    ) -> None:
        """Start over at another snapshot, or do without the shard if there is none."""
        version = self._snapshot.version
        pinning.mark_gone(shard=shard.name, version=version, now=now)
        outcome = answer.outcome
        if pinning.choose(now=now).version == version:
            outcome = Unknown(
                step=Step.PIN, peer=answer.server, reason=Reason.VERSION_GONE
            )
        self._join.add(shard.name, outcome, answer.server, now=now)
        self._progress.set()

    def _lose(self, part: Part, loss: Loss) -> None:
        """Send what a lost owner had not answered to the hosts ranked next."""
        if not part.open_shards:
            return
        shards = list(part.open_shards.values())
        part.open_shards.clear()
        self._cancel(part, tuple(shard.name for shard in shards))
        now = trio.current_time()
        self._fleet.shun(part.host, now=now)
        log_decision(
            logger,
            "owner lost",
            request_id=self._query.request_id,
            host=part.host,
            loss=loss.value,
            n_shards=len(shards),
        )
        # Nothing has been sent to an owner to which no channel was open yet.
        is_uncertain = loss is not Loss.REFUSED and part.channel is not None
        if is_uncertain:
            self._may_have_run = True
            n_sent = self._count_sent(part, now)
            self._n_uncertain.update({shard.name: n_sent for shard in shards})
        if now < self._query.deadline:
            self._send_again(shards, part.host, is_repeat=is_uncertain)

    def _send_again(self, shards: list[Shard], host: str, *, is_repeat: bool) -> None:
        """Send to other owners what a lost one may have sent to servers already.

        The route bounds the servers that may get a request. What owners that were lost
        with it may have sent has taken some of them: without that a request for two
        servers reached three and four, when owners were busy and not dead. Where none
        is left the shard is missed at once, and the caller may ask again.
        """
        repeated = []
        for shard in shards:
            if self._count_attempts_left(shard.name) > 0:
                repeated.append(shard)
            else:
                self._miss(shard, Reason.LOST_CONNECTION, host)
        if repeated:
            self._send(repeated, is_repeat=is_repeat)

    def _count_sent(self, part: Part, now: float) -> int:
        """Return to how many servers a lost owner may have sent each of its calls.

        To one as long as it was too early to hedge, and else to all that it might.
        """
        greatest = self._query.greatest
        if greatest is None or now < self._share_time(part.sent_at, HEDGE_GOAL_SHARE):
            return 1
        return greatest.max_attempts

    def _count_attempts_left(self, shard: str) -> int:
        """Return to how many servers one more owner may send the call of a shard."""
        greatest = self._query.greatest
        if greatest is None:
            return 1  # The product's own queries bound attempts at each owner.
        return greatest.max_attempts - self._n_uncertain[shard]

    def _miss(
        self, shard: Shard, reason: Reason, peer: str, *, step: Step = Step.ROUTE
    ) -> None:
        outcome: Outcome = Unknown(step=step, peer=peer, reason=reason)
        self._join.add(shard.name, outcome, "", now=trio.current_time())
        self._progress.set()

    def _miss_ended(self, shard: Shard) -> None:
        server = self.ended_servers[0]
        self._miss(shard, Reason.SERVER_ENDED, server, step=Step.RECEIVE)

    def _withdraw(self) -> None:
        """Cancel whatever is still open: nobody waits for it any more."""
        for part in self._parts:
            if not part.open_shards:
                continue
            self._may_have_run = True
            names = tuple(part.open_shards)
            part.open_shards.clear()
            if part.channel is None:
                open_calls = [call for call in part.calls if call.shard in names]
                self._owner.cancel(open_calls)
            else:
                self._cancel(part, names)

    def _cancel(self, part: Part, names: tuple[str, ...]) -> None:
        """Tell an owner that these shards are no longer wanted of it."""
        if part.channel is not None:
            part.channel.forget(part.request_id)
            part.channel.send(Frame(id=part.request_id, message=Cancel(shards=names)))

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

    def _conclude_greatest(self) -> JoinedRecords | NotRun | Unknown:
        greatest = self._query.greatest
        assert greatest is not None
        coverage = self._join.coverage()
        policy = self._query.service.stragglers
        assert isinstance(policy, AnswerByGoal)
        # Records stand for exactly the shards whose proofs are named; were the two
        # counts ever to differ, the answer would claim what it does not hold.
        is_consistent = coverage.n_answered == len(self._proofs)
        is_enough = coverage.share + ROUNDING >= policy.min_share
        if self._proofs and is_consistent and is_enough:
            return JoinedRecords(
                records=merge_greatest(self._records, n_wanted=greatest.n_wanted),
                # Answers go on coming until the rest is withdrawn.
                proofs=self._proofs.copy(),
                coverage=coverage,
                cut_at=self._cut_at,
            )
        # What is still open is withdrawn after the answer, and runs until then.
        is_open = any(part.open_shards for part in self._parts)
        may_have_run = self._may_have_run or is_open
        if self._refusals and not may_have_run and not self._proofs:
            return max(self._refusals, key=lambda refusal: refusal.retry_after_ms)
        first = coverage.missing[0]
        return Unknown(step=first.step, peer=first.peer, reason=first.reason)
