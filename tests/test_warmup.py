"""The rate of requests to cold servers under the load of many hosts.

The limit is the platform's, over all hosts together. Some hosts have lost sight of
others and each act as the one that warms a server up.
"""

from bisect import bisect_right
from random import Random

import pytest

from lavendergap.coordination.catalog import ExtraCallBudget, build_catalog
from lavendergap.coordination.placement import Placement
from lavendergap.coordination.scheduler import GroupScheduler
from lavendergap.coordination.warmup import MAX_SENDERS, WINDOW_S, WarmupBound
from lavendergap.state.outcome import NotRun, Reason
from lavendergap.state.registry import RegisteredServer
from lavendergap.state.routes import OneOf, Route, RouteTable, WeightedGroup
from lavendergap.state.settings import Address, Control, Service

from .groups import Owner

GROUP = "desk"
DATA_CENTRES = ("ptl-a", "ptl-b", "sea-a", "sea-b")
COLD_RATE = 10.0
BOUND = WarmupBound(factor=1.5, slack=5.0)
MAX_IN_A_SECOND = COLD_RATE * BOUND.factor + BOUND.slack
SERVICE_TIME_S = 0.02


def make_service(
    cold_data_centres: tuple[str, ...], *, rate: float | None = COLD_RATE
) -> Service:
    """Return a group with a server in each data centre, cold in some."""
    target = OneOf(groups=(WeightedGroup(group=GROUP, weight=1.0),))
    route = Route(
        name="r1",
        host="a.example",
        prefix="/r1/",
        target=target,
        idempotent=True,
        max_attempts=2,
        timeout_ms=2_000,
        goal_ms=500,
        priority=1,
    )
    servers = [
        RegisteredServer(
            server_id=f"i-{data_centre}",
            group=GROUP,
            address=Address(ip="127.0.0.1", port=9_000 + number),
            data_centre=data_centre,
            slots=4,
            is_draining=False,
            is_cold=data_centre in cold_data_centres,
        )
        for number, data_centre in enumerate(DATA_CENTRES)
    ]
    catalog = build_catalog(
        table=RouteTable(
            version=1,
            routes=(route,),
            cold_rates={} if rate is None else {GROUP: rate},
        ),
        servers=servers,
        budget=ExtraCallBudget(share=0.2, slack=54.0, window_s=10.0),
        n_hosts=len(DATA_CENTRES),
        warmup=BOUND,
    )
    [service] = catalog.services
    return service


