"""The tables of docs/CAPACITY.md about the planned size and its cost.

Each table is a function of the saved figures. Figures that were not measured are shown
as such.
"""

from collections.abc import Callable

from .controltables import (
    make_control_table,
    make_convergence_table,
    make_edits_table,
    make_libraries_table,
    make_memory_table,
    make_platform_table,
    make_settings_table,
)
from .querytables import (
    compute_hop_us,
    make_queries_table,
    make_reach_table,
    make_steps_table,
    make_together_table,
    make_ways_table,
    make_whole_table,
)
from .sizes import (
    CALLS_PER_S_PER_HOST,
    DEADLINE_S,
    EDITS_PER_S,
    GROUPS_PER_HOST,
    HEDGE_BUDGET_SHARE,
    HOPS_PER_BOOKING,
    MAX_TICKETS,
    MESSAGES_PER_S_PER_HOST,
    N_DATA_CENTRES,
    N_HOSTS,
    N_LEAFS,
    N_REGIONS,
    OWNERS_PER_QUERY,
    PARTS,
    QUERIES_PER_S,
    QUERIES_PER_S_PER_HOST,
    RESTARTS_PER_DAY,
    RETRY_BUDGET_SHARE,
    S_PER_US,
    SECONDS_PER_DAY,
    SHARDS_PER_MESSAGE,
    SHARDS_PER_QUERY,
    TICKET_LIFETIME_S,
    Part,
)
from .slopes import UNKNOWN, FigureStore, add, make_table, multiply, show


def make_size_table(store: FigureStore) -> str:
    """Return the load of one host and one backend server at the planned size."""
    rows = [
        ("queries a host", show(QUERIES_PER_S_PER_HOST, "a second")),
        ("leaf calls a host", show(CALLS_PER_S_PER_HOST, "a second")),
        (
            "of one core for each leaf call",
            show(1 / CALLS_PER_S_PER_HOST / S_PER_US, "us"),
        ),
        ("groups that a host owns, of 3,000", show(GROUPS_PER_HOST)),
        ("owners that a query's 85 shards have", show(OWNERS_PER_QUERY)),
        ("shards in one message to an owner", show(SHARDS_PER_MESSAGE)),
        (
            "messages to owners that a host sends",
            show(MESSAGES_PER_S_PER_HOST, "a second"),
        ),
        (
            "queries under way at a host, at the most",
            show(QUERIES_PER_S_PER_HOST * DEADLINE_S),
        ),
        (
            "calls that a backend server sees",
            show(_calculate_calls_per_s_per_leaf(), "a second"),
        ),
        ("edits", show(EDITS_PER_S, "a second")),
        (
            "hosts restarted or replaced: one in",
            show(SECONDS_PER_DAY / RESTARTS_PER_DAY, "s"),
        ),
    ]
    return make_table("what", "figure", rows=iter(rows))


def _calculate_calls_per_s_per_leaf() -> float:
    return QUERIES_PER_S * SHARDS_PER_QUERY / N_LEAFS


def make_slopes_table(store: FigureStore) -> str:
    """Return each part's points, line, error and value at the planned size."""
    headers = ("part", "points", "line", "error", "at the size")
    return make_table(*headers, rows=(_make_slope_row(store, part) for part in PARTS))


def _make_slope_row(store: FigureStore, part: Part) -> tuple[str, ...]:
    label = f"{part.label} (`{part.measure}`: `{part.name}`)"
    slope = store.get_slope(part.measure, part.name)
    if slope is None:
        return (label, UNKNOWN, "", "", UNKNOWN)
    points = ", ".join(f"{x:,}: {show(y)}" for x, y in slope.points.items())
    line = f"{slope.intercept:,.4g} + {slope.slope:,.4g} x {part.x_unit}"
    value = f"{show(slope.compute(part.target_x), part.unit)} at {show(part.target_x)}"
    return (label, points, line, f"{slope.error:.0%}", value)


