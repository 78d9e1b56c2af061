"""The tables of docs/CAPACITY.md: the size of two years, and what it costs.

Each table is a function of the saved figures. What was not measured is said to be so
and is left out of sums.
"""

from collections.abc import Callable

from lavendergap.coordination.watchers import bound_platform_load

from .sizes import (
    CALLS_A_HOST,
    CONTROL_MB,
    DAY_S,
    DEADLINE_S,
    EDITS_PER_S,
    GROUPS_A_HOST,
    HEDGE_BUDGET,
    HOPS_A_BOOKING,
    MAX_TICKETS,
    MESSAGES_A_HOST,
    MICRO,
    N_DATA_CENTRES,
    N_HOSTS,
    N_LEAFS,
    N_REGIONS,
    OWNERS_A_QUERY,
    PARTS,
    QUERIES_A_HOST,
    QUERIES_PER_S,
    RESTARTS_A_DAY,
    RETRY_BUDGET,
    SHARDS_A_MESSAGE,
    SHARDS_A_QUERY,
    TICKET_LIFETIME_S,
    WATCH_HOLDERS,
    Part,
)
from .slopes import UNKNOWN, Store, add, make_table, multiply, show


def make_size_table(store: Store) -> str:
    """Return what the size means for one host and one backend server."""
    rows = [
        ("queries a host", show(QUERIES_A_HOST, "a second")),
        ("leaf calls a host", show(CALLS_A_HOST, "a second")),
        ("of one core for each leaf call", show(1 / CALLS_A_HOST / MICRO, "us")),
        ("groups that a host owns, of 3,000", show(GROUPS_A_HOST)),
        ("owners that a query's 85 shards have", show(OWNERS_A_QUERY)),
        ("shards in one message to an owner", show(SHARDS_A_MESSAGE)),
        ("messages to owners that a host sends", show(MESSAGES_A_HOST, "a second")),
        ("queries under way at a host, at the most", show(QUERIES_A_HOST * DEADLINE_S)),
        ("calls that a backend server sees", show(_calls_a_leaf(), "a second")),
        ("edits", show(EDITS_PER_S, "a second")),
        ("hosts restarted or replaced: one in", show(DAY_S / RESTARTS_A_DAY, "s")),
    ]
    return make_table("what", "figure", rows=iter(rows))


def _calls_a_leaf() -> float:
    return QUERIES_PER_S * SHARDS_A_QUERY / N_LEAFS


def make_slopes_table(store: Store) -> str:
    """Return each part's points, its line, the error, and its value at the size."""
    heads = ("part", "points", "line", "error", "at the size")
    return make_table(*heads, rows=(_make_slope_row(store, part) for part in PARTS))


def _make_slope_row(store: Store, part: Part) -> tuple[str, ...]:
    told = f"{part.told} (`{part.measure}`: `{part.name}`)"
    slope = store.get_slope(part.measure, part.name)
    if slope is None:
        return (told, UNKNOWN, "", "", UNKNOWN)
    points = ", ".join(f"{x:,}: {show(y)}" for x, y in slope.points.items())
    line = f"{slope.intercept:,.4g} + {slope.slope:,.4g} x {part.by}"
    value = f"{show(slope.compute(part.at), part.unit)} at {show(part.at)}"
    return (told, points, line, f"{slope.error:.0%}", value)


def compute_hop_us(store: Store, n_shards: float) -> float | None:
    """Return what one question and its answer cost both hosts together."""
    return store.compute("parts", "hop_us", n_shards)


def compute_leaf_us(store: Store) -> float | None:
    """Return what one leaf call costs its owner in a query of 85."""
    return store.get("fanout", "ours_us_at_85")


def list_query_parts(
    store: Store, n_owners: float
) -> list[tuple[str, float, float | None]]:
    """Return what a host does for queries: name, times a second, microseconds."""
    n_messages = QUERIES_A_HOST * n_owners
    n_calls = CALLS_A_HOST
    hop_us = compute_hop_us(store, SHARDS_A_QUERY / n_owners)
    join_us = store.compute("parts", "join_us", SHARDS_A_QUERY)
    line_us = store.get("decisions", "line_us_at_1")
    caller_us = store.compute("parts", "caller_us", SHARDS_A_QUERY)
    return [
        ("as coordinator, the callers' port", QUERIES_A_HOST, caller_us),
        ("as coordinator, half of each hop", n_messages, multiply(0.5, hop_us)),
        ("as coordinator, joining a query's answers", QUERIES_A_HOST, join_us),
        ("as owner, half of each hop", n_messages, multiply(0.5, hop_us)),
        ("as owner, a leaf call", n_calls, compute_leaf_us(store)),
        ("as owner, a line for each part of a plan", n_messages, line_us),
    ]


