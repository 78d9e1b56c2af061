"""Measures useful answers while twice as much is asked as the slots can do.

All callers arrive within a shortened minute, at twice the rate that the slots can
serve, at hosts that were nearly idle before. An answer is useful when it comes by
the deadline and covers at least the share of the library that the service asks for.
Service times are long, so that the slots and not the processors of this machine are
what is short: the table shows the busiest process. Every query has a text of its
own, and the backend servers remember the texts that reached them, so that a refusal
that was not true would be seen.
"""

from dataclasses import dataclass

import click
import trio
from rich.table import Table

from standins.answers import Outcome

from .comparison import (
    DEADLINE_MS,
    N_GROUPS,
    N_SERVERS,
    SLOTS,
    Bench,
    Side,
    Trial,
    get_quantile,
    open_bench,
)
from .figures import make_figures, report

SERVICE_MS = 80.0
MIN_SHARE = 0.95
LOAD = 2.0
# A trickle before the doors open: connections exist, nothing else is known.
WARM_UP_S = 2.0
WARM_UP_RATE = 5.0
WARM_UP_SEED = 1_000
SEED = 1
STRAGGLERS = {"kind": "give up", "min_share": MIN_SHARE, "patience": 1.0}
NAIVE = Side(
    name="naive", service="naive", is_naive=True, options={"stragglers": STRAGGLERS}
)
OURS = Side(name="ours", service="scheduler", options={"stragglers": STRAGGLERS})
SIDES = (NAIVE, OURS)


def compute_capacity(service_ms: float) -> float:
    """Return the queries a second that the slots can answer."""
    return N_SERVERS * SLOTS / (service_ms / 1_000)


@dataclass(frozen=True, kw_only=True, slots=True)
class Outline:
    """What one side came to; rates are in queries a second while callers arrived."""

    trial: Trial
    goodput: float
    refused_seen: int
    n_refused: int

    @property
    def refusal_p99_ms(self) -> float:
        """Until when 99 of 100 refused callers were told, in milliseconds."""
        return get_quantile(self.trial.list_times(Outcome.NOT_RUN), 0.99)


def sum_up(
    trial: Trial, seen: set[str], duration_s: float, deadline_ms: int
) -> Outline:
    """Count the useful answers and the refused queries that a server saw."""
    useful = [
        record
        for record in trial.records
        if record.outcome in (Outcome.ANSWERED, Outcome.PARTLY)
        and (record.share or 0.0) >= MIN_SHARE - 1e-9
        and (record.ended_s - record.due_s) * 1_000 <= deadline_ms
        # The slots go on working when no more callers come.
        and record.ended_s <= duration_s
    ]
    refused = [r.query for r in trial.records if r.outcome is Outcome.NOT_RUN]
    return Outline(
        trial=trial,
        goodput=len(useful) / duration_s,
        refused_seen=sum(query in seen for query in refused),
        n_refused=len(refused),
    )


async def run(
    bench: Bench, *, rate: float, duration_s: float, service_ms: float
) -> list[Outline]:
    """Load the sides one after the other."""
    await bench.set_faults({"service_ms": service_ms, "remember_queries": True})
    outlines = []
    for side in SIDES:
        await bench.load(
            side, rate=WARM_UP_RATE, duration_s=WARM_UP_S, seed=WARM_UP_SEED
        )
        trial = await bench.load(side, rate=rate, duration_s=duration_s, seed=SEED)
        seen = await bench.read_queries(side.service)
        outlines.append(sum_up(trial, seen, duration_s, bench.deadline_ms))
    return outlines


def make_table(outlines: list[Outline], capacity: float) -> Table:
    """Return a row for each side."""
    table = Table(
        "side", "queries", "useful/s", "of slots", "answered", "partly", "refused",
        "refusal p99", "p50 ms", "p99", "busy", "core", "delayed",
        title=f"{LOAD:g} times the capacity of {capacity:.1f} queries a second",
    )  # fmt: skip
    for outline in outlines:
        trial = outline.trial
        times = trial.list_times(Outcome.ANSWERED, Outcome.PARTLY)
        slots = N_GROUPS * capacity * trial.summaries[0].duration_s
        table.add_row(
            trial.side.name,
            str(len(trial.records)),
            f"{outline.goodput:.1f}",
            f"{outline.goodput / capacity:.3f}",
            str(trial.count(Outcome.ANSWERED)),
            str(trial.count(Outcome.PARTLY)),
            str(outline.n_refused),
            f"{outline.refusal_p99_ms:.1f}",
            f"{get_quantile(times, 0.5):.1f}",
            f"{get_quantile(times, 0.99):.1f}",
            f"{trial.counts['run'] / slots:.3f}",
            f"{trial.busiest:.2f}",
            f"{trial.delayed:.2f}",
        )
    return table


async def measure(
    hosts: int, duration: float, service_ms: float, load: float, deadline_ms: int
) -> None:
    """Run both sides and report."""
    capacity = compute_capacity(service_ms)
    async with open_bench(SIDES, n_hosts=hosts, deadline_ms=deadline_ms) as bench:
        naive, ours = await run(
            bench, rate=load * capacity, duration_s=duration, service_ms=service_ms
        )
    for outline in (naive, ours):
        for reason, n_times in outline.trial.reasons.items():
            print(f"{outline.trial.side.name}: {n_times} x {reason}")
    figures = {
        "goodput_of_capacity": ours.goodput / capacity,
        "goodput_vs_naive": ours.goodput / max(naive.goodput, 1 / duration),
        "refused_seen": ours.refused_seen,
        "refusal_p99_ms": ours.refusal_p99_ms,
        "naive_goodput_of_capacity": naive.goodput / capacity,
    }
    conditions = {
        "hosts": hosts,
        "groups": N_GROUPS,
        "load": load,
        "queries_per_s": round(load * capacity, 1),
        "service_ms": service_ms,
        "duration_s": duration,
        "deadline_ms": deadline_ms,
        "busiest_core": round(ours.trial.busiest, 2),
        "delayed": round(ours.trial.delayed, 3),
    }
    report(
        make_figures(
            "overload" if deadline_ms == DEADLINE_MS else "overload-stretched",
            figures,
            conditions=conditions,
        ),
        make_table([naive, ours], capacity),
        is_saved=load == LOAD,
    )


@click.command()
@click.option("--hosts", default=5, show_default=True, help="Entry hosts.")
@click.option("--duration", default=15.0, show_default=True, help="Seconds of callers.")
@click.option("--service-ms", default=SERVICE_MS, show_default=True)
@click.option("--load", default=LOAD, show_default=True, help="Times the capacity.")
@click.option("--deadline-ms", default=DEADLINE_MS, show_default=True)
def main(
    hosts: int, duration: float, service_ms: float, load: float, deadline_ms: int
) -> None:
    """Compare useful answers at twice the capacity with the naive fan-out."""
    trio.run(measure, hosts, duration, service_ms, load, deadline_ms)


if __name__ == "__main__":
    main()
