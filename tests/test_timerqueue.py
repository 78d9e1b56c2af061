"""The timer queue that all groups of a host share."""

import time
from functools import partial

import trio
import trio.testing

from lavendergap.entry.timerqueue import Timer, TimerQueue


class TestTimerQueue:
    async def test_a_timer_wakes_at_the_earliest_time_set(self, autojump_clock):
        timers = TimerQueue()
        woken: list[float] = []
        timer = Timer(wake=lambda: woken.append(trio.current_time()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            began = trio.current_time()
            await trio.sleep(0.0)
            timers.set(timer, began + 3.0)
            timers.set(timer, began + 1.0)
            timers.set(timer, began + 2.0)
            timers.set(timer, None)
            await trio.sleep(10.0)
            assert woken == [began + 1.0]
            nursery.cancel_scope.cancel()

    async def test_a_timer_can_be_set_again_when_woken(self, autojump_clock):
        timers = TimerQueue()
        woken: list[float] = []

        def wake() -> None:
            woken.append(trio.current_time())
            timers.set(timer, trio.current_time() + 1.0)

        timer = Timer(wake=wake)
        async with trio.open_nursery() as nursery:
            timers.set(timer, trio.current_time() + 1.0)
            nursery.start_soon(timers.run)
            await trio.sleep(3.5)
            assert len(woken) == 3
            nursery.cancel_scope.cancel()

    async def test_each_timer_wakes_at_its_own_time(self, autojump_clock):
        timers = TimerQueue()
        woken: list[int] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            for number in (3, 1, 2):
                timer = Timer(wake=partial(woken.append, number))
                timers.set(timer, trio.current_time() + number)
            cleared = Timer(wake=lambda: woken.append(9))
            timers.set(cleared, trio.current_time() + 0.5)
            timers.clear(cleared)
            await trio.sleep(4.0)
            assert woken == [1, 2, 3]
            nursery.cancel_scope.cancel()

    async def test_sockets_are_read_before_timers_wake(self):
        # After a long turn of the loop, an answer lies unread when the call's hedge is
        # due. Were the timer woken first, the answered call would be hedged.
        timers = TimerQueue()
        happened: list[str] = []
        left, right = trio.socket.socketpair()

        async def receive() -> None:
            await left.recv(1)
            happened.append("answer")

        with left, right:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(timers.run)
                nursery.start_soon(receive)
                await trio.testing.wait_all_tasks_blocked()
                done = trio.Event()

                def wake() -> None:
                    happened.append("hedge")
                    done.set()

                timers.set(Timer(wake=wake), trio.current_time() + 0.001)
                time.sleep(0.005)  # Block the loop.
                await right.send(b"x")
                await done.wait()
                assert happened == ["answer", "hedge"]
                nursery.cancel_scope.cancel()
