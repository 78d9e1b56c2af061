"""What a host that is asked for permits decides, for each customer.

Answers load beyond a customer's limit with exact counting at one host, and the failure
of that host with a reserve that all hosts share by rank. docs/design/shared-limits.md
has the argument why no schedule of failures exceeds the bound.
"""

from collections.abc import Callable
from random import Random

from ...state.customers import Customer, LimitBounds
from .bucket import Bucket, WindowCount, WindowReserve
from .counts import Count, CountStatus, Grant, Handover, RoleChange
from .hosts import HostView
from .retries import MAX_RETRY_AFTER_S, RetryTimes
from .standing import Standing

MAX_VALIDITY_S = 0.5
"""How long a permit may be kept; short, as kept permits are missing elsewhere."""

MIN_VALIDITY_S = 0.03
"""Long enough for the request that waits for it."""

CARRIED_FRACTION = 1 / 16
"""The part of the reserve for permits used after the window of their grant."""

MAX_FILL_S = 60.0
"""How long a bucket that started empty is supplemented from the reserve."""

FILL_FRACTION = 1 / 4
"""The part of the reserve of a host whose bucket is being filled."""

HANDOVER_RETRY_S = 0.5


class Counting:
    """Grants permits for the customers for which this host is asked.

    A host that is first, and certain that no other counts, grants from the bucket; any
    other grants from its part of the reserve only.
    """

    def __init__(self, *, view: HostView, bounds: LimitBounds, random: Random) -> None:
        self._view = view
        self._bounds = bounds
        self._random = random
        self._counts: dict[str, Count] = {}
        self._changes: list[RoleChange] = []
        self._is_leaving = False

    # Requests for permits.

    def decide(self, customer: Customer, n_wanted: int, *, now: float) -> Grant:
        """Grant up to `n_wanted` permits, or state when to ask again."""
        count = self._update(customer, now=now)
        count.asked_at = now
        n = n_reserve = 0
        if count.is_counting:
            n = count.bucket.take(n_wanted, now=now)
        if n < n_wanted and not self._is_leaving:
            capacity = self._get_reserve(customer, count, now=now)
            n_reserve = count.reserve.take(n_wanted - n, capacity=capacity, now=now)
        n += n_reserve
        count.used.add(n, now=now)
        next_s = retry_s = 0.0
        if not n:
            counted = count.bucket if count.is_counting else count.reserve
            next_s = min(MAX_RETRY_AFTER_S, counted.estimate_wait(now=now))
            retry_s = count.retries.take(
                wait_s=next_s, rate=count.bucket.rate, now=now, random=self._random
            )
        return Grant(
            n=n,
            valid_s=self._get_validity(customer),
            next_s=next_s,
            retry_s=retry_s,
            is_counting=count.is_counting,
            n_used=round(count.used.read(now=now)),
            n_reserve=n_reserve,
        )

    def _get_reserve(self, customer: Customer, count: Count, *, now: float) -> float:
        """Return the part of the reserve that this host may use in each window."""
        standing = count.standing
        if standing is None:
            return 0.0
        fraction = standing.fraction
        if count.is_counting:
            fill_s = customer.burst / customer.rate_per_s
            is_filling = now - count.filled_at < min(fill_s, MAX_FILL_S)
            fraction = min(fraction, FILL_FRACTION) if is_filling else 0.0
        share = self._view.get_reserve_share(count.cleared, count.cleared_at, now=now)
        return fraction * share * self._measure_reserve(customer)

    def _measure_reserve(self, customer: Customer) -> float:
        bounds = self._bounds
        allowed = customer.rate_per_s * bounds.window_s + customer.burst
        return bounds.overage * allowed + bounds.slack

    def _get_validity(self, customer: Customer) -> float:
        """Return how long a permit is valid.

        In a window may run what was granted in it and, before it, within the validity;
        the latter has to fit into its part of the reserve.
        """
        carried = CARRIED_FRACTION * self._measure_reserve(customer)
        longest = min(MAX_VALIDITY_S, carried / customer.rate_per_s)
        return max(MIN_VALIDITY_S, longest)

    def give_back(self, name: str, n: int, *, now: float) -> None:
        """Return permits of requests that did not run.

        What does not surely fit into the bucket, which may have refilled meanwhile, is
        paid from the reserve. A customer whose bucket is usually full would otherwise
        be refused below its limit after some requests that did not run.
        """
        count = self._counts.get(name)
        if count is None or n <= 0:
            return
        if not count.is_counting:
            count.reserve.give_back(n)
            return
        bucket = count.bucket
        n_left = bucket.give_back(n, now=now)
        if n_left:
            share = self._view.get_reserve_share(
                count.cleared, count.cleared_at, now=now
            )
            capacity = FILL_FRACTION * share * count.reserve_size
            n_paid = count.reserve.take(n_left, capacity=capacity, now=now)
            bucket.add(n_paid, now=now)

    # The role of this host.

    def counts_alone(self, customer: Customer, *, now: float) -> bool:
        """Return whether this host counts in full for a customer."""
        return self._update(customer, now=now).is_counting

    def _update(self, customer: Customer, *, now: float) -> Count:
        """Return the customer's state, with its role, limit and share at `now`."""
        self._view.touch(now=now)
        count = self._counts.get(customer.name)
        if count is None:
            count = self._counts[customer.name] = self._make_count(customer, now=now)
        count.reserve_size = self._measure_reserve(customer)
        standing = count.standing
        if (
            standing is None
            or count.version != self._view.version
            or now >= standing.expires_at
        ):
            standing = self._view.find_standing(customer.name, now=now)
            count.standing = standing
            count.version = self._view.version
        is_unsure = self._needs_confirmation(count, now=now)
        share = self._view.get_share(count.cleared, count.cleared_at, now=now)
        may_count = (
            standing.is_sole and not is_unsure and not self._is_leaving and share > 0.0
        )
        count.bucket.replace(
            rate=customer.rate_per_s * share,
            # A bucket that holds less than one token never grants any.
            burst=max(1.0, customer.burst * share),
            now=now,
        )
        if may_count and not count.is_counting:
            self._start(customer, count, standing, now=now)
        elif count.is_counting and not may_count:
            self._stop(customer.name, count, is_unsure=is_unsure, now=now)
        return count

    def _make_count(self, customer: Customer, *, now: float) -> Count:
        return Count(
            bucket=Bucket(rate=customer.rate_per_s, burst=customer.burst, now=now),
            reserve=WindowReserve(window_s=self._bounds.window_s),
            used=WindowCount(window_s=self._bounds.window_s),
            retries=RetryTimes(),
            asked_at=now,
        )

    def _needs_confirmation(self, count: Count, *, now: float) -> bool:
        """Return whether another host may count since this one started or stalled."""
        if not self._view.is_joined or self._view.is_alone_too_soon(now=now):
            return True
        unsure_since = self._view.unsure_since
        if now >= unsure_since + self._view.settle_s or len(self._view.live) == 1:
            return False
        return count.confirmed_at is None or count.confirmed_at < unsure_since

    def _start(
        self, customer: Customer, count: Count, standing: Standing, *, now: float
    ) -> None:
        """Count in full, from the tokens handed over or else from an empty bucket.

        The bucket has filled since no other host counts, also if nobody asked.
        """
        since = standing.since
        unsure_since = self._view.unsure_since
        is_confirmed = (
            count.confirmed_at is not None and count.confirmed_at >= unsure_since
        )
        if not is_confirmed and len(self._view.live) > 1:
            since = max(since, unsure_since + self._view.settle_s)
        tokens = 0.0
        is_continued = False
        why = "first since others stopped"
        if count.handed is not None and now - count.handed[1] < self._view.settle_s:
            tokens, since, is_continued = count.handed
            why = "handed over"
        rate = count.bucket.rate
        count.bucket.start(level=tokens + rate * max(0.0, now - since), now=now)
        count.is_counting = True
        # A bucket that was handed over has been filling at the host before.
        count.filled_at = since - MAX_FILL_S * is_continued
        count.stopped_at = None
        self._changes.append(
            RoleChange(
                customer=customer.name,
                is_counting=True,
                why=why,
                source=count.handed_by if count.handed else "",
                tokens=count.bucket.level,
            )
        )
        count.handed = None

    def _stop(self, name: str, count: Count, *, is_unsure: bool, now: float) -> None:
        count.bucket.fill(now=now)
        count.is_counting = False
        count.stopped_at = now
        why = "another host is first"
        if self._is_leaving:
            why = "leaving"
        elif is_unsure:
            why = "this host started or was stalled"
        self._changes.append(
            RoleChange(
                customer=name,
                is_counting=False,
                why=why,
                source="",
                tokens=count.bucket.level,
            )
        )

    def take_changes(self) -> list[RoleChange]:
        """Return and remove the changes of role, the oldest first."""
        changes, self._changes = self._changes, []
        return changes

    # Handover.

    def list_handover_hosts(self, name: str, *, now: float) -> tuple[str, ...]:
        """Return whom to ask whether they counted for a customer, if that is due.

        A host that started or stalled asks those ranked next. One that counts for its
        side of a partition asks the first of the hosts that have come back.
        """
        count = self._counts.get(name)
        if count is None or count.standing is None or now < count.handover_due:
            return ()
        hosts: tuple[str, ...] = ()
        if not count.standing.is_first or self._is_leaving:
            return ()
        if self._needs_confirmation(count, now=now):
            hosts = tuple(h for h in self._view.rank(name) if h != self._view.own)
        elif count.is_counting and (returned := self._view.list_returned(now=now)):
            waiting = [host for host in returned if host not in count.cleared]
            hosts = tuple(self._view.sort(name, waiting)[:1])
        if hosts:
            count.handover_due = now + HANDOVER_RETRY_S
        return hosts

    def hand_over(
        self, customer: Customer, requester: str, incarnation: int, *, now: float
    ) -> Handover:
        """Stop counting for a customer if `requester` is ranked first for it."""
        count = self._update(customer, now=now)
        was_unsure = self._needs_confirmation(count, now=now)
        self._view.note_live(requester, incarnation, now=now)
        count = self._update(customer, now=now)
        ranked = self._view.rank(customer.name)
        was_counting = (
            count.stopped_at is not None
            and now - count.stopped_at < self._view.settle_s
            and not was_unsure
        )
        rank = 0
        if ranked[0] == requester and self._view.own in ranked:
            rank = ranked.index(self._view.own)
        tokens = 0.0
        if rank and was_counting:
            tokens = count.bucket.level
            count.stopped_at = None
        return Handover(
            tokens=tokens,
            was_counting=was_counting,
            rank=rank,
            is_sure=not was_unsure,
            gone=self._view.list_gone(now=now),
            n_hosts=self._view.count_hosts(),
        )

    def accept(
        self,
        customer: Customer,
        handover: Handover,
        source: str,
        *,
        rank: int,
        is_last: bool,
        now: float,
    ) -> bool:
        """Use the reply of a host that was asked; return whether to ask the next one.

        `rank` is that of the host as seen here. If it sees another one, the two know of
        different hosts, and a third may count. If all that were asked have started just
        now, none of them counted.
        """
        if handover.rank == 0:
            return False
        count = self._update(customer, now=now)
        if count.is_counting:
            if handover.was_counting:
                gone = {name for name, _ in handover.gone}
                known = self._view.list_silent(now=now)
                count.cleared = frozenset(name for name in known if name not in gone)
                count.cleared_at = now
            return False
        self._view.merge_gone(handover.gone, handover.n_hosts, now=now)
        if not handover.was_counting:
            if handover.rank != rank:
                return False
            if not handover.is_sure and not is_last:
                return True
        count.handed = (handover.tokens, now, handover.was_counting)
        if not handover.was_counting and count.stopped_at is not None:
            # A stall that no other host noticed: this is still the only bucket.
            count.bucket.fill(now=now)
            count.handed = (count.bucket.level, now, True)
        elif not handover.was_counting and handover.is_sure:
            # Nobody has counted since this process started.
            count.handed = (0.0, self._view.unsure_since, False)
        count.handed_by = source
        count.confirmed_at = now
        self._update(customer, now=now)
        return False

    def receive_tokens(
        self, customer: Customer, tokens: float, source: str, *, now: float
    ) -> None:
        """Take over from a host that leaves, which sent its tokens unasked."""
        count = self._update(customer, now=now)
        if not count.is_counting:
            count.handed = (tokens, now, True)
            count.handed_by = source
            count.confirmed_at = now
        else:
            level = min(count.bucket.burst, count.bucket.level + tokens)
            count.bucket.start(level=level, now=now)
        self._view.note_stopped(source, now=now)
        self._update(customer, now=now)

    def leave(
        self, find: Callable[[str], Customer | None], *, now: float
    ) -> list[tuple[str, str, float]]:
        """Stop counting; return customers with the next host and the tokens for it."""
        self._is_leaving = True
        handed = []
        for name, count in self._counts.items():
            customer = find(name)
            if customer is None or not count.is_counting:
                continue
            self._update(customer, now=now)
            others = [h for h in self._view.rank(name) if h != self._view.own]
            if others:
                handed.append((name, others[0], count.bucket.level))
        return handed

    # Housekeeping.

    def replace_bounds(self, bounds: LimitBounds) -> None:
        """Apply other bounds; the buckets and what was used of the reserve stay."""
        if bounds.window_s != self._bounds.window_s:
            self._view.window_s = bounds.window_s
            for count in self._counts.values():
                count.reserve.window_s = bounds.window_s
                count.used = WindowCount(window_s=bounds.window_s)
        self._bounds = bounds

    def prune(self, *, now: float) -> None:
        """Drop the customers whose bucket has filled since they were last asked for."""
        for name, count in list(self._counts.items()):
            idle_s = now - count.asked_at
            rate = count.bucket.rate
            fill_s = count.bucket.burst / rate if rate > 0.0 else MAX_FILL_S
            if idle_s > max(MAX_FILL_S, fill_s) + self._view.settle_s:
                del self._counts[name]

    def list_counts(self, *, now: float) -> list[CountStatus]:
        """Return the state of each customer for which this host was asked."""
        return [
            CountStatus(
                customer=name,
                is_counting=count.is_counting,
                is_first=self._view.rank(name)[0] == self._view.own,
                share=self._view.get_share(count.cleared, count.cleared_at, now=now),
                n_used=round(count.used.read(now=now)),
                tokens=round(count.bucket.level, 1),
            )
            for name, count in sorted(self._counts.items())
        ]
