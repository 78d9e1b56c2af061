"""The planned size of a deployment, and the measured parts extrapolated to it."""

from dataclasses import dataclass

# Planned size and limits.
N_HOSTS = 550
N_LEAFS = 3_000
QUERIES_PER_S = 110_000
SHARDS_PER_QUERY = 85
DEADLINE_S = 0.28
N_REGIONS = 3
N_DATA_CENTRES = 10
EDITS_PER_DAY = 3_300
RESTARTS_PER_DAY = 680
SECONDS_PER_DAY = 86_400
CONTROL_CORE_SHARE = 0.038
CONTROL_MB = 64
CONTROL_KB_PER_S = 8
# Defaults of the settings.
MAX_TICKETS = 20_000
TICKET_LIFETIME_S = 600
HEDGE_BUDGET_SHARE = 0.05
RETRY_BUDGET_SHARE = 0.05
WATCH_HOLDERS = 2
# Two requests to the witness, one each to the issuer and to the owner.
HOPS_PER_BOOKING = 4

QUERIES_PER_S_PER_HOST = QUERIES_PER_S / N_HOSTS
CALLS_PER_S_PER_HOST = QUERIES_PER_S_PER_HOST * SHARDS_PER_QUERY
GROUPS_PER_HOST = N_LEAFS / N_HOSTS
EDITS_PER_S = EDITS_PER_DAY / SECONDS_PER_DAY
# The expected number of distinct owners: hashing chooses each shard's independently.
OWNERS_PER_QUERY = N_HOSTS * (1 - (1 - 1 / N_HOSTS) ** SHARDS_PER_QUERY)
MESSAGES_PER_S_PER_HOST = QUERIES_PER_S_PER_HOST * OWNERS_PER_QUERY
SHARDS_PER_MESSAGE = SHARDS_PER_QUERY / OWNERS_PER_QUERY

S_PER_US = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A measured part of a host's work.

    `name` is its prefix in the figures of `measure`, `x_unit` what the size counts and
    `target_x` the planned size.
    """

    name: str
    measure: str
    label: str
    x_unit: str
    unit: str
    target_x: float


PARTS = (
    Part(
        name="hop_us",
        measure="parts",
        label="question to an owner and its answer, both hosts",
        x_unit="shards in the message",
        unit="us",
        target_x=SHARDS_PER_MESSAGE,
    ),
    Part(
        name="search_codec_us",
        measure="parts",
        label="of it the codec of the question",
        x_unit="shards",
        unit="us",
        target_x=SHARDS_PER_MESSAGE,
    ),
    Part(
        name="answers_codec_us",
        measure="parts",
        label="of it the codec of the answer",
        x_unit="shards",
        unit="us",
        target_x=SHARDS_PER_MESSAGE,
    ),
    Part(
        name="search_bytes",
        measure="parts",
        label="the question",
        x_unit="shards",
        unit="bytes",
        target_x=SHARDS_PER_MESSAGE,
    ),
    Part(
        name="answers_bytes",
        measure="parts",
        label="the answer, results of 311 bytes",
        x_unit="shards",
        unit="bytes",
        target_x=SHARDS_PER_MESSAGE,
    ),
    Part(
        name="ours_us",
        measure="fanout",
        label="leaf call, from owner to checked answer",
        x_unit="shards in the query",
        unit="us",
        target_x=SHARDS_PER_QUERY,
    ),
    Part(
        name="caller_us",
        measure="parts",
        label="callers' port: a query in, its answer out, nothing behind",
        x_unit="shards",
        unit="us",
        target_x=SHARDS_PER_QUERY,
    ),
    Part(
        name="join_us",
        measure="parts",
        label="joining the answers to a query",
        x_unit="shards",
        unit="us",
        target_x=SHARDS_PER_QUERY,
    ),
    Part(
        name="rank_join_by_groups_us",
        measure="parts",
        label="ranking anew when a host joins, 550 hosts",
        x_unit="groups",
        unit="us",
        target_x=N_LEAFS,
    ),
    Part(
        name="rank_join_by_hosts_us",
        measure="parts",
        label="the same, 3,000 groups",
        x_unit="hosts",
        unit="us",
        target_x=N_HOSTS,
    ),
    Part(
        name="rank_bytes",
        measure="parts",
        label="memory of the ranking",
        x_unit="groups",
        unit="bytes",
        target_x=N_LEAFS,
    ),
    Part(
        name="channel_bytes",
        measure="parts",
        label="memory of channels between hosts, both ends",
        x_unit="channels",
        unit="bytes",
        target_x=N_HOSTS,
    ),
    Part(
        name="issuer_us",
        measure="parts",
        label="issuer: tickets from issue to confirmed outcome",
        x_unit="tickets",
        unit="us",
        target_x=MAX_TICKETS,
    ),
    Part(
        name="witness_us",
        measure="parts",
        label="witness: the same tickets, read from text",
        x_unit="tickets",
        unit="us",
        target_x=MAX_TICKETS,
    ),
    Part(
        name="issuer_bytes",
        measure="parts",
        label="memory of the issuer's records",
        x_unit="tickets",
        unit="bytes",
        target_x=MAX_TICKETS,
    ),
    Part(
        name="witness_bytes",
        measure="parts",
        label="memory of the witness's records",
        x_unit="tickets",
        unit="bytes",
        target_x=MAX_TICKETS,
    ),
    Part(
        name="parse_us",
        measure="parts",
        label="command line: the operators' text read and checked",
        x_unit="backend servers",
        unit="us",
        target_x=N_LEAFS,
    ),
    Part(
        name="command_kb",
        measure="parts",
        label="command line: memory of the process that has read it",
        x_unit="backend servers",
        unit="KB",
        target_x=N_LEAFS,
    ),
    Part(
        name="object_us",
        measure="parts",
        label="watch holder: the platform's value read",
        x_unit="backend servers",
        unit="us",
        target_x=N_LEAFS,
    ),
    Part(
        name="decode_us",
        measure="parts",
        label="other hosts: the resolved form read",
        x_unit="backend servers",
        unit="us",
        target_x=N_LEAFS,
    ),
    Part(
        name="object_bytes",
        measure="parts",
        label="the platform's value",
        x_unit="backend servers",
        unit="bytes",
        target_x=N_LEAFS,
    ),
    Part(
        name="resolved_bytes",
        measure="parts",
        label="the resolved form",
        x_unit="backend servers",
        unit="bytes",
        target_x=N_LEAFS,
    ),
    Part(
        name="tree_bytes",
        measure="parts",
        label="memory of the settings in force",
        x_unit="backend servers",
        unit="bytes",
        target_x=N_LEAFS,
    ),
)
