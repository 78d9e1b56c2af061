"""Which requests are held back because backend servers crash while they run them.

A request that crashes the server that runs it is known as a query of death. Sent to all
shards it crashes one server of each; retries crash further servers, and each repeat of
its caller does the same at another host.

A server that crashes fails all requests that it runs, and most of these are not the
cause. So one strike only makes a request's content suspect: the next request with the
same content goes to a single server first (a canary request, as in Dean and Barroso,
"The Tail at Scale"). If that server answers, the strikes are dropped. If it crashes
too, the content is held.
"""

from collections.abc import Collection, Iterable

from ..state.quarantine import Standing, Strike

HOLD_S = 600.0
"""How long a content is held after a server crashed during its canary request.

Long enough to fix the servers' software or withdraw the request. Then one server is
tried again, so that no content is held for ever.
"""

STRIKE_LIFETIME_S = 3_600.0
"""How long a strike makes a content suspect.

Much longer than the hold: if strikes expired with it, a request that is repeated all
day would crash a server of each shard after each hold, and not a single server.
"""

MAX_STRIKES = 2_000
"""Strikes kept, some 0.5 MB, to bound memory; at the limit new ones are ignored."""


class Quarantine:
    """The strikes recorded by all hosts, as far as they are known here.

    Times are seconds of one monotonic clock. A strike counts, and its age is measured,
    from when this host recorded it or received it from another host or the store.

    >>> quarantine = Quarantine()
    >>> first = Strike(
    ...     name="c.1", content="c", host="a-1", servers=("i-1", "i-2"), is_trial=False)
    >>> quarantine.add(first, now=0.0)
    True
    >>> [quarantine.get_standing(content, now=0.0) for content in ("c", "d")]
    [<Standing.SUSPECT: 'suspect'>, <Standing.CLEAR: 'clear'>]
    >>> trial = Strike(
    ...     name="c.2", content="c", host="b-1", servers=("i-3",), is_trial=True)
    >>> quarantine.replace_stored([trial], now=1.0)
    ()
    >>> quarantine.get_standing("c", now=1.0)
    <Standing.HELD: 'held'>
    >>> quarantine.get_hold_left_s("c", now=101.0)
    500.0
    >>> quarantine.get_standing("c", now=601.0)
    <Standing.SUSPECT: 'suspect'>
    """

    def __init__(self) -> None:
        self._by_content: dict[str, list[Strike]] = {}
        self._unstored: dict[str, Strike] = {}
        self._stored: dict[str, Strike] = {}
        self._seen_at: dict[str, float] = {}
        self._epoch = 0
        self._removed_at: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no strikes, as is usual."""
        return not self._by_content

    def count_held(self, *, now: float) -> int:
        """Return the number of contents that are held."""
        return sum(self.get_hold_left_s(c, now=now) > 0.0 for c in self._by_content)

    def get_standing(self, content: str, *, now: float) -> Standing:
        """Return whether a content is clear, suspect or held."""
        if content not in self._by_content:
            return Standing.CLEAR
        if self.get_hold_left_s(content, now=now) > 0.0:
            return Standing.HELD
        return Standing.SUSPECT

    def is_unstored(self, name: str) -> bool:
        """Return whether a strike is recorded here and not known to be in the store."""
        return name in self._unstored

    def get_hold_left_s(self, content: str, *, now: float) -> float:
        """Return for how many more seconds a content is held; 0 if it is not."""
        trials = [
            self._seen_at[strike.name]
            for strike in self._by_content.get(content, ())
            if strike.is_trial
        ]
        return max(0.0, max(trials) + HOLD_S - now) if trials else 0.0

    def add(self, strike: Strike, *, now: float) -> bool:
        """Add a strike of this host or another one; return whether it was added.

        A strike that is known, or for which there is no space, is not added.
        """
        is_known = strike.name in self._seen_at
        if is_known or len(self._seen_at) >= MAX_STRIKES:
            return False
        self._unstored[strike.name] = strike
        self._rebuild(now)
        return True

    def replace_stored(
        self, strikes: Iterable[Strike], *, now: float, epoch: int = 0
    ) -> tuple[str, ...]:
        """Replace the strikes read from the store before by those that it holds now.

        A strike that was stored is removed once it is no longer in the store, but not
        if the store was restored from an older copy meanwhile, which `epoch` counts.
        Return the names of strikes that the copy holds again although they were
        removed here; they are to be removed from the store once more.
        """
        stored = {strike.name: strike for strike in strikes}
        undone = sorted(stored.keys() & self._removed_at.keys())
        for name in undone:
            del stored[name]
        is_restored = epoch > self._epoch
        self._epoch = epoch
        if is_restored:
            self._unstored = self._stored | self._unstored
        self._stored = stored
        for name in self._stored:
            self._unstored.pop(name, None)
        self._rebuild(now)
        return tuple(undone) if is_restored else ()

    def list_unstored(self, *, now: float, min_age_s: float) -> tuple[Strike, ...]:
        """Return strikes that have not been in the store for `min_age_s` or longer."""
        return tuple(
            strike
            for name, strike in self._unstored.items()
            if now - self._seen_at[name] >= min_age_s
        )

    def clear(self, content: str, *, now: float) -> tuple[str, ...]:
        """Drop the strikes of a content; return the names of those still in the store.

        Called when a server has answered a request of this content.
        """
        names = {strike.name for strike in self._by_content.get(content, ())}
        return self._remove(names, now)

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Drop expired strikes; return the names of those still in the store."""
        old = {
            name for name, at in self._seen_at.items() if now - at >= STRIKE_LIFETIME_S
        }
        self._removed_at = {
            name: at
            for name, at in self._removed_at.items()
            if now - at < STRIKE_LIFETIME_S
        }
        return self._remove(old, now)

    def _remove(self, names: Collection[str], now: float) -> tuple[str, ...]:
        """Remove strikes; return the names of those still in the store."""
        stored = tuple(sorted(name for name in names if name in self._stored))
        for name in names:
            self._unstored.pop(name, None)
            self._stored.pop(name, None)
            self._removed_at[name] = now
        while len(self._removed_at) > MAX_STRIKES:
            del self._removed_at[next(iter(self._removed_at))]
        self._rebuild(now)
        return stored

    def _rebuild(self, now: float) -> None:
        strikes = self._unstored | self._stored
        self._seen_at = {name: self._seen_at.get(name, now) for name in strikes}
        self._by_content = {}
        for strike in strikes.values():
            self._by_content.setdefault(strike.content, []).append(strike)