def make_queries_table(store: Store) -> str:
    """Return the processor time that queries cost one host today."""
    rows = []
    cores = []
    for name, rate, cost_us in list_query_parts(store, OWNERS_A_QUERY):
        share = multiply(rate, cost_us, MICRO)
        cores.append(share)
        rows.append((name, show(rate), show(cost_us, "us"), show(share)))
    known = [value for value in cores if value is not None]
    told = "all" if len(known) == len(cores) else "all that is measured"
    rows.append((f"**{told}**", "", "", f"**{show(sum(known))}**"))
    heads = ("what", "times a second", "each", "cores of a host")
    return make_table(*heads, rows=iter(rows))


def make_reach_table(store: Store) -> str:
    """Return what fewer owners a query, and cheaper parts, would leave."""
    rows = []
    leaf_us = compute_leaf_us(store)
    for n_owners in (OWNERS_A_QUERY, 20.0, 9.0, 1.0):
        n_shards = SHARDS_A_QUERY / n_owners
        hop_us = compute_hop_us(store, n_shards)
        hops = multiply(QUERIES_A_HOST * n_owners, hop_us, MICRO)
        each_us = multiply(hops, 1 / CALLS_A_HOST / MICRO)
        total = add(hops, multiply(CALLS_A_HOST, leaf_us, MICRO))
        rows.append(
            (
                show(n_owners),
                show(n_shards),
                show(hop_us, "us"),
                show(each_us, "us"),
                show(hops),
                show(total),
            )
        )
    heads = (
        "owners a query",
        "shards a message",
        "a hop",
        "of it for each leaf call",
        "cores of a host for hops",
        "with the leaf calls",
    )
    return make_table(*heads, rows=iter(rows))


N_BUNDLED_OWNERS = 9.0


def make_steps_table(store: Store) -> str:
    """Return the cores that a host would need after each step, one upon the other."""
    today = _add_up(list_query_parts(store, OWNERS_A_QUERY))
    bundled = _add_up(list_query_parts(store, N_BUNDLED_OWNERS))
    saved_us = add(
        compute_leaf_us(store), multiply(-1, store.get("fanout", "h11_trial_us_at_85"))
    )
    by_h11 = add(bundled, multiply(-1, saved_us, CALLS_A_HOST, MICRO))
    n_shards = SHARDS_A_QUERY / N_BUNDLED_OWNERS
    codec_us = add(
        store.compute("parts", "answers_codec_us", n_shards),
        multiply(-1, store.compute("parts", "msgpack_answers_us", n_shards)),
    )
    n_messages = QUERIES_A_HOST * N_BUNDLED_OWNERS
    compiled = add(by_h11, multiply(-1, codec_us, n_messages, MICRO))
    rows = [
        ("today", show(today)),
        (f"a query has {N_BUNDLED_OWNERS:.0f} owners", show(bundled)),
        ("and h11 alone for leaf calls", show(by_h11)),
        ("and a compiled codec for the answers between hosts", show(compiled)),
    ]
    return make_table("step", "cores of a host", rows=iter(rows))


def _add_up(parts: list[tuple[str, float, float | None]]) -> float | None:
    return add(*(multiply(rate, cost_us, MICRO) for _, rate, cost_us in parts))


LEAF_WAYS = (
    ("ours_us", "ours: httpcore on our own accounting of connections"),
    ("h11_trial_us", "trial: h11 alone on a trio stream"),
    ("bytes_trial_us", "trial: the bytes alone, no HTTP read, as the floor"),
    ("naive_us", "all calls of a query through one httpcore pool"),
)


def make_ways_table(store: Store) -> str:
    """Return the cost of a leaf call by ways, and the cores that it makes."""
    rows = []
    for name, told in LEAF_WAYS:
        points = store.get_points("fanout", name)
        text = ", ".join(f"{x:,}: {show(y)}" for x, y in points.items())
        each = store.get("fanout", f"{name}_at_{SHARDS_A_QUERY}")
        cores = multiply(each, CALLS_A_HOST, MICRO)
        rows.append((told, text or UNKNOWN, show(cores)))
    heads = ("way", "us a call by leafs of the query", "cores of a host at 85")
    return make_table(*heads, rows=iter(rows))


def make_together_table(store: Store) -> str:
    """Return the cost of a hop by how many questions leave in one turn."""
    points = store.get_points("parts", "hop_together_us")
    rows = ((show(n), show(us, "us")) for n, us in points.items())
    return make_table("questions in one turn", "a hop of one shard", rows=rows)


