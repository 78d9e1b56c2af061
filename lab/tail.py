"""Measures tail latency, coverage and extra calls while single calls straggle.

A service of today's size (20 groups of 2 backend servers with 2 slots) is asked
moderately often, and one call in 50 takes 20 times as long. Three sides get the same
arrivals in turns of a few seconds: the naive fan-out, the project waiting for
coverage, and the project giving stragglers up. The first seconds of each side, in
which the scheduler learns how long calls take, are left out for all of them.

`--stretch 3` makes service times and the deadline three times as long and the
arrivals three times as rare: the same load and the same decisions for a third of the
processor time, for a machine that is busy with other things.
"""

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
    add_round,
    get_quantile,
    open_bench,
)
from .figures import make_figures, report

SERVICE_MS = 8.0
STRAGGLE_SHARE = 1 / 50
STRAGGLE_FACTOR = 20.0
WARM_UP_S = 3.0
# Short, so that no side is idle for the 15 s after which owners drop a group.
ROUND_S = 4.0
N_ROUNDS = 6
NAIVE = Side(name="naive", service="naive", is_naive=True)
WAIT = Side(name="wait", service="waiting", options={"stragglers": {"kind": "wait"}})
GIVE_UP = Side(
    name="give up",
    service="tailing",
    options={"stragglers": {"kind": "give up", "min_share": 0.9, "patience": 1.0}},
)
SIDES = (NAIVE, WAIT, GIVE_UP)
ANSWERS = (Outcome.ANSWERED, Outcome.PARTLY, Outcome.UNCOVERED)


def compute_capacity(service_ms: float) -> float:
    """Return the queries a second that the slots can answer, stragglers included."""
    mean_s = service_ms / 1_000 * (1 + STRAGGLE_SHARE * (STRAGGLE_FACTOR - 1))
    return N_SERVERS * SLOTS / mean_s


async def run(
    bench: Bench, *, rate: float, n_rounds: int, law: str, service_ms: float
) -> list[Trial]:
    """Warm every side up, then load them in turn; return what each came to."""
    await bench.set_faults(
        {
            "service_ms": service_ms,
            "service_law": law,
            "straggle_share": STRAGGLE_SHARE,
            "straggle_factor": STRAGGLE_FACTOR,
        }
    )
    for side in SIDES:
        await bench.load(side, rate=rate, duration_s=WARM_UP_S, seed=1_000)
    trials = [Trial(side=side) for side in SIDES]
    for number in range(n_rounds):
        for trial in trials:
            one = await bench.load(
                trial.side, rate=rate, duration_s=ROUND_S, seed=number
            )
            add_round(trial, one)
    return trials


def make_table(trials: list[Trial]) -> Table:
    """Return a row for each side."""
    table = Table(
        "side", "queries", "p50 ms", "p90", "p99", "coverage", "whole", "extra calls",
        "refused", "core", "delayed", "tool",
        title="1 call in 50 takes 20 times as long",
    )  # fmt: skip
    for trial in trials:
        times = trial.list_times(*ANSWERS)
        table.add_row(
            trial.side.name,
            str(len(trial.records)),
            *(f"{get_quantile(times, share):.1f}" for share in (0.5, 0.9, 0.99)),
            f"{trial.mean_share:.4f}",
            f"{trial.count(Outcome.ANSWERED) / max(1, len(trial.records)):.3f}",
            f"{trial.extra_load:.2%}",
            str(trial.count(Outcome.NOT_RUN)),
            f"{trial.busiest:.2f}",
            f"{trial.delayed:.2f}",
            f"{trial.own_cpu:.2f}",
        )
    return table


def compute_figures(trials: list[Trial]) -> dict[str, float]:
    """Compare the project's two policies to the naive fan-out."""
    naive, wait, give_up = trials
    naive_p99 = get_quantile(naive.list_times(*ANSWERS), 0.99)
    return {
        "p99_vs_naive": get_quantile(wait.list_times(*ANSWERS), 0.99) / naive_p99,
        "extra_load": wait.extra_load,
        "coverage": wait.mean_share,
        "tail_p99_vs_naive": get_quantile(give_up.list_times(*ANSWERS), 0.99)
        / naive_p99,
        "tail_coverage": give_up.mean_share,
        "tail_extra_load": give_up.extra_load,
        "naive_coverage": naive.mean_share,
        "naive_p99_ms": naive_p99,
    }


async def measure(
    hosts: int, load: float, rounds: int, law: str, stretch: float
) -> None:
    """Run all sides and report."""
    service_ms = SERVICE_MS * stretch
    deadline_ms = round(DEADLINE_MS * stretch)
    rate = load * compute_capacity(service_ms)
    async with open_bench(SIDES, n_hosts=hosts, deadline_ms=deadline_ms) as bench:
        trials = await run(
            bench, rate=rate, n_rounds=rounds, law=law, service_ms=service_ms
        )
    for trial in trials:
        for reason, n_times in trial.reasons.items():
            print(f"{trial.side.name}: {n_times} x {reason}")
    report(
        make_figures(
            "tail" if stretch == 1 else "tail-stretched",
            compute_figures(trials),
            conditions={
                "hosts": hosts,
                "groups": N_GROUPS,
                "load": load,
                "queries_per_s": round(rate, 1),
                "service_ms": service_ms,
                "deadline_ms": deadline_ms,
                "delayed": round(max(trial.delayed for trial in trials), 3),
                "law": law,
            },
        ),
        make_table(trials),
        is_saved=law == "fixed",
    )


@click.command()
@click.option("--hosts", default=5, show_default=True, help="Entry hosts.")
@click.option("--load", default=0.3, show_default=True, help="Share of the slots.")
@click.option("--rounds", default=N_ROUNDS, show_default=True)
@click.option(
    "--law",
    type=click.Choice(["fixed", "exponential", "lognormal"]),
    default="fixed",
    show_default=True,
    help="How service times vary beside the stragglers; only `fixed` is saved.",
)
@click.option("--stretch", default=1.0, show_default=True, help="Of all times.")
def main(hosts: int, load: float, rounds: int, law: str, stretch: float) -> None:
    """Compare tail latency with the naive fan-out while calls straggle."""
    trio.run(measure, hosts, load, rounds, law, stretch)


if __name__ == "__main__":
    main()
