"""Customers in the soak test: their requests, their changes and the checks of both."""

import itertools
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random

import h11
import trio

from standins.customers import (
    CUSTOMER_HEADER,
    KEY_HEADER,
    CustomerEntry,
    ReceivedRequest,
    make_key,
)
from standins.leafservers import Leaf

from .gateways import READY_LIMIT_S, Answer, Gateway, Platform
from .proxy import Proxy

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0
BOUNDS = {
    "limit_window_s": WINDOW_S,
    "limit_overage": OVERAGE,
    "limit_slack": SLACK,
}
# A version is in force on all hosts within this time of its acknowledgement. One second
# more is allowed for a busy machine.
APPLY_LIMIT_S = 5.0
APPLY_SLACK_S = 1.0
# A fault of a host or of the store may delay a change by as much.
DISTURBANCE_S = 4.5
# The counting host of a customer settles for 9 s after a silent loss of another host.
SETTLED_S = 10.0
CHECK_INTERVAL_S = 0.2
PUBLIC_PATH = "/open/"
DEADLINE_MS = 1_500
SEND_INTERVAL_S = 0.02
# The share of requests that also name another customer.
FORGED_SHARE = 0.2
# Violations of one kind that are reported in a run.
MAX_REPORTS = 3

CheckAnswer = Callable[[str, str, Answer], None]


def has_customers(seed: int) -> bool:
    """Return whether the run of this seed has customers: two of four seeds do."""
    return seed % 4 < 2


@dataclass(kw_only=True, slots=True)
class LimitHistory:
    """The limits of one customer with the time since when each has been in force."""

    entries: list[tuple[float, float]] = field(default_factory=list)
    run_times: deque[float] = field(default_factory=deque)
    most: int = 0

    def append(self, at: float, customer: CustomerEntry) -> None:
        """Record the limit that the manifest states from `at` on."""
        allowed = customer.rate_per_s * WINDOW_S + customer.burst
        self.entries.append((at, allowed))

    def append_again(self, at: float) -> None:
        """Record that a restored store may have stated any of the limits at `at`."""
        last = self.entries[-1][1]
        self.entries += [(at, max(allowed for _, allowed in self.entries)), (at, last)]

    def get_bound(self, at: float) -> float:
        """Return how many requests may have run in the window that ends at `at`."""
        since = at - WINDOW_S - APPLY_LIMIT_S - DISTURBANCE_S
        ends = [end for end, _ in self.entries[1:]] + [at]
        in_force = [
            allowed
            for (_, allowed), end in zip(self.entries, ends, strict=True)
            if end >= since
        ]
        return max(in_force) * (1 + OVERAGE) + SLACK

    def count_run(self, at: float) -> tuple[int, float]:
        """Count a request; return how many ran in its window, and how many may."""
        self.run_times.append(at)
        while self.run_times[0] <= at - WINDOW_S:
            self.run_times.popleft()
        self.most = max(self.most, len(self.run_times))
        return len(self.run_times), self.get_bound(at)


@dataclass(frozen=True, kw_only=True, slots=True)
class SentRequest:
    """A request whose key is that of `customer`, on a route that may be public."""

    customer: CustomerEntry
    key: str
    at: float
    is_public: bool = False


