"""The task that looks at all channels of a process in turn."""

import trio

from lavendergap.transport.rounds import PeriodicChecks


class Checkable:
    """Notes when it was looked at."""

    def __init__(self) -> None:
        self.checks: list[float] = []

    def check(self, now: float) -> None:
        self.checks.append(now)


class TestRounds:
    async def test_looks_at_each_until_it_is_discarded(self, autojump_clock):
        rounds = PeriodicChecks(interval=0.125)
        watched = Checkable()
        rounds.add(watched)
        await trio.sleep(0.3)
        assert watched.checks == [0.125, 0.25]
        rounds.discard(watched)
        await trio.sleep(0.3)
        assert len(watched.checks) == 2

    async def test_a_round_that_comes_late_judges_nobody(self, autojump_clock):
        # This process stood still for two seconds. Judged in that moment, with what
        # the peers sent meanwhile still unread, all channels would be closed.
        rounds = PeriodicChecks(interval=0.125)
        watched = Checkable()
        rounds.add(watched)
        await trio.sleep(0.2)
        autojump_clock.jump(2.0)
        await trio.sleep(0.05)
        assert watched.checks == [0.125]
        await trio.sleep(0.125)
        assert len(watched.checks) == 2
