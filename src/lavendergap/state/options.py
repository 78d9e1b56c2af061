"""The table of all options of the settings file.

Validation of files, `lavendergap settings show` and the operators' reference page are
all derived from `OPTIONS` and `BRANCHES`. Options not listed here are rejected.
"""

import functools
from collections.abc import Mapping

from .customeroptions import CUSTOMER_OPTIONS
from .levels import BranchKind, Level, Option
from .settings import WaitForCoverage
from .values import (
    AddressValue,
    FlagValue,
    IntegerValue,
    NameValue,
    NumberValue,
    StragglersValue,
)

MIN_HEDGE_DEADLINE_MS = 20
"""The shortest deadline, in milliseconds, within which a hedge can still answer."""


BRANCHES: tuple[BranchKind, ...] = (
    BranchKind(
        key="control",
        parent=Level.DEPLOYMENT,
        level=Level.CONTROL,
        named=False,
        help="Timing of what the entry hosts do together.",
    ),
    BranchKind(
        key="data_centres",
        parent=Level.DEPLOYMENT,
        level=Level.DATA_CENTRE,
        named=True,
        help="The data centres, by name.",
    ),
    BranchKind(
        key="hosts",
        parent=Level.DATA_CENTRE,
        level=Level.HOST,
        named=True,
        help="The entry hosts in this data centre, by name.",
    ),
    BranchKind(
        key="customers",
        parent=Level.DEPLOYMENT,
        level=Level.CUSTOMER,
        named=True,
        help=(
            "The customers, by name. If there are any, a request needs the key of one, "
            "except to a service that is public."
        ),
    ),
    BranchKind(
        key="services",
        parent=Level.DEPLOYMENT,
        level=Level.SERVICE,
        named=True,
        help="The services, by name.",
    ),
    BranchKind(
        key="groups",
        parent=Level.SERVICE,
        level=Level.GROUP,
        named=True,
        help="The groups of replicas, by name; each serves one shard.",
    ),
    BranchKind(
        key="servers",
        parent=Level.GROUP,
        level=Level.SERVER,
        named=True,
        help="The backend servers of the group, by name.",
    ),
)

_TO_SERVICE = (Level.DEPLOYMENT, Level.SERVICE)
_TO_SERVER = (Level.DEPLOYMENT, Level.SERVICE, Level.GROUP, Level.SERVER)


def _make_duration_option(
    name: str, *, default: int, low: int, high: int, help: str
) -> Option:
    return Option(
        name=name,
        kind=IntegerValue(low=low, high=high),
        unit="ms",
        default=default,
        levels=(Level.CONTROL,),
        help=help,
    )