def make_memory_table(store: Store) -> str:
    """Return a host's memory, part by part, beside the 64 MB for control."""
    per_query = store.compute("parts", "answers_bytes", SHARDS_A_QUERY)
    tickets = add(
        store.compute("parts", "issuer_bytes", MAX_TICKETS),
        store.compute("parts", "witness_bytes", MAX_TICKETS),
    )
    parts = [
        ("Python and all imports", _scale(store.get("parts", "imports_kb"), 1 / 1024)),
        ("of it Python alone", _scale(store.get("parts", "python_kb"), 1 / 1024)),
        (
            "ranking of 3,000 groups",
            _to_mb(store.compute("parts", "rank_bytes", N_LEAFS)),
        ),
        ("settings in force", _to_mb(store.compute("parts", "tree_bytes", N_LEAFS))),
        (
            "channels to and from 549 peers, without the kernel's buffers",
            _to_mb(store.compute("parts", "channel_bytes", N_HOSTS - 1)),
        ),
        ("membership of 550 hosts", _find_membership_mb(store)),
        (f"{MAX_TICKETS:,} tickets as issuer and as witness", _to_mb(tickets)),
        ("answers kept for repeats, at the most", 8.0),
        (
            "answers to the queries under way, at the most",
            _to_mb(multiply(QUERIES_A_HOST * DEADLINE_S, per_query)),
        ),
    ]
    rows = [(name, show(value, "MB")) for name, value in parts]
    known = [v for name, v in parts if v is not None and not name.startswith("of it")]
    rows.append(("**sum of what is measured**", f"**{show(sum(known), 'MB')}**"))
    rows.append(("for control, by letter 1", show(CONTROL_MB, "MB")))
    return make_table("part", "memory", rows=iter(rows))


def _scale(value: float | None, factor: float) -> float | None:
    return multiply(value, factor)


def _to_mb(value: float | None) -> float | None:
    return multiply(value, 1 / 1_048_576)


def _find_membership_mb(store: Store) -> float | None:
    return multiply(store.get("convergence", "memory_kb"), 1 / 1024)


def make_libraries_table(store: Store) -> str:
    """Return what each library takes beside Python, loaded alone."""
    run = store.runs.get("parts")
    python = store.get("parts", "python_kb")
    rows = [
        (f"`{name.removesuffix('_kb')}`", show((value - (python or 0.0)) / 1024, "MB"))
        for name, value in (run.figures if run else {}).items()
        if name.endswith("_kb") and name not in {"python_kb", "imports_kb"}
    ]
    return make_table("library and what it imports", "beside Python", rows=iter(rows))


def make_settings_table(store: Store) -> str:
    """Return what 3,300 edits a day cost, by role."""
    rows = []
    for role, cost, size in (
        ("watch holder: reads the platform's value", "object_us", "object_bytes"),
        ("every host: reads the resolved form", "decode_us", "resolved_bytes"),
    ):
        us = store.compute("parts", cost, N_LEAFS)
        n_bytes = store.compute("parts", size, N_LEAFS)
        rows.append(
            (
                role,
                show(us, "us"),
                show(multiply(us, EDITS_PER_S, MICRO, 100), "%"),
                show(multiply(n_bytes, 1e-3), "KB"),
                show(multiply(n_bytes, EDITS_PER_S, 1e-3), "KB/s"),
            )
        )
    heads = ("role", "an edit", "of a core", "bytes of an edit", "received")
    return make_table(*heads, rows=iter(rows))


def make_bookings_table(store: Store) -> str:
    """Return what bookings cost a host at the limit of its tickets."""
    rate = MAX_TICKETS / TICKET_LIFETIME_S
    hop_us = compute_hop_us(store, 1)
    issuer_us = _divide_by_tickets(store.compute("parts", "issuer_us", MAX_TICKETS))
    witness_us = _divide_by_tickets(store.compute("parts", "witness_us", MAX_TICKETS))
    share = multiply(
        rate, MICRO, add(issuer_us, witness_us, multiply(HOPS_A_BOOKING, hop_us))
    )
    rows = [
        ("bookings that one host may issue", show(rate, "a second")),
        ("issuer's records, a booking", show(issuer_us, "us")),
        ("witness's records, a booking", show(witness_us, "us")),
        (
            f"{HOPS_A_BOOKING} hops, both hosts",
            show(multiply(HOPS_A_BOOKING, hop_us), "us"),
        ),
        ("all of them at that rate", show(multiply(share, 100), "% of a core")),
        ("writes to the platform", "0"),
    ]
    return make_table("what", "figure", rows=iter(rows))


