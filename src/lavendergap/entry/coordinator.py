"""This host as the coordinator of its callers' queries."""

import logging

import trio

from ..coordination.pinning import Pinning
from ..logs import log_decision
from ..protocol.answers import Refusal, SearchResult
from ..transport.dialer import Dialer
from .admission import QueryAdmission
from .fleet import Fleet
from .owner import Owner
from .search import Query, SearchRun

logger = logging.getLogger("lavendergap.route")

MAX_SNAPSHOTS_TRIED = 3


class Coordinator:
    """Runs the queries of this host's callers over the owners of their shards."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        owner: Owner,
        dialer: Dialer,
        nursery: trio.Nursery,
        pinnings: dict[str, Pinning],
    ) -> None:
        self._fleet = fleet
        self._owner = owner
        self._dialer = dialer
        self._nursery = nursery
        self._pinnings = pinnings
        self._admissions: dict[str, QueryAdmission] = {}

    async def search(self, query: Query) -> SearchResult | Refusal:
        """Answer a query from one snapshot, by its deadline at the latest.

        A query that is refused here has reached no backend server.
        """
        admission = self._admissions.setdefault(query.service.name, QueryAdmission())
        admission.limiter.weight = query.service.weight
        refusal = await admission.enter(
            deadline=query.deadline, precedence=query.precedence
        )
        if refusal is not None:
            log_decision(
                logger,
                "query refused",
                request_id=query.request_id,
                service=query.service.name,
                n_running=admission.limiter.n_running,
                limit=round(admission.limiter.limit, 1),
                retry_after_ms=refusal.retry_after_ms,
            )
            return Refusal(request_id=query.request_id, outcome=refusal)
        started = trio.current_time()
        run: SearchRun | None = None
        try:
            run, result = await self._search_pinned(query)
        finally:
            admission.leave(
                started=started, is_congested=run is not None and run.is_congested
            )
        return result

    async def _search_pinned(
        self, query: Query
    ) -> tuple[SearchRun, SearchResult | Refusal]:
        """Run the query at a snapshot; retry at a newer one if its version is gone."""
        run: SearchRun | None = None
        result: SearchResult | Refusal | None = None
        for _ in range(MAX_SNAPSHOTS_TRIED):
            pinning = self._pinnings[query.service.name]
            snapshot = pinning.choose(now=trio.current_time())
            run = SearchRun(
                query=query,
                snapshot=snapshot,
                pinning=pinning,
                fleet=self._fleet,
                owner=self._owner,
                dialer=self._dialer,
                nursery=self._nursery,
            )
            result = await run.run()
            if not run.needs_newer_snapshot:
                break
            if trio.current_time() >= query.deadline:
                break
            log_decision(
                logger,
                "newer snapshot",
                request_id=query.request_id,
                gone_version=snapshot.version,
            )
        assert run is not None and result is not None
        return run, result
