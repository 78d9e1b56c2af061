"""Budgets that limit extra calls to a small share of the callers' calls."""


class Budget:
    """A token bucket that is filled mainly by calls.

    Each call adds `share` of a token and each extra attempt spends a whole one, so that
    in an outage, when every call needs extra attempts, they add at most `share` to the
    load. The bucket holds at most `burst` tokens and starts full. `per_second` tokens
    are added over time, so that a group with few calls can still retry.

    >>> budget = Budget(share=0.5, burst=1.0, per_second=0.0)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    >>> budget.record_call()
    >>> budget.record_call()
    >>> budget.try_spend(now=0.0)
    True
    """

    __slots__ = (
        "share",
        "burst",
        "per_second",
        "tokens",
        "_filled_at",
        "_largest_burst",
    )

    def __init__(self, *, share: float, burst: float, per_second: float) -> None:
        self.share = share
        self.burst = burst
        self._largest_burst = burst
        self.per_second = per_second
        self.tokens = burst if share > 0.0 else 0.0
        self._filled_at: float | None = None

    def replace(self, *, share: float, burst: float, per_second: float) -> None:
        """Apply new limits; what a larger burst adds can be spent at once.

        Tokens spent under a smaller burst count against the larger one. A burst that
        grows and shrinks repeatedly adds no more than its largest value.
        """
        self.share = share
        self.tokens = min(burst, self.tokens + max(0.0, burst - self._largest_burst))
        self._largest_burst = max(self._largest_burst, burst)
        self.burst = burst
        self.per_second = per_second

    def record_call(self) -> None:
        """Count one call."""
        tokens = self.tokens + self.share
        self.tokens = tokens if tokens < self.burst else self.burst

    def try_spend(self, *, now: float) -> bool:
        """Spend a token for one extra attempt; return False if there is none."""
        if self.share <= 0.0:
            return False
        self._fill(now)
        # Sums of shares such as 0.1 may be less than 1 by a rounding error.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True

    def _fill(self, now: float) -> None:
        if self._filled_at is not None and self.per_second > 0.0:
            n_added = (now - self._filled_at) * self.per_second
            self.tokens = min(self.burst, self.tokens + max(0.0, n_added))
        self._filled_at = now
