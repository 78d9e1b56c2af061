"""Forwards callers' requests unchanged to backend servers."""

from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from functools import lru_cache
from random import Random

import trio

from ..coordination.calls import Call, FinishCall
from ..coordination.routing import draw_group
from ..state.outcome import Answered, NotRun, Outcome, Reason, Step, is_server_end
from ..state.quarantine import Standing
from ..state.routes import GreatestOfAll, OneOf, Route
from ..state.settings import AnswerByGoal, Service
from ..state.snapshot import Shard, Snapshot
from ..transport.dialer import Dialer
from ..transport.gateway import GatewayRequest, GatewayResult
from .batch import SubmittedCall
from .fleet import Fleet
from .owner import Owner
from .quarantine import RequestQuarantine
from .search import GreatestQuery, Query, SearchRun

# More than an operator has routes over different sets of shards in use at a time.
MAX_CACHED_TARGETS = 64


class Forwarder:
    """Sends each request to the servers of its route and returns the outcome.

    `regions` holds the region of each data centre, for routes with home regions.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        owner: Owner,
        dialer: Dialer,
        nursery: trio.Nursery,
        random: Random,
        quarantine: RequestQuarantine,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self._regions = regions or {}
        self._quarantine = quarantine
        self._fleet = fleet
        self._owner = owner
        self._dialer = dialer
        self._nursery = nursery
        self._random = random

    async def forward(self, request: GatewayRequest, after: ExitStack) -> GatewayResult:
        """Forward a request until its deadline; the caller may cancel it before.

        Work that can wait until the request is answered is put on `after`.
        """
        standing = self._quarantine.get_standing(request.forward, request.body)
        if standing is Standing.HELD:
            return self._quarantine.refuse(
                request.forward, request.body, peer=request.route.name
            )
        is_suspect = standing is Standing.SUSPECT
        match request.route.target:
            case OneOf() as target:
                group = draw_group(target, self._random)
                if group is None:
                    return NotRun(
                        step=Step.ROUTE,
                        peer=request.route.name,
                        reason=Reason.UNKNOWN_SERVICE,
                    )
                return await self._forward_to_one(request, group, is_suspect, after)
            case GreatestOfAll() as target:
                return await self._query_all(request, target, is_suspect, after)

    def _add_strike(
        self, request: GatewayRequest, servers: Sequence[str], *, is_trial: bool
    ) -> None:
        """Announce a request that crashed servers to all hosts, before it is answered.

        The caller may retry at another host within milliseconds; treated there as an
        ordinary request, it would crash the groups' other servers.
        """
        self._quarantine.record_crashes(
            request.forward, request.body, servers=tuple(servers), is_trial=is_trial
        )

    def _note_answer(self, request: GatewayRequest) -> None:
        self._quarantine.record_answer(request.forward, request.body)

    def _list_home_data_centres(self, route: Route) -> frozenset[str] | None:
        """Return the data centres in which a route's requests may run; None for all."""
        if not route.home_regions:
            return None
        return frozenset(
            data_centre
            for data_centre, region in self._regions.items()
            if region in route.home_regions
        )

    async def _forward_to_one(
        self, request: GatewayRequest, group: str, is_suspect: bool, after: ExitStack
    ) -> Outcome:
        ended: list[FinishCall] = []
        done = trio.Event()

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            ended.append(end)
            done.set()

        call = Call(
            call_id=self._owner.make_call_id(),
            request_id=request.request_id,
            service=group,
            group=group,
            shard="",
            version=0,
            deadline=request.deadline,
            body=request.body,
            idempotent=request.route.idempotent,
            forward=request.forward,
            max_attempts=1 if is_suspect else request.route.max_attempts,
            priority=request.priority,
            kind=request.route.name,
            goal_at=request.goal,
            data_centres=self._list_home_data_centres(request.route),
            customer=_get_customer_name(request),
            weight=_get_weight(request),
        )
        self._owner.submit([SubmittedCall(call=call, finish=finish)])
        try:
            await done.wait()
        finally:
            if not ended:
                self._owner.cancel([call])
        [end] = ended
        servers = (end.server,) if is_server_end(end.outcome) else ()
        if servers:
            self._add_strike(request, servers, is_trial=is_suspect)
        elif isinstance(end.outcome, Answered):
            after.callback(self._note_answer, request)
        return end.outcome

    async def _query_all(
        self,
        request: GatewayRequest,
        target: GreatestOfAll,
        is_suspect: bool,
        after: ExitStack,
    ) -> GatewayResult:
        goal_ms = (request.goal - request.started) * 1_000
        run = SearchRun(
            query=Query(
                request_id=request.request_id,
                service=_make_service(request.route, target, goal_ms),
                body=request.body,
                started=request.started,
                deadline=request.deadline,
                greatest=GreatestQuery(
                    request=request.forward,
                    n_wanted=target.n_records,
                    max_attempts=request.route.max_attempts,
                    priority=request.priority,
                    goal=request.goal,
                    is_suspect=is_suspect,
                    data_centres=self._list_home_data_centres(request.route),
                    customer=_get_customer_name(request),
                    weight=_get_weight(request),
                ),
            ),
            snapshot=Snapshot(
                service=request.route.name,
                version=request.version,
                shards=_make_shards(target.groups),
            ),
            pinning=None,
            fleet=self._fleet,
            owner=self._owner,
            dialer=self._dialer,
            nursery=self._nursery,
        )
        try:
            return await run.run_greatest(after)
        finally:
            # Also if the caller has cancelled: servers may have crashed by then.
            if run.has_answer:
                after.callback(self._note_answer, request)
            elif run.ended_servers:
                self._add_strike(request, run.ended_servers, is_trial=is_suspect)


@lru_cache(maxsize=MAX_CACHED_TARGETS)
def _make_shards(groups: tuple[str, ...]) -> tuple[Shard, ...]:
    share = 1.0 / max(1, len(groups))
    return tuple(Shard(name=group, group=group, share=share) for group in groups)


def _get_customer_name(request: GatewayRequest) -> str:
    return "" if request.customer is None else request.customer.name


def _get_weight(request: GatewayRequest) -> float:
    return 1.0 if request.customer is None else request.customer.weight


def _make_service(route: Route, target: GreatestOfAll, goal_ms: float) -> Service:
    """Return a service with the route's settings, as a query needs one."""
    return Service(
        name=route.name,
        idempotent=True,
        groups=(),
        deadline_ms=route.timeout_ms,
        stragglers=AnswerByGoal(min_share=target.min_share, goal_ms=goal_ms),
        hedge_budget=0.0,
        hedge_after_quantile=0.0,
        retry_budget=0.0,
        queue_limit=0,
        max_body_bytes=0,
        weight=1.0,
    )
