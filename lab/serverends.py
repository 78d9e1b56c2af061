"""Measures the effect of a request that crashes servers on other callers.

Five gateway hosts and ten shards with two servers each get 20 searches a second, each
retried once. One search crashes every server that starts to run it, and its caller
repeats it. `python -m lab.serverends` prints the share of other searches answered in
each second and the number of servers that crashed.
"""

import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from .gateways import Platform, make_search_route, open_platform

N_SHARDS = 10
GATEWAY_DATA_CENTRES = ("ptl-a", "ptl-a", "ptl-b", "sea-a", "sea-b")
CRASH_PATH = "/all/deadly"
RESTART_S = 3.0
SETTLE_S = 3.0
SEARCHES_PER_S = 20
DURATION_S = 24.0
CRASH_TIMES_S = (3.0, 3.02, 7.5, 7.53, 12.0, 16.5)
DEADLINE_MS = 400
MIN_COVERAGE = 0.89
MAX_ATTEMPTS = 2
OK = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Time that a server works on a search, and until the crash request ends it.

    `goal_ms` is the latency goal of the route, which hedging is based on.
    """

    name: str
    work_s: float
    crash_delay_s: float
    goal_ms: int


CASES = (
    Case(name="ends at once", work_s=0.012, crash_delay_s=0.0, goal_ms=400),
    Case(name="ends after hedges", work_s=0.004, crash_delay_s=0.012, goal_ms=44),
)


@dataclass(kw_only=True)
class Tally:
    """The numbers of searches sent and answered, by the second they were sent in."""

    n_asked: Counter[int] = field(default_factory=Counter)
    n_answered: Counter[int] = field(default_factory=Counter)


async def start_fleet(platform: Platform, case: Case) -> None:
    """Start servers that crash on the request to `CRASH_PATH`, and the gateways."""
    for index in range(N_SHARDS):
        remote = "sea-b" if index % 2 else "ptl-b"
        for zone in ("ptl-a", remote):
            leaf = await platform.add_leaf(
                f"shard{index}",
                zone,
                crash_path=CRASH_PATH,
                crash_delay_s=case.crash_delay_s,
                restart_delay_s=RESTART_S,
            )
            leaf.faults.work_s = case.work_s
    shards = [f"shard{index}" for index in range(N_SHARDS)]
    route = make_search_route(
        "/all/", shards, min_coverage=MIN_COVERAGE, slo_ms=case.goal_ms
    )
    platform.write_routes(1, [route])
    for zone in GATEWAY_DATA_CENTRES:
        platform.add_gateway(zone)
    for gateway in platform.gateways:
        await platform.wait_ready(gateway)
    await trio.sleep(SETTLE_S)


async def search(platform: Platform, rng: Random, path: str) -> int:
    """Search through a random host; return the status, or 0 without an answer."""
    with trio.move_on_after(1.0):
        try:
            answer = await platform.request(
                rng.choice(platform.gateways), path, deadline_ms=DEADLINE_MS
            )
        except (OSError, trio.BrokenResourceError):
            return 0
        return answer.status
    return 0


async def search_as_callers(
    platform: Platform, rng: Random, index: int, second: int, tally: Tally
) -> None:
    """Search, with one retry after a failure."""
    tally.n_asked[second] += 1
    for _ in range(MAX_ATTEMPTS):
        if await search(platform, rng, f"/all/x{index}") == OK:
            tally.n_answered[second] += 1
            return


async def repeat_crash_request(
    platform: Platform, rng: Random, started_at: float
) -> None:
    """Send the request that crashes servers at each of `CRASH_TIMES_S`."""
    for at in CRASH_TIMES_S:
        await trio.sleep_until(started_at + at)
        status = await search(platform, rng, CRASH_PATH)
        n_ended = sum(len(leaf.crashed_by) for leaf in platform.leaves)
        print(f"crash request at {at:5.2f} s: {status}, {n_ended} servers crashed")


async def measure(directory: Path, case: Case) -> None:
    """Run one case and print what callers received."""
    rng = Random(1)
    tally = Tally()
    async with open_platform(directory) as platform:
        await start_fleet(platform, case)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(repeat_crash_request, platform, rng, started_at)
            for index in range(int(DURATION_S * SEARCHES_PER_S)):
                await trio.sleep_until(started_at + index / SEARCHES_PER_S)
                second = index // SEARCHES_PER_S
                nursery.start_soon(
                    search_as_callers, platform, rng, index, second, tally
                )
        n_ended = sum(len(leaf.crashed_by) for leaf in platform.leaves)
    for second, n_asked in sorted(tally.n_asked.items()):
        print(f"second {second:2}: {tally.n_answered[second]} of {n_asked} answered")
    share = tally.n_answered.total() / tally.n_asked.total()
    print(f"{case.name}: answered={share:.3f} ended={n_ended}")


def main() -> None:
    """Measure each case in a separate directory."""
    for case in CASES:
        with tempfile.TemporaryDirectory() as directory:
            trio.run(measure, Path(directory), case)


if __name__ == "__main__":
    main()
