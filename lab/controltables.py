"""The tables of docs/CAPACITY.md about memory, members, settings and the platform."""

from lavendergap.coordination.watchers import bound_platform_load

from .sizes import (
    CONTROL_CORE_SHARE,
    CONTROL_KB_PER_S,
    CONTROL_MB,
    DEADLINE_S,
    EDITS_PER_S,
    GROUPS_PER_HOST,
    MAX_TICKETS,
    N_HOSTS,
    N_LEAFS,
    QUERIES_PER_S_PER_HOST,
    S_PER_US,
    SHARDS_PER_QUERY,
    WATCH_HOLDERS,
)
from .slopes import UNKNOWN, FigureStore, add, make_table, multiply, show


def make_memory_table(store: FigureStore) -> str:
    """Return a host's memory by part, compared with the 64 MB limit for control."""
    per_query = store.compute("parts", "answers_bytes", SHARDS_PER_QUERY)
    tickets = add(
        store.compute("parts", "issuer_bytes", MAX_TICKETS),
        store.compute("parts", "witness_bytes", MAX_TICKETS),
    )
    parts = [
        ("Python and all imports", _scale(store.get("parts", "imports_kb"), 1 / 1024)),
        ("of it Python alone", _scale(store.get("parts", "python_kb"), 1 / 1024)),
        (
            "ranking of 3,000 groups",
            to_mb(store.compute("parts", "rank_bytes", N_LEAFS)),
        ),
        ("settings in force", to_mb(store.compute("parts", "tree_bytes", N_LEAFS))),
        (
            "channels to and from 549 peers, without the kernel's buffers",
            to_mb(store.compute("parts", "channel_bytes", N_HOSTS - 1)),
        ),
        ("membership of 550 hosts", _get_membership_mb(store)),
        (f"{MAX_TICKETS:,} tickets as issuer and as witness", to_mb(tickets)),
        ("answers kept for repeats, at the most", 8.0),
        (
            "answers to the queries under way, at the most",
            to_mb(multiply(QUERIES_PER_S_PER_HOST * DEADLINE_S, per_query)),
        ),
    ]
    rows = [(name, show(value, "MB")) for name, value in parts]
    known = [v for name, v in parts if v is not None and not name.startswith("of it")]
    rows.append(("**sum of what is measured**", f"**{show(sum(known), 'MB')}**"))
    idle = store.get("memory", "idle_rss_mb")
    loaded = store.get("memory", "loaded_rss_mb")
    rows.append(("a whole process today, two hosts, idle", show(idle, "MB")))
    rows.append(("the same after queries and 2,000 bookings", show(loaded, "MB")))
    at_size = store.get("control", "rss_mb_550")
    rows.append(("an idle process at 550 hosts, by the line", show(at_size, "MB")))
    rows.append(("for control, by letter 1", show(CONTROL_MB, "MB")))
    return make_table("part", "memory", rows=iter(rows))


def _scale(value: float | None, factor: float) -> float | None:
    return multiply(value, factor)


def to_mb(value: float | None) -> float | None:
    return multiply(value, 1 / 1_048_576)


def _get_membership_mb(store: FigureStore) -> float | None:
    return multiply(store.get("convergence", "memory_kb"), 1 / 1024)


def make_libraries_table(store: FigureStore) -> str:
    """Return the memory that each library adds to Python when loaded alone."""
    run = store.runs.get("parts")
    python = store.get("parts", "python_kb")
    rows = [
        (f"`{name.removesuffix('_kb')}`", show((value - (python or 0.0)) / 1024, "MB"))
        for name, value in (run.figures if run else {}).items()
        if name.endswith("_kb") and name not in {"python_kb", "imports_kb"}
    ]
    return make_table("library and what it imports", "beside Python", rows=iter(rows))


def make_settings_table(store: FigureStore) -> str:
    """Return the cost of 3,300 settings edits a day, by role of the host."""
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
                show(multiply(us, EDITS_PER_S, S_PER_US, 100), "%"),
                show(multiply(n_bytes, 1e-3), "KB"),
                show(multiply(n_bytes, EDITS_PER_S, 1e-3), "KB/s"),
            )
        )
    headers = ("role", "an edit", "of a core", "bytes of an edit", "received")
    return make_table(*headers, rows=iter(rows))


