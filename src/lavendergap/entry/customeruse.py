"""What a host reports in its status of the customers that it counted or refused."""

from collections.abc import Awaitable, Callable

import trio

from ..coordination.limits.bucket import WindowCount
from ..coordination.limits.counts import CountStatus
from ..state.outcome import NotRun
from ..transport.gateway import GatewayRequest
from .counting import CountingService
from .status import CountingRole, CustomerStatus

Admit = Callable[[GatewayRequest], Awaitable[NotRun | None]]


class CustomerUse:
    """Counts the refusals of each customer here; wraps the function that admits."""

    def __init__(self, *, admit: Admit, counting: CountingService) -> None:
        self._admit = admit
        self._counting = counting
        self._refused: dict[str, WindowCount] = {}

    async def admit(self, request: GatewayRequest) -> NotRun | None:
        """Admit a request, or return why not."""
        refusal = await self._admit(request)
        if refusal is not None and request.customer is not None:
            name = request.customer.name
            if name not in self._refused:
                window_s = self._counting.view.window_s
                self._refused[name] = WindowCount(window_s=window_s)
            self._refused[name].add(1, now=trio.current_time())
        return refusal

    def list_customers(self) -> list[CustomerStatus]:
        """Return the customers with a limit that were counted or refused here."""
        now = trio.current_time()
        table = self._counting.table
        customers = table.customers if table else {}
        refused = {
            name: round(count.read(now=now)) for name, count in self._refused.items()
        }
        self._refused = {n: each for n, each in self._refused.items() if refused[n]}
        counts = {count.customer: count for count in self._counting.list_counts()}
        found = []
        for name in sorted(
            counts.keys() | {n for n, times in refused.items() if times}
        ):
            customer = customers.get(name)
            if customer is None or not customer.has_limit:
                continue
            count = counts.get(name)
            found.append(
                CustomerStatus(
                    name=name,
                    rate_per_s=customer.rate_per_s,
                    burst=customer.burst,
                    n_used=count.n_used if count else 0,
                    n_refused=refused.get(name, 0),
                    counted_by=self._counting.view.rank(name)[0],
                    role=find_role(count) if count else "",
                )
            )
        return found

    def count_customers(self) -> int:
        """Return the number of customers with a limit."""
        table = self._counting.table
        customers = table.customers.values() if table else ()
        return sum(customer.has_limit for customer in customers)


def find_role(count: CountStatus) -> CountingRole:
    """Return how a host counts for a customer for which it was asked."""
    if count.is_counting:
        return "full" if count.share >= 1.0 else "share"
    if count.is_first:
        return "settling"
    return "substitute" if count.n_used else ""
