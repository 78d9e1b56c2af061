"""Which hosts count for a customer, and how sure this host can be of it.

The failures answered here are those after which two hosts would count for the same
customer: the loss of a host that may still run beyond a network partition, a process
that was paused and still takes itself for the first, and a start without knowledge.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from heapq import nlargest
from math import inf

from ..ranking import rank_hosts, score_host
from .standing import N_RANKED, Standing, get_fraction

DETECTION_S = 4.0
"""How long after a partition both sides have found most lost hosts.

A probe fails after at most 0.95 s and its suspicion expires after 2 s; the rest covers
the delay of gossip.
"""

STALL_S = 1.0
"""A process that was stopped for longer may have been replaced as counting host.

Other hosts need at least the suspect timeout of 2 s for it; a pause of the garbage
collector or of the scheduler is shorter.
"""

GONE_S = 7_200.0
"""How long a host that went silently is counted as if it ran beyond a partition.

Partitions of regions last up to an hour.
"""

RESTART_S = 60.0
"""A process that ended this long before a silent loss may run again beyond a cut."""

ALONE_S = 6.0
"""How long after its start a host without others counts for nobody.

Hosts that start together without seeds find each other through the list within 4 s.
Until then each would grant the whole limit.
"""

BLIND_RESERVE_SHARE = 0.5
"""The part of its reserve for a host that has started on one side of a cut."""

INTRODUCTION_S = 5.0
"""How long a host known by its own message only is counted as live."""


@dataclass(kw_only=True, slots=True)
class _Record:
    """A host other than this one; `since` is when it became live or was lost.

    `is_silent` is set if it was lost without a sign that its process had ended. It
    stays set for a settling time after the host is back.
    """

    incarnation: int
    is_live: bool
    since: float
    is_silent: bool = False


class HostView:
    """The hosts as this one knows them, for the counting of limits.

    A host that has started is blind: it does not know which hosts went silently before.
    It ends once a host that is not blind has sent them, or once all hosts that its
    settings and the store name have answered.
    `settle_s` is the time after which a host that went silently has stopped counting,
    or counts no more than its side's share of the limit. `detection_s` and `stall_s`
    follow from how the hosts probe each other.
    """

    def __init__(self, *, own: str, window_s: float, now: float) -> None:
        self.own = own
        self.version = 0
        self.window_s = window_s
        self.detection_s = DETECTION_S
        self.stall_s = STALL_S
        self.is_joined = False
        self.is_blind = True
        self.is_only_host = False
        self._hint_share = 0.0
        self.started_at = now
        self.unsure_since = now
        self.live = frozenset({own})
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._records: dict[str, _Record] = {}
        self._members: Mapping[str, int] = {}
        self._introduced: dict[str, float] = {}
        self._n_before_loss: int | None = None
        self._n_silent = 0
        self._touched_at = now

    @property
    def settle_s(self) -> float:
        """The time to detect a failure, and one window."""
        return self.detection_s + self.window_s

    def touch(self, *, now: float) -> bool:
        """Detect a pause of this process; call it often and before each decision."""
        is_stall = now - self._touched_at > self.stall_s
        self._touched_at = now
        if is_stall:
            self.unsure_since = now
            self.version += 1
        return is_stall

    def resume(self, *, now: float) -> None:
        """Continue after a time without limits, which is no pause of the process."""
        self._touched_at = now
        if now - self.started_at > self.settle_s:
            self.is_blind = False

    def get_incarnation(self, name: str) -> int | None:
        """Return the last known incarnation of a host, or None if it is unknown."""
        record = self._records.get(name)
        return None if record is None else record.incarnation

    def update(
        self,
        members: Mapping[str, int],
        leaving: Collection[str],
        *,
        is_joined: bool = True,
        now: float,
    ) -> None:
        """Apply the live members, by name with their incarnations.

        `leaving` are those that announced their departure. Before this host has joined,
        it counts for nobody.
        """
        self.is_joined = is_joined
        for name in self._members:
            if name not in members:
                self._lose(name, now=now, is_silent=name not in leaving)
        for name in leaving:
            self.note_stopped(name, now=now)
        for name, at in list(self._introduced.items()):
            if name in members:
                del self._introduced[name]
            elif now - at > INTRODUCTION_S:
                del self._introduced[name]
                self._lose(name, now=now, is_silent=True)
        for name, incarnation in members.items():
            if name != self.own and name not in leaving:
                self._add(name, incarnation, now=now)
        self._members = members
        self._refresh(now=now)

    def note_live(self, name: str, incarnation: int, *, now: float) -> None:
        """Record a host that sent a message, before gossip reports it."""
        if name == self.own:
            return
        if name not in self._members:
            self._introduced[name] = now
        self._add(name, incarnation, now=now)
        self._refresh(now=now)

    def is_new(self, name: str, *, now: float) -> bool:
        """Return whether another host is live so recently that others may not know."""
        if name == self.own or name not in self.live:
            return False
        return now - self._records[name].since < self.settle_s

    def note_stopped(self, name: str, *, now: float) -> None:
        """Record the proof that a host counts no more: it has ended or is leaving."""
        record = self._records.get(name)
        if record is not None and (record.is_live or record.is_silent):
            self._records[name] = _Record(
                incarnation=record.incarnation, is_live=False, since=now
            )
            self._refresh(now=now)

    def note_hints(self, *, n_answered: int, n_silent: int, is_named: bool) -> None:
        """Record how many of the hosts named by settings and store have answered.

        If all hosts have started during a partition, no host knows of the other side.
        The named hosts answer on one side each, so that the shares add up to one. Those
        whose port refuses connections are not silent. `is_named` is set if this host is
        one of them. If no other answered, the others may count for this host too.
        """
        n_here = n_answered + is_named if n_answered or not n_silent else 0
        n_named = n_here + n_silent
        self._hint_share = n_here / n_named if n_named else 1.0
        if n_silent == 0:
            self.is_blind = False

    def merge_gone(
        self, gone: Iterable[tuple[str, float]], n_hosts: int, *, now: float
    ) -> None:
        """Add the hosts that went silently before this one started, with their age.

        A host that starts on one side of a partition knows nothing of the other side
        and would count for both.
        """
        for name, age in gone:
            if name != self.own and name not in self._records:
                self._records[name] = _Record(
                    incarnation=0, is_live=False, since=now - age, is_silent=True
                )
        self._refresh(now=now)
        if self._n_before_loss is not None and n_hosts:
            self._n_before_loss = max(self._n_silent, min(n_hosts, self._n_before_loss))

    def _add(self, name: str, incarnation: int, *, now: float) -> None:
        record = self._records.get(name)
        if record is None:
            self._records[name] = _Record(
                incarnation=incarnation, is_live=True, since=now
            )
        elif incarnation > record.incarnation:
            # A new process: the one before has ended.
            self._records[name] = _Record(
                incarnation=incarnation,
                is_live=True,
                since=record.since if record.is_live else now,
            )
        elif not record.is_live and record.is_silent:
            record.is_live = True
            record.since = now

    def _lose(self, name: str, *, now: float, is_silent: bool) -> None:
        record = self._records.get(name)
        if record is not None and record.is_live:
            record.is_live = False
            record.since = now
            record.is_silent = is_silent

    def _refresh(self, *, now: float) -> None:
        self.version += 1
        kept = {
            name: record
            for name, record in self._records.items()
            if record.is_live or now - record.since < GONE_S
        }
        self._records = kept
        self.live = frozenset(n for n, r in kept.items() if r.is_live) | {self.own}
        self._ranked.clear()
        self._n_silent = len(self.list_silent(now=now))
        if not self._n_silent:
            self._n_before_loss = None
            return
        n_live = sum(record.is_live for record in kept.values())
        n_lost = sum(not kept[name].is_live for name in self.list_silent(now=now))
        n_known = 1 + n_live + n_lost
        if self._n_before_loss is None:
            self._n_before_loss = n_known
        elif now - self.started_at < self.settle_s:
            # A host that has just started learns of the others one after the other.
            self._n_before_loss = max(n_known, self._n_before_loss)

    def list_silent(self, *, now: float) -> list[str]:
        """Return the hosts that may count out of reach, until back and settled.

        Besides those that went silently, these are hosts whose process had ended just
        before: beyond a cut it may have been started again.
        """
        silent = [
            name
            for name, record in self._records.items()
            if record.is_silent
            and now - record.since < (self.settle_s if record.is_live else GONE_S)
        ]
        losses = [
            self._records[n].since for n in silent if not self._records[n].is_live
        ]
        if not losses:
            return silent
        latest, earliest = min(losses), min(losses) - RESTART_S
        return silent + [
            name
            for name, record in self._records.items()
            if not record.is_live
            and not record.is_silent
            and earliest < record.since <= latest
        ]

    def list_gone(self, *, now: float) -> tuple[tuple[str, float], ...]:
        """Return the hosts that went silently and are not back, with their age."""
        gone = (n for n in self.list_silent(now=now) if not self._records[n].is_live)
        return tuple((name, now - self._records[name].since) for name in gone)

    def list_returned(self, *, now: float) -> list[str]:
        """Return the hosts that are back from a silence and may not have settled."""
        return [n for n in self.list_silent(now=now) if self._records[n].is_live]

    def count_hosts(self) -> int:
        """Return the number of hosts before the first silent loss, 0 without one."""
        return self._n_before_loss or 0

    def get_share(
        self, cleared: frozenset[str], cleared_at: float, *, now: float
    ) -> float:
        """Return the part of each limit that the hosts on this side may use.

        The hosts that went silently may run beyond a partition, and count there for
        the rest. Hosts that start later count for neither side: on both sides together
        they would make it more than one. The silence of those in `cleared` ended, or
        was known not to matter, at `cleared_at`.
        """
        if self.is_blind and now - self.started_at < GONE_S:
            return self._hint_share
        if self._n_before_loss is None:
            return 1.0
        silent = self.list_silent(now=now)
        if not silent:
            self._refresh(now=now)
            return 1.0
        n_gone = 0
        for name in silent:
            record = self._records[name]
            is_later = not record.is_live and record.since > cleared_at
            n_gone += name not in cleared or is_later
        return max(0.0, 1.0 - n_gone / self._n_before_loss)

    def get_reserve_share(
        self, cleared: frozenset[str], cleared_at: float, *, now: float
    ) -> float:
        """Return the part of its reserve that this host may use."""
        share = self.get_share(cleared, cleared_at, now=now)
        if self.is_alone_too_soon(now=now):
            return 0.0
        if self.is_blind and share < 1.0:
            return BLIND_RESERVE_SHARE
        return share

    def is_alone_too_soon(self, *, now: float) -> bool:
        """Return whether others may have started with this host, which has met none."""
        is_soon = now - self.started_at < ALONE_S
        return is_soon and len(self.live) == 1 and not self.is_only_host

    def rank(self, customer: str) -> tuple[str, ...]:
        """Return the first few live hosts for a customer, the counting one first."""
        ranked = self._ranked.get(customer)
        if ranked is None:
            scored = ((score_host(customer, host), host) for host in self.live)
            best = nlargest(N_RANKED, scored)
            ranked = self._ranked[customer] = tuple(host for _, host in best)
        return ranked

    def list_blocking(self, customer: str, *, now: float) -> list[str]:
        """Return the hosts before this one that may count as far as is known here."""
        own_score = (score_host(customer, self.own), self.own)
        return [
            name
            for name, record in self._records.items()
            if (score_host(customer, name), name) > own_score
            and (
                record.is_live
                or (record.is_silent and now - record.since < self.settle_s)
            )
        ]

    def sort(self, customer: str, hosts: Iterable[str]) -> list[str]:
        """Return `hosts` in the order in which they count for a customer."""
        return rank_hosts(customer, hosts)

    def find_standing(self, customer: str, *, now: float) -> Standing:
        """Return what this host is for a customer."""
        own_score = (score_host(customer, self.own), self.own)
        n_lasting = n_any = n_live = 0
        is_sole = True
        since = self.unsure_since
        changes = [inf]
        for name, record in self._records.items():
            if (score_host(customer, name), name) < own_score:
                continue
            age = now - record.since
            if record.is_live:
                n_live += 1
                n_any += 1
                n_lasting += age > self.window_s
                changes.append(record.since + self.window_s)
                continue
            n_lasting += age < self.settle_s
            n_any += age < self.settle_s + self.window_s
            changes += (
                record.since + self.settle_s,
                record.since + self.settle_s + self.window_s,
            )
            is_settled = not record.is_silent or age >= self.settle_s
            is_sole = is_sole and is_settled
            since = max(since, record.since + self.settle_s * record.is_silent)
        fraction = get_fraction(n_lasting, n_any)
        if now - self.started_at < self.window_s:
            # The process before this one may have used its part within this window.
            fraction /= 2
            changes.append(self.started_at + self.window_s)
        return Standing(
            rank=n_any,
            is_first=n_live == 0,
            is_sole=n_live == 0 and is_sole,
            since=since,
            fraction=fraction,
            expires_at=min(at for at in changes if at > now),
        )
