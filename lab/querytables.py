"""The tables of docs/CAPACITY.md about what queries cost a host."""

from .sizes import CALLS_A_HOST, MICRO, OWNERS_A_QUERY, QUERIES_A_HOST, SHARDS_A_QUERY
from .slopes import UNKNOWN, Store, add, make_table, multiply, show


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
    rows = [
        ("today", show(today)),
        (f"a query has {N_BUNDLED_OWNERS:.0f} owners", show(bundled)),
        ("and h11 alone for leaf calls", show(by_h11)),
    ]
    return make_table("step", "cores of a host", rows=iter(rows))


def _add_up(parts: list[tuple[str, float, float | None]]) -> float | None:
    return add(*(multiply(rate, cost_us, MICRO) for _, rate, cost_us in parts))


def make_whole_table(store: Store) -> str:
    """Return a whole query's cost by the size of the fleet, beside the sum of parts."""
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
    heads = ("entry hosts", "2 callers", "16 callers", "sum of the parts")
    return make_table(*heads, rows=iter(rows or [(UNKNOWN, "", "", "")]))


def _sum_query_ms(store: Store, n_hosts: int) -> float | None:
    """Return the sum of parts of one query whose owners are all hosts but its own."""
    n_remote = n_hosts - 1
    return multiply(
        1e-3,
        add(
            store.compute("parts", "caller_us", SHARDS_A_QUERY),
            store.compute("parts", "join_us", SHARDS_A_QUERY),
            multiply(SHARDS_A_QUERY, compute_leaf_us(store)),
            multiply(n_remote, compute_hop_us(store, SHARDS_A_QUERY / n_hosts)),
            multiply(n_hosts, store.get("decisions", "line_us_at_20")),
        ),
    )


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
