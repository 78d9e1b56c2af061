"""Customers' limits over real hosts: under overload, a kill and a start."""

import itertools
from collections import Counter
from dataclasses import dataclass, field

import h11
import pytest
import trio

from lab.gateways import Gateway, Platform, ask, make_one_route, open_platform
from lavendergap.coordination.ranking import rank_hosts
from standins.customers import CustomerEntry

RATE, BURST = 20.0, 10.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
BOUND = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK
BELOW = 0.6 * RATE
# Log lines are written by another thread.
LOG_DELAY_S = 0.5
# Processes that have just started compete for the processor with the test.
START_DELAY_S = 3.0
ZONES = ("ptl-a", "ptl-b", "ptl-a", "ptl-b")
HOSTS = [f"{zone}-{number}" for number, zone in enumerate(ZONES, start=1)]


def find_customer(first: str) -> str:
    """Return a customer for which this host ranks first of four."""
    names = (f"c{number}" for number in itertools.count())
    return next(name for name in names if rank_hosts(name, HOSTS)[0] == first)


HOT, STEADY = find_customer(HOSTS[0]), find_customer(HOSTS[-1])


@dataclass(kw_only=True)
class Load:
    """Requests of one customer at a steady rate, and what came of them."""

    customer: CustomerEntry
    statuses: Counter[int] = field(default_factory=Counter)
    n_lost: int = 0
    retries: list[float] = field(default_factory=list)

    async def run(
        self, gateways: list[Gateway], *, per_s: float, seconds: float
    ) -> None:
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(round(per_s * seconds)):
                await trio.sleep_until(started + number / per_s)
                live = [g for g in gateways if g.process and g.process.poll() is None]
                nursery.start_soon(self._request, live[number % len(live)], number)

    async def _request(self, gateway: Gateway, number: int) -> None:
        headers = [
            ("Host", "app.example"),
            ("Lavendergap-Attempt-Id", f"{self.customer.name}-{number}"),
            ("Lavendergap-Deadline-Ms", "1000"),
            ("Lavendergap-Credential", self.customer.keys[0]),
        ]
        try:
            answer = await ask(gateway.ports[0], "/one/", headers=headers)
        except (OSError, h11.RemoteProtocolError):
            # A request that its host's end interrupted is not counted.
            self.n_lost += gateway.process is None or gateway.process.poll() is None
            return
        self.statuses[answer.status] += 1
        if answer.status == 429:
            self.retries.append(float(answer.get("retry-after")))


@pytest.fixture
async def platform(tmp_path):
    async with open_platform(tmp_path) as platform:
        platform.bounds = {
            "limit_window_s": WINDOW_S,
            "limit_overage": OVERAGE,
            "limit_slack": SLACK,
        }
        platform.customers = [
            CustomerEntry(name=name, rate_per_s=RATE, burst=BURST)
            for name in (HOT, STEADY)
        ]
        for zone in ZONES[:2]:
            await platform.add_leaf("desk", zone, slots=16)
        platform.write_routes(1, [make_one_route("/one/", "desk")])
        yield platform


def make_loads(platform: Platform) -> tuple[Load, Load]:
    assert platform.customers is not None
    hot, steady = (Load(customer=customer) for customer in platform.customers)
    return hot, steady


def list_runs(platform: Platform, customer: str) -> list[float]:
    received = [each for leaf in platform.leaves for each in leaf.received]
    return sorted(r.at for r in received if r.is_run and r.customer == customer)


def find_most(times: list[float]) -> int:
    """Return the largest number of times in a sliding window."""
    return max(sum(at <= t <= at + WINDOW_S for t in times) for at in times)


class TestOverload:
    @pytest.mark.parametrize("n_asked", [4, 1])
    async def test_the_limit_is_kept_and_used(self, platform, n_asked):
        gateways = await platform.start(*ZONES)
        await trio.sleep(START_DELAY_S)
        hot, steady = make_loads(platform)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: hot.run(gateways[-n_asked:], per_s=100.0, seconds=6.0)
            )
            await steady.run(gateways, per_s=BELOW, seconds=6.0)
        assert steady.statuses == {200: round(BELOW * 6.0)}
        runs = list_runs(platform, HOT)
        assert find_most(runs) <= BOUND
        after = [at for at in runs if at >= runs[0] + 1.0]
        assert len(after) >= 0.95 * RATE * 5.0
        assert set(hot.statuses) == {200, 429}
        assert (hot.n_lost, steady.n_lost) == (0, 0)
        # Refusals at one time are spread; none tells its caller to come back at once.
        assert min(hot.retries) > 0.0
        await trio.sleep(LOG_DELAY_S)
        done = [line for g in gateways for line in g.read_events("done")]
        waits = sorted(d["ms"] for d in done if d.get("reason") == "over limit")
        assert len(waits) == hot.statuses[429]
        assert waits[len(waits) // 2] <= 10.0

    @pytest.mark.parametrize("n_asked", [4, 1])
    async def test_refusals_leave_within_ten_milliseconds(self, platform, n_asked):
        gateways = await platform.start(*ZONES)
        await trio.sleep(START_DELAY_S)
        hot, _ = make_loads(platform)
        await hot.run(gateways[-n_asked:], per_s=100.0, seconds=6.0)
        await trio.sleep(LOG_DELAY_S)
        done = [line for g in gateways for line in g.read_events("done")]
        waits = sorted(d["ms"] for d in done if d.get("reason") == "over limit")
        assert waits[int(0.99 * len(waits))] <= 10.0


class TestChangingHosts:
    async def test_a_killed_counting_host_costs_a_customer_little(self, platform):
        """Guards against requests below the limit that are refused for seconds."""
        gateways = await platform.start(*ZONES)
        _, load = make_loads(platform)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: load.run(gateways, per_s=BELOW, seconds=12.0))
            await trio.sleep(3.0)
            gateways[-1].kill()
        n_all = load.statuses.total() + load.n_lost
        assert load.statuses[200] >= 0.99 * n_all, load.statuses

    async def test_a_host_that_joins_counts_soon(self, platform):
        """Guards against a host that stays without knowledge of the others."""
        gateways = await platform.start(*ZONES[:-1])
        _, load = make_loads(platform)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: load.run(gateways, per_s=BELOW, seconds=10.0))
            await trio.sleep(3.0)
            [joining] = await platform.start(ZONES[-1])
            await trio.sleep(2.0)
            started = joining.read_events("counting started")
        assert [line["customer"] for line in started] == [STEADY]
        assert load.statuses == {200: round(BELOW * 10.0)}