class SoakCustomers:
    """The customers of one run, with the checks of their keys and limits.

    `proxy` is the hosts' way to the store; it cuts off one host when a key is removed.
    `is_calm_since` returns whether no fault of a host or of the store came after a
    time, `write` writes a newer version of the manifest, and `check` checks an answer.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        proxy: Proxy,
        random: Random,
        report: Callable[[str], None],
        is_calm_since: Callable[[float], bool],
    ) -> None:
        # "regular" sends the requests of runs without customers.
        self.regular = CustomerEntry(name="regular", priority=1)
        self.calm = CustomerEntry(name="calm", rate_per_s=4, burst=8)
        self.greedy = CustomerEntry(name="greedy", rate_per_s=4, burst=8, priority=2)
        self.lowered = CustomerEntry(name="lowered", rate_per_s=8, burst=16)
        self.leaver = CustomerEntry(
            name="leaver", keys=[make_key() for _ in range(3)], priority=1
        )
        limited = [self.calm, self.greedy, self.lowered]
        platform.customers = [self.regular, self.leaver, *limited]
        platform.bounds = BOUNDS
        self.answers: Counter[tuple[str, int]] = Counter()
        self._platform = platform
        self._proxy = proxy
        self._random = random
        self._report_violation = report
        self._n_reports: Counter[str] = Counter()
        self._is_calm_since = is_calm_since
        self._removed_at: dict[str, float] = {}
        self._sent: dict[str, SentRequest] = {}
        self._counted: set[str] = set()
        self._limits = {each.name: LimitHistory() for each in limited}
        for each in limited:
            self._limits[each.name].append(trio.current_time(), each)

    def note_restore(self) -> None:
        """Record that the store was restored from an older copy."""
        for history in self._limits.values():
            history.append_again(trio.current_time())

    def _report(self, kind: str, text: str) -> None:
        self._n_reports[kind] += 1
        if self._n_reports[kind] <= MAX_REPORTS:
            self._report_violation(f"{kind}: {text}")

    # Callers.

    def make_headers(self, attempt: str, path: str) -> list[tuple[str, str]]:
        """Return the headers of a request of "regular", some with a forged name."""
        key = self.regular.keys[0]
        is_public = path == PUBLIC_PATH
        self._sent[attempt] = SentRequest(
            customer=self.regular, key=key, at=trio.current_time(), is_public=is_public
        )
        headers = [(KEY_HEADER, key)]
        if is_public or self._random.random() < FORGED_SHARE:
            headers.append((CUSTOMER_HEADER, self.greedy.name))
        return headers

    async def run(
        self,
        *,
        list_leaves: Callable[[], Iterable[Leaf]],
        write: Callable[[], None],
        check: CheckAnswer,
    ) -> None:
        """Send requests, change customers and check servers, until cancelled."""
        senders = [
            (self.calm, self.calm.keys[0], 2.0),
            (self.greedy, self.greedy.keys[0], 32.0),
            (self.lowered, self.lowered.keys[0], 20.0),
            *((self.leaver, key, 2.0) for key in self.leaver.keys),
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_servers, list_leaves)
            nursery.start_soon(self._change, write)
            for number in itertools.count():
                for index, (customer, key, rate_per_s) in enumerate(senders):
                    if self._random.random() < rate_per_s * SEND_INTERVAL_S:
                        attempt = f"{customer.name}-{index}-{number}"
                        nursery.start_soon(self._send, customer, key, attempt, check)
                await trio.sleep(SEND_INTERVAL_S)

    async def _send(
        self, customer: CustomerEntry, key: str, attempt: str, check: CheckAnswer
    ) -> None:
        gateway = self._random.choice(self._platform.gateways)
        self._sent[attempt] = SentRequest(
            customer=customer, key=key, at=trio.current_time()
        )
        with trio.move_on_after(DEADLINE_MS / 1_000 + 1.0):
            try:
                answer = await self._platform.request(
                    gateway, "/one/", attempt=attempt, deadline_ms=DEADLINE_MS, key=key
                )
            except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                return
            check("/one/", attempt, answer)

    def check_answer(self, attempt: str, answer: Answer) -> None:
        """Check the status of an answer against the customer's key and limit."""
        sent = self._sent[attempt]
        name = sent.customer.name
        self.answers[name, answer.status] += 1
        removed_at = self._removed_at.get(sent.key)
        if answer.status == HTTPStatus.UNAUTHORIZED:
            if removed_at is None:
                self._report("401 for a valid key", f"{attempt} of {name}")
        elif answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            if not sent.customer.rate_per_s:
                self._report("429 without a limit", f"{attempt} of {name}")
            elif sent.customer is self.calm and self._is_calm_since(
                sent.at - SETTLED_S
            ):
                self._report("429 below the limit", f"{attempt} of {name}")
        elif removed_at is not None:
            late_s = sent.at - removed_at - APPLY_LIMIT_S - APPLY_SLACK_S
            if late_s > 0 and self._is_calm_since(removed_at - DISTURBANCE_S):
                self._report(
                    "removed key accepted",
                    f"{attempt}: {answer.status} {sent.at - removed_at:.1f} s later",
                )

    # Changes of the manifest.

    async def _change(self, write: Callable[[], None]) -> None:
        """Lower a limit to a quarter and remove a key, at random times."""
        await trio.sleep(self._random.uniform(0.5, 2.0))
        self.lowered.rate_per_s /= 4
        self.lowered.burst /= 4
        write()
        self._limits[self.lowered.name].append(trio.current_time(), self.lowered)
        await trio.sleep(self._random.uniform(0.5, 2.0))
        await self._remove_key(write)

    async def _remove_key(self, write: Callable[[], None]) -> str:
        """Remove a key while one host loses the store; return the key."""
        key = self.leaver.keys.pop(0)
        gateway = self._platform.gateways[-1]
        self._proxy.cut_off(gateway.has_port)
        self._removed_at[key] = trio.current_time()
        write()
        await trio.sleep(APPLY_LIMIT_S + APPLY_SLACK_S)
        self._proxy.cut_off(lambda port: False)
        return key

    # Checks.

    async def _check_servers(self, list_leaves: Callable[[], Iterable[Leaf]]) -> None:
        """Check what servers receive until cancelled."""
        while True:
            received: list[ReceivedRequest] = []
            for leaf in list_leaves():
                received += leaf.received
                leaf.received.clear()
            for each in sorted(received, key=lambda each: each.at):
                self._check_received(each)
            await trio.sleep(CHECK_INTERVAL_S)

    def _check_received(self, received: ReceivedRequest) -> None:
        attempt = received.attempt
        if received.has_key:
            self._report("key sent to a server", attempt)
        sent = self._sent.get(attempt)
        if sent is None:
            return
        expected = "" if sent.is_public else sent.customer.name
        if received.customer != expected:
            self._report(
                "wrong customer", f"{attempt} of {expected!r}: {received.customer!r}"
            )
        history = self._limits.get(expected)
        if received.is_run and attempt not in self._counted and history is not None:
            self._counted.add(attempt)
            n_runs, bound = history.count_run(received.at)
            if n_runs > bound:
                self._report(
                    "limit exceeded",
                    f"{n_runs} requests of {expected} in {WINDOW_S:.0f} s, "
                    f"at most {bound:.0f} may run",
                )

    async def _ask_until_answered(self, gateway: Gateway, key: str) -> Answer | None:
        """Return the first answer of a host that may still be starting, else None."""
        with trio.move_on_after(READY_LIMIT_S):
            while True:
                try:
                    return await self._platform.request(gateway, "/one/", key=key)
                except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
                    await trio.sleep(CHECK_INTERVAL_S)
        return None

    async def check_end(self, write: Callable[[], None]) -> None:
        """Remove a key without other faults, and check it on every host."""
        key = await self._remove_key(write)
        for gateway in self._platform.gateways:
            for tried, is_valid in ((key, False), (self.leaver.keys[0], True)):
                answer = await self._ask_until_answered(gateway, tried)
                if answer is None:
                    self._report("no answer", f"from {gateway.name}")
                elif (answer.status == HTTPStatus.UNAUTHORIZED) is is_valid:
                    kind = "401 for a valid key" if is_valid else "removed key accepted"
                    self._report(kind, f"{answer.status} from {gateway.name}")
        most = {name: history.most for name, history in self._limits.items()}
        print(f"most in {WINDOW_S:.0f} s: {most}; {dict(self.answers)}", flush=True)
