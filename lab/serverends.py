"""Measures what a request that ends servers costs all other callers.

Five gateway hosts, ten shards with two servers each, 20 searches a second, each
retried once as callers do. One search ends each server that begins to run it; its
caller repeats it, at once and later. `python -m lab.serverends` prints how many of the
other searches were answered, second by second, and how many servers ended.
"""

import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import trio

from .gateways import Platform, make_search_route, open_platform

N_SHARDS = 10
PLACES = ("ptl-a", "ptl-a", "ptl-b", "sea-a", "sea-b")
DEADLY = "/all/deadly"
AWAY_S = 3.0
SETTLE_S = 3.0
SEARCHES_A_SECOND = 20
DURATION_S = 24.0
DEADLY_AT = (3.0, 3.02, 7.5, 7.53, 12.0, 16.5)
DEADLINE_MS = 400
MIN_COVERAGE = 0.89
N_TRIES = 2
OK = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """How long a server works on a search and, on the deadly one, until it ends."""

    name: str
    work_s: float
    ends_after_s: float
    goal_ms: int


CASES = (
    Case(name="ends at once", work_s=0.012, ends_after_s=0.0, goal_ms=400),
    Case(name="ends after hedges", work_s=0.004, ends_after_s=0.012, goal_ms=44),
)


@dataclass(kw_only=True)
class Tally:
    """How many searches came and were answered, by the second in which they came."""

    n_asked: Counter[int] = field(default_factory=Counter)
    n_answered: Counter[int] = field(default_factory=Counter)


async def start_fleet(platform: Platform, case: Case) -> None:
    """Start servers that the deadly request ends, and the hosts before them."""
    for place in range(N_SHARDS):
        far = "sea-b" if place % 2 else "ptl-b"
        for zone in ("ptl-a", far):
            leaf = await platform.add_leaf(
                f"shard{place}",
                zone,
                ends_on=DEADLY,
                ends_after=case.ends_after_s,
                away=AWAY_S,
            )
            leaf.faults.work = case.work_s
    shards = [f"shard{place}" for place in range(N_SHARDS)]
    route = make_search_route(
        "/all/", shards, min_coverage=MIN_COVERAGE, slo_ms=case.goal_ms
    )
    platform.write_routes(1, [route])
    for zone in PLACES:
        platform.add_gateway(zone)
    for gateway in platform.gateways:
        await platform.wait_ready(gateway)
    await trio.sleep(SETTLE_S)


async def search(platform: Platform, dice: Random, path: str) -> int:
    """Ask any host; return the status, or 0 for no answer."""
    with trio.move_on_after(1.0):
        try:
            answer = await platform.request(
                dice.choice(platform.gateways), path, deadline_ms=DEADLINE_MS
            )
        except (OSError, trio.BrokenResourceError):
            return 0
        return answer.status
    return 0


async def search_as_callers(
    platform: Platform, dice: Random, place: int, second: int, tally: Tally
) -> None:
    """Search, and once more after a failure."""
    tally.n_asked[second] += 1
    for _ in range(N_TRIES):
        if await search(platform, dice, f"/all/x{place}") == OK:
            tally.n_answered[second] += 1
            return


async def repeat_deadly(platform: Platform, dice: Random, began: float) -> None:
    """Send the request that ends servers at its times."""
    for at in DEADLY_AT:
        await trio.sleep_until(began + at)
        status = await search(platform, dice, DEADLY)
        n_ended = sum(len(leaf.ended_by) for leaf in platform.leafs)
        print(f"deadly request at {at:5.2f} s: {status}, {n_ended} servers ended")


async def measure(directory: Path, case: Case) -> None:
    """Run one case and print what callers got."""
    dice = Random(1)
    tally = Tally()
    async with open_platform(directory) as platform:
        await start_fleet(platform, case)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(repeat_deadly, platform, dice, began)
            for place in range(int(DURATION_S * SEARCHES_A_SECOND)):
                await trio.sleep_until(began + place / SEARCHES_A_SECOND)
                second = place // SEARCHES_A_SECOND
                nursery.start_soon(
                    search_as_callers, platform, dice, place, second, tally
                )
        n_ended = sum(len(leaf.ended_by) for leaf in platform.leafs)
    for second, n_asked in sorted(tally.n_asked.items()):
        print(f"second {second:2}: {tally.n_answered[second]} of {n_asked} answered")
    share = tally.n_answered.total() / tally.n_asked.total()
    print(f"{case.name}: answered={share:.3f} ended={n_ended}")


def main() -> None:
    """Measure each case in a directory of its own."""
    for case in CASES:
        with tempfile.TemporaryDirectory() as directory:
            trio.run(measure, Path(directory), case)


if __name__ == "__main__":
    main()
