"""Customers' limits on an entry host, with bounds and timing from its settings."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import trio

from ..coordination.limits.hosts import STALL_S
from ..coordination.membership import Membership
from ..protocol.answers import Refusal, SearchResult
from ..state.customers import Customer, CustomerTable
from ..state.outcome import NotRun, Outcome
from ..state.settings import Settings
from ..transport.callers import CallerRequest
from ..transport.dialer import Dialer
from .counting import CountingService
from .fleet import Fleet
from .limitchannels import LimitChannels
from .limits import LimitService

GOSSIP_DELAY_S = 1.05
"""Until the loss of a host that one other has detected is known to all."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CountedRequest:
    """A request that is counted for its customer; `goal` is on the loop's clock."""

    customer: Customer | None
    goal: float


class EntryLimits:
    """Counts the queries of this host's callers and the requests of its tickets."""

    def __init__(
        self,
        *,
        own_name: str,
        membership: Membership,
        fleet: Fleet,
        dialer: Dialer,
        nursery: trio.Nursery,
        random: Random,
        get_customers: Callable[[], CustomerTable | None],
        settings: Settings,
    ) -> None:
        self._get_customers = get_customers
        channels = LimitChannels(fleet=fleet, dialer=dialer, nursery=nursery)
        self.counting = CountingService(
            own_name=own_name,
            membership=membership,
            channels=channels,
            nursery=nursery,
            random=random,
            get_customers=get_customers,
            bounds=settings.limits,
        )
        self._service = LimitService(
            counting=self.counting,
            fleet=fleet,
            channels=channels,
            nursery=nursery,
            random=random,
        )
        self.run = self._service.run
        self.replace(settings)

    def replace(self, settings: Settings) -> None:
        """Apply new settings."""
        control = settings.control
        suspect_s = control.suspect_ms / 1_000
        probe_s = (control.probe_interval_ms + control.probe_timeout_ms) / 1_000
        self.counting.replace_bounds(settings.limits)
        view = self.counting.view
        view.detection_s = probe_s + suspect_s + GOSSIP_DELAY_S
        view.stall_s = min(STALL_S, suspect_s / 2)

    async def search(
        self,
        request: CallerRequest,
        search: Callable[[CallerRequest], Awaitable[SearchResult | Refusal]],
    ) -> SearchResult | Refusal:
        """Answer a query within its customer's limit."""
        counted = CountedRequest(customer=request.customer, goal=request.deadline)
        refusal = await self._service.admit(counted)
        if refusal is not None:
            return Refusal(request_id=request.request_id, outcome=refusal)
        result = await search(request)
        if isinstance(result, Refusal) and isinstance(result.outcome, NotRun):
            self._service.give_back(counted)
        return result

    async def run_ticket(
        self, name: str, deadline: float, run: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Run the request of a ticket issued here within its customer's limit."""
        table = self._get_customers()
        customer = table.customers.get(name) if table else None
        counted = CountedRequest(customer=customer, goal=deadline)
        outcome: Outcome | None = await self._service.admit(counted)
        if outcome is None:
            outcome = await run()
            if isinstance(outcome, NotRun):
                self._service.give_back(counted)
        return outcome
