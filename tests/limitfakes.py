"""Hosts that count limits, joined by a fake link with failures on a virtual clock."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from lavendergap.coordination.limits.counting import Counting
from lavendergap.coordination.limits.counts import Grant
from lavendergap.coordination.limits.hosts import HostView
from lavendergap.coordination.limits.permits import Permits, Refused
from lavendergap.state.customers import Customer, LimitBounds

BOUNDS = LimitBounds(window_s=5.0, overage=0.1, slack=20.0)
DETECT_S = (2.5, 4.0)
"""How long after its loss a host is seen as dead, drawn for each pair."""
NOTICE_S = (0.1, 0.8)
"""How long a start, a return or a departure takes to be seen."""
STEP_S = 0.05
REST_STEP_S = 0.9
"""Shorter than what a host takes for a stall."""
N_HINTS = 3
"""Hosts that the settings and the store name to one that starts."""


@dataclass(kw_only=True)
class FakeHost:
    """One host; `state` is up, dead (its port refuses), frozen or lost (silent)."""

    name: str
    incarnation: int
    view: HostView
    counting: Counting
    permits: Permits = field(default_factory=Permits)
    state: str = "up"
    side: int = 0
    leaving: bool = False
    seen: dict[str, int] = field(default_factory=dict)
    pending: dict[str, tuple[bool, float]] = field(default_factory=dict)


class FakeHosts:
    """All hosts of a deployment and one customer, whose runs are recorded."""

    def __init__(self, n_hosts: int, customer: Customer, *, seed: int = 1) -> None:
        self.now = 1_000.0
        self.random = Random(seed)
        self.customer: Customer = customer
        self.hosts: dict[str, FakeHost] = {}
        self.runs: list[float] = []
        self.results: dict[str, int] = {"run": 0, "limit": 0, "uncounted": 0}
        self.retries: list[float] = []
        for index in range(n_hosts):
            self.start(f"h{index:02d}")
        everyone = {h.name: h.incarnation for h in self.hosts.values()}
        for host in self.hosts.values():
            host.seen = dict(everyone)
            host.view.update(everyone, (), now=self.now)
            host.view.is_blind = False

    def start(self, name: str) -> FakeHost:
        """Start a host, or its next process."""
        before = self.hosts.get(name)
        view = HostView(own=name, window_s=BOUNDS.window_s, now=self.now)
        host = FakeHost(
            name=name,
            incarnation=before.incarnation + 1 if before else 1,
            view=view,
            counting=Counting(view=view, bounds=BOUNDS, random=self.random),
            side=before.side if before else 0,
        )
        self.hosts[name] = host
        return host

    def rank(self) -> list[str]:
        """Return all hosts in the order in which they count."""
        some = next(iter(self.hosts.values()))
        return some.view.sort(self.customer.name, self.hosts)

    def restart(self, name: str) -> None:
        """Start the next process of a host, which learns of those that it reaches."""
        host = self.start(name)
        host.seen = {
            h.name: h.incarnation for h in self.hosts.values() if self._reach(host, h)
        }
        host.view.update(host.seen, (), now=self.now)

    def leave(self, name: str) -> None:
        """Let a host stop gracefully and hand over."""
        host = self.hosts[name]
        host.leaving = True
        for _, heir, tokens in host.counting.leave(
            lambda _: self.customer, now=self.now
        ):
            if self._reach(host, self.hosts[heir]):
                self.hosts[heir].counting.receive_tokens(
                    self.customer, tokens, name, now=self.now
                )

    def _reach(self, a: FakeHost, b: FakeHost) -> bool:
        return a.state == b.state == "up" and a.side == b.side

    def _refuses(self, a: FakeHost, b: FakeHost) -> bool:
        return b.state == "dead" and a.side == b.side

    def rest(self, seconds: float) -> None:
        """Advance without requests, in longer steps."""
        for _ in range(round(seconds / REST_STEP_S)):
            self.step(REST_STEP_S)

    def step(self, seconds: float = STEP_S) -> None:
        """Advance the clock, and membership with its delays."""
        self.now = round(self.now + seconds, 3)
        for host in self.hosts.values():
            if host.state != "up":
                continue
            host.view.touch(now=self.now)
            if host.view.is_blind:
                self._inform(host)
            if self._update_members(host):
                leaving = {n for n in host.seen if self.hosts[n].leaving}
                members = {n: i for n, i in host.seen.items() if n not in leaving}
                host.view.update(members, leaving, now=self.now)

    def _inform(self, host: FakeHost) -> None:
        reached = [h for h in self.hosts.values() if self._reach(host, h)]
        for other in reached:
            if not other.view.is_blind:
                gone = other.view.list_gone(now=self.now)
                n_hosts = other.view.count_hosts()
                host.view.merge_gone(gone, n_hosts, now=self.now)
                host.view.is_blind = False
                return
        hints = list(self.hosts.values())[:N_HINTS]
        n_answered = sum(h is not host and h in reached for h in hints)
        is_named = host in hints
        n_refused = sum(self._refuses(host, h) for h in hints)
        host.view.note_hints(
            n_answered=n_answered,
            n_silent=len(hints) - n_answered - n_refused - is_named,
            is_named=is_named,
        )

    def _update_members(self, host: FakeHost) -> bool:
        has_changed = False
        for other in self.hosts.values():
            is_there = self._reach(host, other) and not other.leaving
            current = host.seen.get(other.name)
            is_same = (current == other.incarnation) if is_there else current is None
            if other is host or is_same:
                host.pending.pop(other.name, None)
                continue
            delays = NOTICE_S if is_there or other.leaving else DETECT_S
            due = host.pending.get(other.name)
            if due is None or due[0] != is_there:
                at = self.now + self.random.uniform(*delays)
                due = host.pending[other.name] = (is_there, at)
            if self.now >= due[1]:
                has_changed = True
                if is_there:
                    host.seen[other.name] = other.incarnation
                else:
                    host.seen.pop(other.name, None)
                    if other.leaving:
                        host.view.note_stopped(other.name, now=self.now)
        return has_changed

    def request(self, name: str) -> str:
        """Send one request of the customer to a host, as the service handles it."""
        host = self.hosts[name]
        if host.state != "up":
            return "unreached"
        result = self._admit(host)
        self.results[result] += 1
        if result == "run":
            self.runs.append(self.now)
        return result

    def _admit(self, host: FakeHost) -> str:
        permits, now = host.permits, self.now
        customer = self.customer
        for granter, n in permits.take_expired(now=now):
            if self._reach(host, self.hosts[granter]):
                self.hosts[granter].counting.give_back(customer.name, n, now=now)
        if not customer.has_limit:
            return "run"
        permits.note_demand(now=now)
        if permits.take(now=now):
            return "run"
        found = permits.find_refusal(
            rate=customer.rate_per_s, now=now, random=self.random
        )
        if found is not None:
            self.retries.append(found[1])
            return "limit"
        for asked in host.view.rank(customer.name)[:3]:
            other = self.hosts[asked]
            if not self._reach(host, other):
                continue
            n = 1 if other is host else permits.choose_n_wanted(1, now=now)
            grant = self.decide(other, n)
            if grant.n:
                permits.note_validity(grant.valid_s)
                permits.add(grant.n - 1, host=asked, expires_at=now + grant.valid_s)
                return "run"
            if grant.is_counting:
                refused = Refused(
                    until=now + grant.next_s,
                    retry_at=now + grant.retry_s,
                    host=asked,
                    at=now,
                    n_used=grant.n_used,
                )
                if other is not host:
                    permits.note_refusal(refused)
                self.retries.append(grant.retry_s)
                return "limit"
        return "uncounted"

    def decide(self, host: FakeHost, n: int) -> Grant:
        """Let a host decide, and then do what it found to be due."""
        grant = host.counting.decide(self.customer, n, now=self.now)
        name = self.customer.name
        for ahead in host.view.list_blocking(name, now=self.now):
            if self._refuses(host, self.hosts[ahead]):
                host.view.note_stopped(ahead, now=self.now)
        asked = host.counting.list_handover_hosts(name, now=self.now)
        for rank, other_name in enumerate(asked, start=1):
            other = self.hosts[other_name]
            if not self._reach(host, other):
                break
            handover = other.counting.hand_over(
                self.customer, host.name, host.incarnation, now=self.now
            )
            if not host.counting.accept(
                self.customer,
                handover,
                other_name,
                rank=rank,
                is_last=rank == len(asked),
                now=self.now,
            ):
                break
        return grant

    def run(
        self, seconds: float, *, per_s: float, names: list[str] | None = None
    ) -> None:
        """Advance, with requests at random hosts, or at those named."""
        n_due = 0.0
        for _ in range(round(seconds / STEP_S)):
            self.step()
            n_due += per_s * STEP_S
            while n_due >= 1.0:
                n_due -= 1.0
                names_up = names or list(self.hosts)
                self.request(self.random.choice(names_up))


def find_most(runs: list[float], window_s: float) -> int:
    """Return the largest number of runs in a sliding window."""
    most = 0
    window: deque[float] = deque()
    for at in sorted(runs):
        window.append(at)
        while at - window[0] > window_s:
            window.popleft()
        most = max(most, len(window))
    return most