OPTIONS: tuple[Option, ...] = (
    Option(
        name="deployment",
        kind=NameValue(),
        levels=(Level.DEPLOYMENT,),
        help="Name of the deployment; the platform keeps its settings under it.",
    ),
    Option(
        name="platform",
        kind=AddressValue(),
        levels=(Level.DEPLOYMENT,),
        help="Address of the platform's object API.",
    ),
    Option(
        name="callers",
        kind=AddressValue(),
        levels=(Level.HOST,),
        help="Address on which the host serves callers over HTTP.",
    ),
    Option(
        name="peers",
        kind=AddressValue(),
        levels=(Level.HOST,),
        help="Address of the host for its peers, over UDP and TCP.",
    ),
    Option(
        name="admin",
        kind=AddressValue(),
        levels=(Level.HOST,),
        help="Address of metrics, health, readiness and status.",
    ),
    *CUSTOMER_OPTIONS,
    Option(
        name="address",
        kind=AddressValue(),
        levels=(Level.SERVER,),
        help="Address of the backend server.",
    ),
    Option(
        name="data_centre",
        kind=NameValue(),
        levels=(Level.SERVICE, Level.GROUP, Level.SERVER),
        help="The data centre in which the backend server runs.",
    ),
    Option(
        name="slots",
        kind=IntegerValue(low=1, high=10_000),
        unit="calls",
        default=2,
        levels=_TO_SERVER,
        help="Calls that one backend server runs at once.",
    ),
    Option(
        name="connections",
        kind=IntegerValue(low=1, high=100_000),
        unit="connections",
        default=25,
        levels=_TO_SERVER,
        help="Connections that one backend server accepts; at least its slots.",
    ),
    Option(
        name="idempotent",
        kind=FlagValue(),
        levels=_TO_SERVICE,
        help=(
            "Whether a call may run twice without harm. True: the service is queried, "
            "and calls are retried and hedged. False: requests run at most once, "
            "against a ticket."
        ),
    ),
    Option(
        name="deadline_ms",
        kind=IntegerValue(low=1, high=60_000),
        unit="ms",
        default=280,
        levels=_TO_SERVICE,
        help="Deadline of a request whose caller names none.",
    ),
    Option(
        name="stragglers",
        kind=StragglersValue(),
        default=WaitForCoverage(),
        levels=_TO_SERVICE,
        help=(
            'What to do about straggling shards. {"kind": "wait"} waits for all of '
            'them up to the deadline. {"kind": "give up", "min_share": 0.95, '
            '"patience": 2.0} answers once that share of the library is covered and '
            "that many times the shards' median response time has passed."
        ),
    ),
    Option(
        name="hedge_budget",
        kind=NumberValue(low=0.0, high=1.0),
        unit="share of calls",
        default=0.05,
        levels=_TO_SERVICE,
        extra_calls=True,
        help="Extra calls allowed for hedging; 0 if not idempotent.",
    ),
    Option(
        name="hedge_after_quantile",
        kind=NumberValue(low=0.5, high=0.999),
        unit="quantile",
        default=0.95,
        levels=_TO_SERVICE,
        help="A call is hedged once it is slower than this quantile of recent calls.",
    ),
    Option(
        name="retry_budget",
        kind=NumberValue(low=0.0, high=1.0),
        unit="share of calls",
        default=0.05,
        levels=_TO_SERVICE,
        extra_calls=True,
        help="Extra calls allowed for retries; 0 if not idempotent.",
    ),
    Option(
        name="queue_limit",
        kind=IntegerValue(low=0, high=100_000),
        unit="calls",
        default=64,
        levels=_TO_SERVICE,
        help="Calls that may wait for a slot of one group before more are refused.",
    ),
    Option(
        name="max_body_bytes",
        kind=IntegerValue(low=1, high=16_777_216),
        unit="bytes",
        default=65_536,
        levels=_TO_SERVICE,
        help="The longest body of a request; longer ones are refused.",
    ),
    Option(
        name="weight",
        kind=NumberValue(low=0.01, high=100.0),
        default=1.0,
        levels=_TO_SERVICE,
        help="The service's share of an overloaded host, relative to the others.",
    ),
    Option(
        name="public",
        kind=FlagValue(),
        default=False,
        levels=(Level.SERVICE,),
        help="Whether requests need no key, although the file names customers.",
    ),
    _make_duration_option(
        "probe_interval_ms",
        default=1_000,
        low=50,
        high=60_000,
        help="Time between two probes that a host sends to peers.",
    ),
    _make_duration_option(
        "probe_timeout_ms",
        default=300,
        low=10,
        high=30_000,
        help="Time until a probe counts as unanswered; below probe_interval_ms.",
    ),
    _make_duration_option(
        "suspect_ms",
        default=4_000,
        low=100,
        high=600_000,
        help="Time that a suspected peer has to refute its death.",
    ),
    _make_duration_option(
        "server_probe_interval_ms",
        default=1_000,
        low=50,
        high=60_000,
        help="Time between two health checks of a backend server.",
    ),
    _make_duration_option(
        "idle_connection_ms",
        default=15_000,
        low=100,
        high=600_000,
        help="Time after which an unused connection is no longer reused.",
    ),
    Option(
        name="watch_holders",
        kind=IntegerValue(low=1, high=16),
        unit="hosts",
        default=2,
        levels=(Level.CONTROL,),
        help="Hosts that watch the platform; the others get its documents from peers.",
    ),
    _make_duration_option(
        "ticket_lifetime_ms",
        default=600_000,
        low=1_000,
        high=86_400_000,
        help="Time for which a ticket's outcome can be asked for.",
    ),
    Option(
        name="max_tickets",
        kind=IntegerValue(low=1, high=10_000_000),
        unit="tickets",
        default=20_000,
        levels=(Level.CONTROL,),
        help="Tickets that one host keeps; more are refused.",
    ),
    _make_duration_option(
        "drain_ms",
        default=10_000,
        low=0,
        high=600_000,
        help="Time that running requests have to finish when a host stops.",
    ),
)

STRAGGLERS_OPTIONS: Mapping[str, tuple[Option, ...]] = {
    "wait": (),
    "give up": (
        Option(
            name="min_share",
            kind=NumberValue(low=0.0, high=1.0),
            unit="share of the library",
            default=0.95,
            levels=(),
            help="The least share that an answer covers before shards are given up.",
        ),
        Option(
            name="patience",
            kind=NumberValue(low=0.0, high=1_000.0),
            unit="median shard times",
            default=2.0,
            levels=(),
            help="How long to wait for more once that share is covered.",
        ),
    ),
}


@functools.cache
def list_options(level: Level) -> tuple[Option, ...]:
    """Return the options allowed at `level`, in the table's order."""
    return tuple(option for option in OPTIONS if level in option.levels)


@functools.cache
def list_branches(parent: Level) -> tuple[BranchKind, ...]:
    """Return the keys of a `parent` branch that hold child branches."""
    return tuple(branch for branch in BRANCHES if branch.parent is parent)