def _divide_by_tickets(value: float | None) -> float | None:
    return multiply(value, 1 / MAX_TICKETS)


def make_platform_table(store: Store) -> str:
    """Return the calls that the platform gets, by the bound that the tests hold."""
    load = bound_platform_load(
        n_hosts=N_HOSTS, n_holders=WATCH_HOLDERS, changes_per_s=EDITS_PER_S
    )
    rows = [
        ("waiting watches", show(load.waiting)),
        ("their renewals", show(load.renewals, "a second")),
        ("ends of watches and fetches after edits", show(load.news, "a second")),
        ("each host's own reads", show(load.reads, "a second")),
        ("all calls", show(load.calls_per_s, "a second")),
        ("writes: the edits themselves", show(EDITS_PER_S, "a second")),
    ]
    return make_table("what", "figure", rows=iter(rows))


def make_backend_table(store: Store) -> str:
    """Return what one backend server sees, and the slots that it would need."""
    calls = _calls_a_leaf()
    rows = [
        ("calls", show(calls, "a second")),
        (
            "with hedges and retries at their budgets",
            show(calls * (1 + HEDGE_BUDGET + RETRY_BUDGET), "a second"),
        ),
        ("time of a call that 2 slots leave", show(2_000 / calls, "ms")),
        ("busy slots at 1 ms a call", show(calls * 0.001)),
        ("busy slots at 8 ms a call", show(calls * 0.008)),
        ("owners that hold connections to it", "1; 2 while an owner changes"),
    ]
    return make_table("what", "figure", rows=iter(rows))


def make_failures_table(store: Store) -> str:
    """Return what the failures of letter 1 cost the hosts that stay."""
    rank_us = store.compute("parts", "rank_join_by_groups_us", N_LEAFS)
    left = N_HOSTS * (1 - 1 / N_DATA_CENTRES)
    region = N_HOSTS / N_REGIONS
    groups = N_LEAFS / region
    rows = [
        (
            "a restart, one in 127 s",
            f"{show(GROUPS_A_HOST)} groups move, twice",
            f"the loop stands for {show(multiply(rank_us, 1e-3), 'ms')} at the join",
        ),
        (
            f"a data centre, {N_HOSTS // N_DATA_CENTRES} hosts",
            f"{show(N_LEAFS / N_DATA_CENTRES)} groups move; "
            f"{show(N_LEAFS / left)} a host after it",
            f"{show(QUERIES_PER_S / left)} queries a second a host, "
            f"{show(N_HOSTS / left)} times as many",
        ),
        (
            "regions parted for an hour",
            f"each region owns all groups that it reaches: {show(groups)} a host",
            f"up to {N_REGIONS} owners of a group, so {N_REGIONS} times its slots are "
            "asked for; it sheds the rest",
        ),
    ]
    return make_table("failure", "state that moves", "cost", rows=iter(rows))


def make_control_table(store: Store) -> str:
    """Return what membership costs one host, by the size of the fleet."""
    names = (
        ("messages_per_s", "datagrams a second"),
        ("bytes_per_s", "bytes a second"),
        ("churn_bytes_per_s", "bytes a second, a host replaced each 130 s"),
        ("cpu_us_per_s", "us of a core a second, without system calls"),
        ("suspect_s", "s to the first suspicion of a dead host"),
        ("dead_s", "s until all hold it dead"),
        ("leave_s", "s until nobody gives a leaving host work"),
        ("document_s", "s until an edit is everywhere"),
        ("heal_s", "s until parted sides agree again"),
    )
    rows = []
    for name, told in names:
        points = store.get_points("convergence", name)
        text = ", ".join(f"{x:,}: {show(y)}" for x, y in points.items())
        rows.append((told, text or UNKNOWN))
    return make_table("what", "hosts: figure", rows=iter(rows))


def make_measured_table(store: Store) -> str:
    """Return the last run of each measure, with all its figures but the points."""
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


TABLES: dict[str, Callable[[Store], str]] = {
    "size": make_size_table,
    "slopes": make_slopes_table,
    "queries": make_queries_table,
    "reach": make_reach_table,
    "ways": make_ways_table,
    "steps": make_steps_table,
    "together": make_together_table,
    "memory": make_memory_table,
    "libraries": make_libraries_table,
    "control": make_control_table,
    "settings": make_settings_table,
    "bookings": make_bookings_table,
    "platform": make_platform_table,
    "backend": make_backend_table,
    "failures": make_failures_table,
    "measured": make_measured_table,
}