def make_platform_table(store: FigureStore) -> str:
    """Return the calls per second to the platform, as `bound_platform_load` bounds."""
    load = bound_platform_load(
        n_hosts=N_HOSTS, n_holders=WATCH_HOLDERS, changes_per_s=EDITS_PER_S
    )
    rows = [
        ("waiting watches", show(load.waiting)),
        ("their renewals", show(load.renewals, "a second")),
        ("ends of watches and fetches after edits", show(load.fetches, "a second")),
        ("each host's own reads", show(load.reads, "a second")),
        ("all calls", show(load.calls_per_s, "a second")),
        ("writes: the edits themselves", show(EDITS_PER_S, "a second")),
        (
            "measured, no edits: all calls by hosts",
            list_points(store, "control", "platform_calls_per_s"),
        ),
    ]
    return make_table("what", "figure", rows=iter(rows))


CONTROL_FIGURES = (
    ("cpu_share", "share of a core", CONTROL_CORE_SHARE),
    ("rss_mb", "resident MB", CONTROL_MB),
    ("bytes_per_s", "bytes sent a second", CONTROL_KB_PER_S * 1_000),
)


def make_control_table(store: FigureStore) -> str:
    """Return the cost of an idle host by fleet size, extrapolated to 550 hosts."""
    rows = []
    for name, label, allowed in CONTROL_FIGURES:
        value = store.get("control", f"{name}_550")
        error = store.get("control", f"{name}_550_error")
        at_size = UNKNOWN if value is None else f"{show(value)} +- {show(error)}"
        points = list_points(store, "control", name)
        rows.append((label, points, at_size, show(allowed)))
        rows.append(
            (f"{label}, watch holder", *_list_watch_holder(store, name), show(allowed))
        )
    # Measured per group of two servers, but the planned size counts single servers.
    each = store.get("probes", "cpu_share_per_group")
    probing = multiply(each, 0.5, GROUPS_PER_HOST)
    label = f"share of a core, health of {GROUPS_PER_HOST:.2g} owned leafs"
    rows.append((label, UNKNOWN if probing is None else "", show(probing), ""))
    decode_us = store.compute("parts", "decode_us", N_LEAFS)
    edits = multiply(decode_us, EDITS_PER_S, S_PER_US)
    rows.append(("share of a core, reading edits", "", show(edits), ""))
    total = add(store.get("control", "cpu_share_550"), probing, edits)
    rows.append(
        ("**share of a core, together**", "", show(total), show(CONTROL_CORE_SHARE))
    )
    headers = ("one idle host", "hosts: figure", "at 550 by the line", "allowed")
    return make_table(*headers, rows=iter(rows))


def list_points(store: FigureStore, measure: str, name: str) -> str:
    points = store.get_points(measure, name)
    return ", ".join(f"{x:,}: {show(y)}" for x, y in points.items()) or UNKNOWN


def _list_watch_holder(store: FigureStore, name: str) -> tuple[str, str]:
    value = store.compute("control", f"holder_{name}", N_HOSTS)
    return list_points(store, "control", f"holder_{name}"), show(value)


def make_convergence_table(store: FigureStore) -> str:
    """Return how fast gossip spreads, and its traffic, by fleet size."""
    names = (
        ("join_s", "s until a newcomer knows all and all know it"),
        ("suspect_s", "s to the first suspicion of a dead host"),
        ("dead_s", "s until all hold it dead"),
        ("leave_s", "s until nobody gives a leaving host work"),
        ("document_s", "s until a version is everywhere"),
        ("heal_s", "s until sides parted for a minute agree again"),
        ("messages_per_s", "datagrams a second, nothing changing"),
        ("bytes_per_s", "bytes a second, nothing changing"),
        ("churn_bytes_per_s", "bytes a second, a host replaced each 130 s"),
        ("false_dead", "running hosts declared dead"),
    )
    rows = ((label, list_points(store, "convergence", name)) for name, label in names)
    return make_table("what", "hosts: figure", rows=rows)


def make_edits_table(store: FigureStore) -> str:
    """Return the longest time from acceptance of an edit until all hosts apply it."""
    names = (
        ("none", "nothing goes wrong"),
        ("holder", "a watch holder is killed at acceptance"),
        ("all_holders", "all watch holders are killed at acceptance"),
        ("platform", "the platform goes down just after it"),
    )
    rows = [
        (label, list_points(store, "settings", f"{name}_worst_s"))
        for name, label in names
    ]
    rows.append(("reverted, all edits", show(store.get("settings", "reverted"))))
    rows.append(
        ("missing on a host, all edits", show(store.get("settings", "missing")))
    )
    return make_table("what", "hosts: worst s, wanted 13", rows=iter(rows))
