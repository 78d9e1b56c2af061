"""The tables of docs/CAPACITY.md about the cost of queries on a host."""

from .sizes import (
    CALLS_PER_S_PER_HOST,
    OWNERS_PER_QUERY,
    QUERIES_PER_S_PER_HOST,
    S_PER_US,
    SHARDS_PER_QUERY,
)
from .slopes import UNKNOWN, FigureStore, add, make_table, multiply, show


def compute_hop_us(store: FigureStore, n_shards: float) -> float | None:
    """Return the cost of one request and reply on both hosts, in microseconds."""
    return store.compute("parts", "hop_us", n_shards)


def compute_leaf_us(store: FigureStore) -> float | None:
    """Return an owner's cost of a leaf call in a query over 85 shards."""
    return store.get("fanout", "ours_us_at_85")


def list_query_parts(
    store: FigureStore, n_owners: float
) -> list[tuple[str, float, float | None]]:
    """Return a host's work for queries: name, rate per second, microseconds each."""
    n_messages = QUERIES_PER_S_PER_HOST * n_owners
    n_calls = CALLS_PER_S_PER_HOST
    hop_us = compute_hop_us(store, SHARDS_PER_QUERY / n_owners)
    join_us = store.compute("parts", "join_us", SHARDS_PER_QUERY)
    line_us = store.get("decisions", "line_us_at_1")
    caller_us = store.compute("parts", "caller_us", SHARDS_PER_QUERY)
    return [
        ("as coordinator, the callers' port", QUERIES_PER_S_PER_HOST, caller_us),
        ("as coordinator, half of each hop", n_messages, multiply(0.5, hop_us)),
        ("as coordinator, joining a query's answers", QUERIES_PER_S_PER_HOST, join_us),
        ("as owner, half of each hop", n_messages, multiply(0.5, hop_us)),
        ("as owner, a leaf call", n_calls, compute_leaf_us(store)),
        ("as owner, a line for each part of a plan", n_messages, line_us),
    ]


def make_queries_table(store: FigureStore) -> str:
    """Return the processor time of queries on one host with the present design."""
    rows = []
    cores = []
    for name, rate, cost_us in list_query_parts(store, OWNERS_PER_QUERY):
        share = multiply(rate, cost_us, S_PER_US)
        cores.append(share)
        rows.append((name, show(rate), show(cost_us, "us"), show(share)))
    known = [value for value in cores if value is not None]
    label = "all" if len(known) == len(cores) else "all that is measured"
    rows.append((f"**{label}**", "", "", f"**{show(sum(known))}**"))
    headers = ("what", "times a second", "each", "cores of a host")
    return make_table(*headers, rows=iter(rows))


def make_reach_table(store: FigureStore) -> str:
    """Return the cost of hops and leaf calls by the number of owners per query."""
    rows = []
    leaf_us = compute_leaf_us(store)
    for n_owners in (OWNERS_PER_QUERY, 20.0, 9.0, 1.0):
        n_shards = SHARDS_PER_QUERY / n_owners
        hop_us = compute_hop_us(store, n_shards)
        hop_cores = multiply(QUERIES_PER_S_PER_HOST * n_owners, hop_us, S_PER_US)
        hop_us_per_call = multiply(hop_cores, 1 / CALLS_PER_S_PER_HOST / S_PER_US)
        total_cores = add(hop_cores, multiply(CALLS_PER_S_PER_HOST, leaf_us, S_PER_US))
        rows.append(
            (
                show(n_owners),
                show(n_shards),
                show(hop_us, "us"),
                show(hop_us_per_call, "us"),
                show(hop_cores),
                show(total_cores),
            )
        )
    headers = (
        "owners a query",
        "shards a message",
        "a hop",
        "of it for each leaf call",
        "cores of a host for hops",
        "with the leaf calls",
    )
    return make_table(*headers, rows=iter(rows))


N_BUNDLED_OWNERS = 9.0


def make_steps_table(store: FigureStore) -> str:
    """Return the cores that a host would need after each cumulative improvement."""
    today = _sum_cores(list_query_parts(store, OWNERS_PER_QUERY))
    bundled = _sum_cores(list_query_parts(store, N_BUNDLED_OWNERS))
    saved_us = add(
        compute_leaf_us(store), multiply(-1, store.get("fanout", "h11_trial_us_at_85"))
    )
    with_h11 = add(bundled, multiply(-1, saved_us, CALLS_PER_S_PER_HOST, S_PER_US))
    rows = [
        ("today", show(today)),
        (f"a query has {N_BUNDLED_OWNERS:.0f} owners", show(bundled)),
        ("and h11 alone for leaf calls", show(with_h11)),
    ]
    return make_table("step", "cores of a host", rows=iter(rows))


def _sum_cores(parts: list[tuple[str, float, float | None]]) -> float | None:
    return add(*(multiply(rate, cost_us, S_PER_US) for _, rate, cost_us in parts))


def make_whole_table(store: FigureStore) -> str:
    """Return the cost of a whole query by fleet size, and the sum of its parts."""
    few = store.get_points("whole", "query_ms_few")
    many = store.get_points("whole", "query_ms_many")
    rows = [
        (
            show(n_hosts),
            show(cost_ms, "ms"),
            show(many.get(n_hosts), "ms"),
            show(_sum_query_ms(store, n_hosts), "ms"),
        )
        for n_hosts, cost_ms in few.items()
    ]
    headers = ("entry hosts", "2 callers", "16 callers", "sum of the parts")
    return make_table(*headers, rows=iter(rows or [(UNKNOWN, "", "", "")]))


def _sum_query_ms(store: FigureStore, n_hosts: int) -> float | None:
    """Return the summed cost of a query whose shards are owned by all the hosts."""
    n_remote = n_hosts - 1
    return multiply(
        1e-3,
        add(
            store.compute("parts", "caller_us", SHARDS_PER_QUERY),
            store.compute("parts", "join_us", SHARDS_PER_QUERY),
            multiply(SHARDS_PER_QUERY, compute_leaf_us(store)),
            multiply(n_remote, compute_hop_us(store, SHARDS_PER_QUERY / n_hosts)),
            multiply(n_hosts, store.get("decisions", "line_us_at_20")),
        ),
    )


LEAF_CALL_VARIANTS = (
    ("ours_us", "ours: httpcore on our own accounting of connections"),
    ("h11_trial_us", "trial: h11 alone on a trio stream"),
    ("bytes_trial_us", "trial: the bytes alone, no HTTP read, as the floor"),
    ("naive_us", "all calls of a query through one httpcore pool"),
)


def make_ways_table(store: FigureStore) -> str:
    """Return the cost of a leaf call by implementation, and the cores it takes."""
    rows = []
    for name, label in LEAF_CALL_VARIANTS:
        points = store.get_points("fanout", name)
        text = ", ".join(f"{x:,}: {show(y)}" for x, y in points.items())
        each = store.get("fanout", f"{name}_at_{SHARDS_PER_QUERY}")
        cores = multiply(each, CALLS_PER_S_PER_HOST, S_PER_US)
        rows.append((label, text or UNKNOWN, show(cores)))
    headers = ("way", "us a call by leafs of the query", "cores of a host at 85")
    return make_table(*headers, rows=iter(rows))


def make_together_table(store: FigureStore) -> str:
    """Return the cost of a hop by requests sent in one event loop iteration."""
    points = store.get_points("parts", "hop_together_us")
    rows = ((show(n), show(us, "us")) for n, us in points.items())
    return make_table("questions in one turn", "a hop of one shard", rows=rows)
