"""The state of one customer at a host that is asked, and what the host replies."""

from dataclasses import dataclass

from .bucket import Bucket, WindowCount, WindowReserve
from .retries import RetryTimes
from .standing import Standing


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The decision on one request for permits.

    `is_counting` is set if this host counts in full, so that a refusal means that the
    limit is reached. `next_s` is the time to the next permit and `retry_s` the time
    that the refused request is given. `n_reserve` of the permits are from the reserve.
    """

    n: int
    valid_s: float
    next_s: float
    retry_s: float
    is_counting: bool
    n_used: int
    n_reserve: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Handover:
    """What a host hands to the one that counts from now on.

    `rank` is that of the sender if it sees the receiver ranked first, else 0. `is_sure`
    is set if the sender has run long enough to know who counted. `gone` are the hosts
    that went silently, with the seconds since, of `n_hosts` before the first loss.
    """

    tokens: float
    was_counting: bool
    rank: int
    is_sure: bool
    gone: tuple[tuple[str, float], ...] = ()
    n_hosts: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoleChange:
    """This host started or stopped to count for a customer, for the log."""

    customer: str
    is_counting: bool
    why: str
    source: str
    tokens: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CountStatus:
    """What this host counts for a customer: use in the window, and tokens left.

    `is_first` is whether it ranks first, and `share` the part of the limit that the
    hosts on its side may use.
    """

    customer: str
    is_counting: bool
    is_first: bool
    share: float
    n_used: int
    tokens: float


@dataclass(kw_only=True, slots=True)
class Count:
    """The state of one customer at this host.

    `handed` are tokens, when they were handed over, and whether by a host that counted.
    `confirmed_at` is when other hosts confirmed that none of them counts. `cleared` are
    silent hosts whose counting host has handed over, at `cleared_at`. `stopped_at` is
    set while the tokens are not handed over. `reserve_size` is the whole reserve in
    requests, of which this host may use a part.
    """

    bucket: Bucket
    reserve: WindowReserve
    used: WindowCount
    retries: RetryTimes
    is_counting: bool = False
    filled_at: float = 0.0
    handed: tuple[float, float, bool] | None = None
    handed_by: str = ""
    confirmed_at: float | None = None
    stopped_at: float | None = None
    cleared: frozenset[str] = frozenset()
    cleared_at: float = 0.0
    asked_at: float = 0.0
    handover_due: float = 0.0
    version: int = -1
    standing: Standing | None = None
    reserve_size: float = 0.0
