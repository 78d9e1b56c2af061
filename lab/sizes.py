"""The size of two years by letter 1, and the measured parts worked out at it."""

from dataclasses import dataclass

# The size of letter 1.
N_HOSTS = 550
N_LEAFS = 3_000
QUERIES_PER_S = 110_000
SHARDS_A_QUERY = 85
DEADLINE_S = 0.28
N_REGIONS = 3
N_DATA_CENTRES = 10
EDITS_A_DAY = 3_300
RESTARTS_A_DAY = 680
DAY_S = 86_400
CONTROL_CORE = 0.038
CONTROL_MB = 64
CONTROL_KB_PER_S = 8
# Defaults of the settings table.
MAX_TICKETS = 20_000
TICKET_LIFETIME_S = 600
HEDGE_BUDGET = 0.05
RETRY_BUDGET = 0.05
WATCH_HOLDERS = 2
# A booking asks the witness twice and is passed to the issuer and to the owner.
HOPS_A_BOOKING = 4

QUERIES_A_HOST = QUERIES_PER_S / N_HOSTS
CALLS_A_HOST = QUERIES_A_HOST * SHARDS_A_QUERY
GROUPS_A_HOST = N_LEAFS / N_HOSTS
EDITS_PER_S = EDITS_A_DAY / DAY_S
# Owners are drawn by hashing, each shard's apart from the others'.
OWNERS_A_QUERY = N_HOSTS * (1 - (1 - 1 / N_HOSTS) ** SHARDS_A_QUERY)
MESSAGES_A_HOST = QUERIES_A_HOST * OWNERS_A_QUERY
SHARDS_A_MESSAGE = SHARDS_A_QUERY / OWNERS_A_QUERY

MICRO = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """A measured part: its name in the figures, and where it is looked up."""

    name: str
    measure: str
    told: str
    by: str
    unit: str
    at: float


PARTS = (
    Part(
        name="hop_us",
        measure="parts",
        told="question to an owner and its answer, both hosts",
        by="shards in the message",
        unit="us",
        at=SHARDS_A_MESSAGE,
    ),
    Part(
        name="search_codec_us",
        measure="parts",
        told="of it the codec of the question",
        by="shards",
        unit="us",
        at=SHARDS_A_MESSAGE,
    ),
    Part(
        name="answers_codec_us",
        measure="parts",
        told="of it the codec of the answer",
        by="shards",
        unit="us",
        at=SHARDS_A_MESSAGE,
    ),
    Part(
        name="search_bytes",
        measure="parts",
        told="the question",
        by="shards",
        unit="bytes",
        at=SHARDS_A_MESSAGE,
    ),
    Part(
        name="answers_bytes",
        measure="parts",
        told="the answer, results of 311 bytes",
        by="shards",
        unit="bytes",
        at=SHARDS_A_MESSAGE,
    ),
    Part(
        name="ours_us",
        measure="fanout",
        told="leaf call, from owner to checked answer",
        by="shards in the query",
        unit="us",
        at=SHARDS_A_QUERY,
    ),
    Part(
        name="caller_us",
        measure="parts",
        told="callers' port: a query in, its answer out, nothing behind",
        by="shards",
        unit="us",
        at=SHARDS_A_QUERY,
    ),
    Part(
        name="join_us",
        measure="parts",
        told="joining the answers to a query",
        by="shards",
        unit="us",
        at=SHARDS_A_QUERY,
    ),
    Part(
        name="rank_join_by_groups_us",
        measure="parts",
        told="ranking anew when a host joins, 550 hosts",
        by="groups",
        unit="us",
        at=N_LEAFS,
    ),
    Part(
        name="rank_join_by_hosts_us",
        measure="parts",
        told="the same, 3,000 groups",
        by="hosts",
        unit="us",
        at=N_HOSTS,
    ),
    Part(
        name="rank_bytes",
        measure="parts",
        told="memory of the ranking",
        by="groups",
        unit="bytes",
        at=N_LEAFS,
    ),
    Part(
        name="channel_bytes",
        measure="parts",
        told="memory of channels between hosts, both ends",
        by="channels",
        unit="bytes",
        at=N_HOSTS,
    ),
    Part(
        name="issuer_us",
        measure="parts",
        told="issuer: tickets from issue to confirmed outcome",
        by="tickets",
        unit="us",
        at=MAX_TICKETS,
    ),
    Part(
        name="witness_us",
        measure="parts",
        told="witness: the same tickets, read from text",
        by="tickets",
        unit="us",
        at=MAX_TICKETS,
    ),
    Part(
        name="issuer_bytes",
        measure="parts",
        told="memory of the issuer's records",
        by="tickets",
        unit="bytes",
        at=MAX_TICKETS,
    ),
    Part(
        name="witness_bytes",
        measure="parts",
        told="memory of the witness's records",
        by="tickets",
        unit="bytes",
        at=MAX_TICKETS,
    ),
    Part(
        name="parse_us",
        measure="parts",
        told="command line: the operators' text read and checked",
        by="backend servers",
        unit="us",
        at=N_LEAFS,
    ),
    Part(
        name="command_kb",
        measure="parts",
        told="command line: memory of the process that has read it",
        by="backend servers",
        unit="KB",
        at=N_LEAFS,
    ),
    Part(
        name="object_us",
        measure="parts",
        told="watch holder: the platform's value read",
        by="backend servers",
        unit="us",
        at=N_LEAFS,
    ),
    Part(
        name="decode_us",
        measure="parts",
        told="other hosts: the resolved form read",
        by="backend servers",
        unit="us",
        at=N_LEAFS,
    ),
    Part(
        name="object_bytes",
        measure="parts",
        told="the platform's value",
        by="backend servers",
        unit="bytes",
        at=N_LEAFS,
    ),
    Part(
        name="resolved_bytes",
        measure="parts",
        told="the resolved form",
        by="backend servers",
        unit="bytes",
        at=N_LEAFS,
    ),
    Part(
        name="tree_bytes",
        measure="parts",
        told="memory of the settings in force",
        by="backend servers",
        unit="bytes",
        at=N_LEAFS,
    ),
)
