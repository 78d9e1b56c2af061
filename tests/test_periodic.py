"""The task that checks all channels of a process periodically."""

import trio

from lavendergap.transport.periodic import PeriodicChecks


class CheckRecorder:
    """Records the times of its checks."""

    def __init__(self) -> None:
        self.checks: list[float] = []

    def check(self, now: float) -> None:
        self.checks.append(now)


class TestPeriodicChecks:
    async def test_checks_run_until_discarded(self, autojump_clock):
        periodic = PeriodicChecks(interval=0.125)
        recorder = CheckRecorder()
        periodic.add(recorder)
        await trio.sleep(0.3)
        assert recorder.checks == [0.125, 0.25]
        periodic.discard(recorder)
        await trio.sleep(0.3)
        assert len(recorder.checks) == 2

    async def test_a_late_check_is_skipped(self, autojump_clock):
        # After a stall of this process, data of peers is still unread. A check at that
        # moment would close all channels.
        periodic = PeriodicChecks(interval=0.125)
        recorder = CheckRecorder()
        periodic.add(recorder)
        await trio.sleep(0.2)
        autojump_clock.jump(2.0)
        await trio.sleep(0.05)
        assert recorder.checks == [0.125]
        await trio.sleep(0.125)
        assert len(recorder.checks) == 2
