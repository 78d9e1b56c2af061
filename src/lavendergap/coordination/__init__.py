"""Coordination between hosts, as objects without I/O that can be embedded elsewhere.

Events and the present time are passed in; typed messages and decisions are returned. No
object opens a socket, reads a clock or uses the global random generator, so that tests
and models run the same code as the daemon. Times are seconds of one monotonic clock,
passed in as `now`.

`Membership` tracks the live hosts and `Ranking` the owner of each key; `Documents`
holds the newest version of each document; `Issuer` and `Witness` run a request at most
once; `GroupScheduler` runs calls on a group of replicas. Each class has an example.
Other types of their parameters and results are in `lavendergap.state`: `settings`
(`Address`, `Control`, `Group`, `Service`), `member`, `gossip`, `ticket` (`Peer` and the
messages between issuer and witness) and `outcome` (`Answered`, `NotRun`, `Unknown`).
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .budget import Budget as Budget
    from .calls import AttemptEnded as AttemptEnded
    from .calls import Call as Call
    from .calls import CancelAttempt as CancelAttempt
    from .calls import FinishCall as FinishCall
    from .calls import ServerReport as ServerReport
    from .calls import StartAttempt as StartAttempt
    from .documents import Documents as Documents
    from .documents import FetchDocument as FetchDocument
    from .issuer import Issuer as Issuer
    from .joining import Join as Join
    from .joining import ShardBody as ShardBody
    from .membership import Membership as Membership
    from .pinning import Pinning as Pinning
    from .ranking import Ranking as Ranking
    from .ranking import rank_hosts as rank_hosts
    from .ranking import rank_owner as rank_owner
    from .resolution import Pending as Pending
    from .resolution import Rejected as Rejected
    from .resolution import Settled as Settled
    from .resolution import resolve_by_issuer as resolve_by_issuer
    from .resolution import resolve_by_witness as resolve_by_witness
    from .scheduler import GroupScheduler as GroupScheduler
    from .summary import GroupSummary as GroupSummary
    from .watchers import choose_watch_holders as choose_watch_holders
    from .watchers import draw_read_delay as draw_read_delay
    from .witness import Witness as Witness

# Names are imported when they are first used: a gateway host needs few of these
# modules, and each import delays its first answer, most of all when many hosts start at
# once after a power failure.
_MODULES = {
    "Budget": "budget",
    "AttemptEnded": "calls",
    "Call": "calls",
    "CancelAttempt": "calls",
    "FinishCall": "calls",
    "ServerReport": "calls",
    "StartAttempt": "calls",
    "Documents": "documents",
    "FetchDocument": "documents",
    "Issuer": "issuer",
    "Join": "joining",
    "ShardBody": "joining",
    "Membership": "membership",
    "Pinning": "pinning",
    "Ranking": "ranking",
    "rank_hosts": "ranking",
    "rank_owner": "ranking",
    "Pending": "resolution",
    "Rejected": "resolution",
    "Settled": "resolution",
    "resolve_by_issuer": "resolution",
    "resolve_by_witness": "resolution",
    "GroupScheduler": "scheduler",
    "GroupSummary": "summary",
    "choose_watch_holders": "watchers",
    "draw_read_delay": "watchers",
    "Witness": "witness",
}


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)


def __dir__() -> list[str]:
    return sorted(_MODULES)
