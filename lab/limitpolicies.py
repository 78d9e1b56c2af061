"""Compares ways to keep a customer's limit over all hosts, for shared-limits.md.

Run it with `python -m lab.limitpolicies`. The policies are reduced to who may grant and
how much; messages take no time, except that gossip takes `GOSSIP_S`. All get the same
seeded load and failures.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

N_HOSTS = 72
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
DETECTION_S = 4.0
SETTLE_S = DETECTION_S + WINDOW_S
GOSSIP_S = 2.0
STEP_S = 0.02
RUN_S = 120.0
WARM_UP_S = 15.0
LARGE, MEDIAN = (10.0, 10.0), (0.16, 2.0)


@dataclass(kw_only=True)
class Bucket:
    """Tokens that refill; the rate may change."""

    rate: float
    burst: float
    level: float
    at: float

    def take(self, now: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        if self.level < 1.0 - 1e-9:
            return False
        self.level -= 1.0
        return True


@dataclass(kw_only=True)
class Hosts:
    """Which hosts run on which side, and when each was lost to the other hosts."""

    up: set[int] = field(default_factory=lambda: set(range(N_HOSTS)))
    sides: list[int] = field(default_factory=lambda: [0] * N_HOSTS)
    changed_at: float = -100.0

    def see(self, host: int, now: float) -> list[int]:
        """Return the hosts that one takes for live; a loss is seen with a delay."""
        if now - self.changed_at < DETECTION_S:
            return list(range(N_HOSTS))
        return [h for h in self.up if self.sides[h] == self.sides[host]]


class Policy:
    """Decides whether one request may run."""

    def __init__(self, rate: float, burst: float, hosts: Hosts) -> None:
        self.rate, self.burst, self.hosts = rate, burst, hosts
        self.reserve = OVERAGE * (rate * WINDOW_S + burst) + SLACK

    def decide(self, host: int, now: float) -> bool:
        raise NotImplementedError


class CountingHost(Policy):
    """The first live host counts; the next one takes over, with part of the reserve."""

    def __init__(self, rate: float, burst: float, hosts: Hosts) -> None:
        super().__init__(rate, burst, hosts)
        self.counts: dict[int, tuple[int, float, Bucket, bool]] = {}
        self.granted: dict[int, deque[float]] = {}

    def decide(self, host: int, now: float) -> bool:
        hosts = self.hosts
        side = hosts.sides[host]
        reached = [h for h in hosts.up if hosts.sides[h] == side]
        first = min(reached)
        if side not in self.counts or self.counts[side][0] != first:
            before = self.counts.get(side)
            if before and before[0] > first and before[0] in reached:
                bucket, since = before[2], before[1]  # Handed over.
            else:
                bucket = Bucket(rate=self.rate, burst=self.burst, level=0.0, at=now)
                since = now
            # No proof that the host before it has ended: it may run on the other side.
            is_settling = len({hosts.sides[h] for h in hosts.up}) > 1 and before is None
            self.counts[side] = (first, since, bucket, is_settling)
        _, since, bucket, is_settling = self.counts[side]
        age = now - since
        seen = len(hosts.see(host, now))
        share = seen / N_HOSTS if len(set(hosts.sides)) > 1 else 1.0
        if is_settling and age < SETTLE_S:
            return self._take_reserve(side, 0.5, now)
        bucket.rate, bucket.burst = self.rate * share, max(1.0, self.burst * share)
        if is_settling and bucket.at < since + SETTLE_S:
            bucket.level, bucket.at = 0.0, since + SETTLE_S
        if bucket.take(now):
            return True
        is_filling = age < min(60.0, self.burst / self.rate)
        return is_filling and self._take_reserve(side, 0.25 * share, now)

    def _take_reserve(self, side: int, fraction: float, now: float) -> bool:
        granted = self.granted.setdefault(side, deque())
        while granted and now - granted[0] > WINDOW_S:
            granted.popleft()
        if len(granted) + 1 > fraction * self.reserve:
            return False
        granted.append(now)
        return True


class GossipedShares(Policy):
    """Each host grants the part of its demand that the demand of all allows.

    It knows its own demand, and that of the others as it was `GOSSIP_S` ago.
    """

    def __init__(self, rate: float, burst: float, hosts: Hosts) -> None:
        super().__init__(rate, burst, hosts)
        self.random = Random(3)
        self.demand: dict[int, deque[float]] = {h: deque() for h in range(N_HOSTS)}

    def _count(self, host: int, until: float) -> int:
        return sum(until - WINDOW_S < at <= until for at in self.demand[host])

    def decide(self, host: int, now: float) -> bool:
        self.demand[host].append(now)
        while now - self.demand[host][0] > WINDOW_S + GOSSIP_S:
            self.demand[host].popleft()
        others = [h for h in self.hosts.see(host, now) if h != host]
        # A side of a cut knows no more of the other than it did before.
        total = sum(self._count(h, now - GOSSIP_S) for h in others)
        total += self._count(host, now)
        allowed = self.rate * WINDOW_S
        return total <= allowed + self.burst or self.random.random() < allowed / total


class Division(Policy):
    """Each host has an equal part; the reserve pays for whole tokens at each."""

    def __init__(self, rate: float, burst: float, hosts: Hosts) -> None:
        super().__init__(rate, burst, hosts)
        whole = max(burst, min(float(N_HOSTS), burst + self.reserve)) / N_HOSTS
        self.buckets = [
            Bucket(rate=rate / N_HOSTS, burst=max(1.0, whole), level=whole, at=0.0)
            for _ in range(N_HOSTS)
        ]

    def decide(self, host: int, now: float) -> bool:
        return self.buckets[host].take(now)


Fail = Callable[[Hosts, float, Random], None]


def stay_calm(hosts: Hosts, now: float, random: Random) -> None:
    """Nothing fails."""


def kill_hosts(hosts: Hosts, now: float, random: Random) -> None:
    """Kill the first host every 10 s and start it again 5 s later."""
    is_down = now > WARM_UP_S and now % 10.0 < 5.0
    if is_down == (0 in hosts.up):
        hosts.up.symmetric_difference_update({0})
        hosts.changed_at = now


def part_hosts(hosts: Hosts, now: float, random: Random) -> None:
    """Part the hosts in two for a minute."""
    sides = [h % 2 if 30.0 < now < 90.0 else 0 for h in range(N_HOSTS)]
    if sides != hosts.sides:
        hosts.sides, hosts.changed_at = sides, now


def play(
    kind: type[Policy],
    limit: tuple[float, float],
    *,
    load: float,
    n_asked: int = N_HOSTS,
    fail: Fail = stay_calm,
) -> tuple[float, float, float]:
    """Return the most in a window by the bound, and the shares granted and refused.

    `load` is a multiple of the rate, sent to `n_asked` hosts.
    """
    random = Random(7)
    rate, burst = limit
    hosts = Hosts()
    policy = kind(rate, burst, hosts)
    runs: list[float] = []
    n_sent = n_refused = 0
    due, now = 0.0, 0.0
    while now < RUN_S:
        now = round(now + STEP_S, 3)
        fail(hosts, now, random)
        due += load * rate * STEP_S
        while due >= 1.0:
            due -= 1.0
            host = random.choice(sorted(hosts.up - {*range(n_asked, N_HOSTS)}))
            is_granted = policy.decide(host, now)
            if is_granted:
                runs.append(now)
            if now > WARM_UP_S:
                n_sent += 1
                n_refused += not is_granted
    most, window = 0, deque[float]()
    for at in runs:
        window.append(at)
        while at - window[0] > WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    bound = (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
    n_due = rate * (RUN_S - WARM_UP_S)
    n_granted = sum(at > WARM_UP_S for at in runs)
    return most / bound, n_granted / n_due, n_refused / n_sent


def main() -> None:
    """Print a row for each policy."""
    for kind in (CountingHost, GossipedShares, Division):
        for name, limit in (("large", LARGE), ("median", MEDIAN)):
            most = max(
                play(kind, limit, load=7.5, fail=fail)[0]
                for fail in (stay_calm, kill_hosts, part_hosts)
            )
            one, every = (
                play(kind, limit, load=7.5, n_asked=n)[1] for n in (1, N_HOSTS)
            )
            calm, kills = (
                play(kind, limit, load=0.6, fail=f)[2] for f in (stay_calm, kill_hosts)
            )
            print(
                f"{kind.__name__} {name}: most / bound {most:.2f}, share from one host "
                f"{one:.2f}, from all {every:.2f}; refused below the limit: calm "
                f"{calm:.3f}, kills {kills:.3f}"
            )


if __name__ == "__main__":
    main()