class Fleet:
    """Hosts with a scheduler each, and the times of the requests to each server."""

    def __init__(self, n_hosts: int, service: Service) -> None:
        self.data_centres = {
            f"h{n}": DATA_CENTRES[n % len(DATA_CENTRES)] for n in range(n_hosts)
        }
        self.views = dict.fromkeys(self.data_centres, self.data_centres)
        self.service = service
        self.sent: dict[str, list[float]] = {}
        self.owners = {host: self._make_owner(host) for host in self.data_centres}
        self.ends: list[tuple[float, str, int]] = []

    def _make_owner(self, host: str) -> Owner:
        scheduler = GroupScheduler(
            group=self.service.groups[0],
            service=self.service,
            control=Control(),
            random=Random(host),
            data_centre=self.data_centres[host],
            may_warm=lambda: self._may_warm(host),
        )
        return Owner(scheduler=scheduler)

    def _may_warm(self, host: str) -> bool:
        placement = Placement(own_data_centre=self.data_centres[host])
        placement.replace_hosts(self.views[host])
        return placement.get_first_host_nearby(GROUP) == host

    def find_first(self, data_centre: str) -> str:
        return next(
            host
            for host, at in self.data_centres.items()
            if at == data_centre and self._may_warm(host)
        )

    def isolate(self, host: str) -> None:
        """Let a host see no other live host."""
        self.views[host] = {host: self.data_centres[host]}

    def play(self, rate: float, seconds: float, rng: Random) -> None:
        """Send calls to random hosts, `rate` a second in all."""
        now = 100.0
        ends_at = now + seconds
        while now < ends_at:
            now += rng.expovariate(rate)
            self._finish(now)
            host = rng.choice(list(self.owners))
            self._submit(host, now)

    def _submit(self, host: str, now: float) -> None:
        owner = self.owners[host]
        owner.now = now
        n_before = len(owner.started)
        owner.submit(in_ms=300, goal_ms=100)
        self._note_starts(host, n_before)

    def _note_starts(self, host: str, n_before: int) -> None:
        owner = self.owners[host]
        for start in owner.started[n_before:]:
            self.sent.setdefault(start.server, []).append(owner.now)
            self.ends.append((owner.now + SERVICE_TIME_S, host, start.attempt_id))

    def _finish(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            at, host, attempt_id = self.ends.pop(0)
            owner = self.owners[host]
            owner.now = max(owner.now, at)
            n_before = len(owner.started)
            if attempt_id in owner.open:
                owner.end(attempt_id, elapsed=SERVICE_TIME_S)
            self._note_starts(host, n_before)

    def count_most_in_a_second(self, data_centre: str) -> int:
        times = sorted(self.sent.get(f"i-{data_centre}", ()))
        return max(
            (
                bisect_right(times, time) - bisect_right(times, time - WINDOW_S)
                for time in times
            ),
            default=0,
        )


class TestOneColdServer:
    @pytest.mark.parametrize("n_hosts", [9, 78, 550])
    def test_all_hosts_together_stay_within_the_bound(self, n_hosts):
        """Guards against hosts that each send as much as all together may."""
        fleet = Fleet(n_hosts, make_service(("ptl-a",)))
        fleet.play(400.0, 3.0, Random(1))
        assert fleet.count_most_in_a_second("ptl-a") <= MAX_IN_A_SECOND
        assert not any(
            isinstance(end.outcome, NotRun)
            for owner in fleet.owners.values()
            for end in owner.finished.values()
        )

    @pytest.mark.parametrize("n_hosts", [9, 78])
    def test_also_while_some_take_themselves_for_the_one(self, n_hosts):
        """Guards against an isolated host and its successor exceeding the limit."""
        fleet = Fleet(n_hosts, make_service(("ptl-a",)))
        near = [
            host
            for host, data_centre in fleet.data_centres.items()
            if data_centre == "ptl-a"
        ]
        for host in [h for h in near if h != fleet.find_first("ptl-a")][:2]:
            fleet.isolate(host)
        fleet.play(2_000.0, 3.0, Random(1))
        most = fleet.count_most_in_a_second("ptl-a")
        assert 0 < most <= MAX_IN_A_SECOND


class TestWholeServiceCold:
    def test_what_cannot_be_sent_is_refused_at_once(self):
        """Guards against calls that wait until the servers are warm."""
        fleet = Fleet(78, make_service(DATA_CENTRES))
        fleet.play(400.0, 3.0, Random(1))
        for data_centre in DATA_CENTRES:
            assert 0 < fleet.count_most_in_a_second(data_centre) <= MAX_IN_A_SECOND
        refused = [
            end.outcome
            for owner in fleet.owners.values()
            for end in owner.finished.values()
            if isinstance(end.outcome, NotRun)
        ]
        assert refused
        assert all(each.reason is Reason.OVERLOADED for each in refused)
        assert all(each.retry_after_ms > 0 for each in refused)


class TestBounds:
    def test_a_service_without_a_rate_has_no_bound(self):
        """Guards against cold servers without requests where there is no limit."""
        limits = [
            server.cold_limit
            for rate in (COLD_RATE, None)
            for server in make_service(("ptl-a",), rate=rate).groups[0].servers
        ]
        assert limits == [BOUND.divide(COLD_RATE), None, None, None] + [None] * 4

    def test_a_server_that_turns_cold_is_bounded_from_then_on(self):
        """Guards against a limit that only applies to servers cold at the start."""
        fleet = Fleet(1, make_service(()))
        owner = fleet.owners["h0"]
        cold = make_service(("ptl-a",))
        owner.take(
            owner.scheduler.replace(
                group=cold.groups[0], service=cold, control=Control(), now=owner.now
            )
        )
        fleet.play(400.0, 2.0, Random(1))
        most = fleet.count_most_in_a_second("ptl-a")
        assert 0 < most <= MAX_IN_A_SECOND / MAX_SENDERS
