"""When the requests beyond a limit may come back.

A customer that exceeds its limit is refused many times within milliseconds. If all were
given the time of the next token, they would come back together and be refused again.
"""

from random import Random

MAX_RETRY_AFTER_S = 5.0
"""The longest time given; the times of later requests are drawn at random below it."""


class RetryTimes:
    """Gives each refused request of one customer the next free time.

    >>> times = RetryTimes()
    >>> [times.take(wait_s=0.5, rate=4.0, now=0.0, random=Random(1)) for _ in range(3)]
    [0.5, 0.75, 1.0]
    """

    __slots__ = ("_free_at",)

    def __init__(self) -> None:
        self._free_at = 0.0

    def take(self, *, wait_s: float, rate: float, now: float, random: Random) -> float:
        """Return the seconds after which one refused request may come back.

        `wait_s` is the time until the next permit is expected.
        """
        at = max(self._free_at, now + wait_s)
        if at - now >= MAX_RETRY_AFTER_S or rate <= 0.0:
            self._free_at = now + MAX_RETRY_AFTER_S
            return random.uniform(MAX_RETRY_AFTER_S / 2, MAX_RETRY_AFTER_S)
        self._free_at = at + 1.0 / rate
        return at - now