def make_bookings_table(store: FigureStore) -> str:
    """Return the cost of bookings on a host at its limit of tickets."""
    rate = MAX_TICKETS / TICKET_LIFETIME_S
    hop_us = compute_hop_us(store, 1)
    issuer_us = _divide_by_tickets(store.compute("parts", "issuer_us", MAX_TICKETS))
    witness_us = _divide_by_tickets(store.compute("parts", "witness_us", MAX_TICKETS))
    share = multiply(
        rate, S_PER_US, add(issuer_us, witness_us, multiply(HOPS_PER_BOOKING, hop_us))
    )
    rows = [
        ("bookings that one host may issue", show(rate, "a second")),
        ("issuer's records, a booking", show(issuer_us, "us")),
        ("witness's records, a booking", show(witness_us, "us")),
        (
            f"{HOPS_PER_BOOKING} hops, both hosts",
            show(multiply(HOPS_PER_BOOKING, hop_us), "us"),
        ),
        ("all of them at that rate", show(multiply(share, 100), "% of a core")),
        ("writes to the platform", "0"),
        (
            "share with unknown outcome, 75 s of kills, pauses and cuts",
            show(store.get("once", "unknown_share")),
        ),
        ("run twice in it", show(store.get("once", "run_twice"))),
        ("run twice by plain forwarding", show(store.get("once", "naive_run_twice"))),
    ]
    return make_table("what", "figure", rows=iter(rows))


def _divide_by_tickets(value: float | None) -> float | None:
    return multiply(value, 1 / MAX_TICKETS)


def make_backend_table(store: FigureStore) -> str:
    """Return the load of one backend server, and the slots that it needs."""
    calls = _calculate_calls_per_s_per_leaf()
    rows = [
        ("calls", show(calls, "a second")),
        (
            "with hedges and retries at their budgets",
            show(calls * (1 + HEDGE_BUDGET_SHARE + RETRY_BUDGET_SHARE), "a second"),
        ),
        ("time of a call that 2 slots leave", show(2_000 / calls, "ms")),
        ("busy slots at 1 ms a call", show(calls * 0.001)),
        ("busy slots at 8 ms a call", show(calls * 0.008)),
        ("owners that hold connections to it", "1; 2 while an owner changes"),
    ]
    return make_table("what", "figure", rows=iter(rows))


def make_failures_table(store: FigureStore) -> str:
    """Return the cost of the planned failures for the remaining hosts."""
    rank_us = store.compute("parts", "rank_join_by_groups_us", N_LEAFS)
    n_hosts_left = N_HOSTS * (1 - 1 / N_DATA_CENTRES)
    hosts_per_region = N_HOSTS / N_REGIONS
    groups_per_host = N_LEAFS / hosts_per_region
    rows = [
        (
            "a restart, one in 127 s",
            f"{show(GROUPS_PER_HOST)} groups move, twice",
            f"the loop stands for {show(multiply(rank_us, 1e-3), 'ms')} at the join",
        ),
        (
            f"a data centre, {N_HOSTS // N_DATA_CENTRES} hosts",
            f"{show(N_LEAFS / N_DATA_CENTRES)} groups move; "
            f"{show(N_LEAFS / n_hosts_left)} a host after it",
            f"{show(QUERIES_PER_S / n_hosts_left)} queries a second a host, "
            f"{show(N_HOSTS / n_hosts_left)} times as many",
        ),
        (
            "regions parted for an hour",
            "each region owns all groups that it reaches: "
            f"{show(groups_per_host)} a host",
            f"up to {N_REGIONS} owners of a group, so {N_REGIONS} times its slots are "
            "asked for; it sheds the rest",
        ),
    ]
    return make_table("failure", "state that moves", "cost", rows=iter(rows))


def make_measured_table(store: FigureStore) -> str:
    """Return the last run of each measure, with its figures except points."""
    rows = []
    for measure, run in store.runs.items():
        figures = ", ".join(
            f"{name} {show(value)}"
            for name, value in run.figures.items()
            if "_at_" not in name
        )
        conditions = ", ".join(f"{n} {v}" for n, v in run.conditions.items())
        at = f"{run.at[:16]}, load {run.load_average} on {run.n_cores} cores"
        rows.append((f"`{measure}`", f"{at}; {conditions}", figures))
    return make_table("measure", "run", "figures", rows=iter(rows))


TABLES: dict[str, Callable[[FigureStore], str]] = {
    "size": make_size_table,
    "slopes": make_slopes_table,
    "queries": make_queries_table,
    "reach": make_reach_table,
    "whole": make_whole_table,
    "ways": make_ways_table,
    "steps": make_steps_table,
    "together": make_together_table,
    "memory": make_memory_table,
    "libraries": make_libraries_table,
    "control": make_control_table,
    "convergence": make_convergence_table,
    "edits": make_edits_table,
    "settings": make_settings_table,
    "bookings": make_bookings_table,
    "platform": make_platform_table,
    "backend": make_backend_table,
    "failures": make_failures_table,
    "measured": make_measured_table,
}
