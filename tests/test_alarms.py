"""The clock that all groups of a host share."""

import time
from functools import partial

import trio
import trio.testing

from lavendergap.entry.alarms import Alarm, AlarmClock


class TestAlarmClock:
    async def test_the_earliest_time_that_was_set_counts(self, autojump_clock):
        clock = AlarmClock()
        woken: list[float] = []
        alarm = Alarm(wake=lambda: woken.append(trio.current_time()))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(clock.run)
            began = trio.current_time()
            await trio.sleep(0.0)
            clock.set(alarm, began + 3.0)
            clock.set(alarm, began + 1.0)
            clock.set(alarm, began + 2.0)
            clock.set(alarm, None)
            await trio.sleep(10.0)
            assert woken == [began + 1.0]
            nursery.cancel_scope.cancel()

    async def test_who_sets_it_again_when_woken_is_woken_again(self, autojump_clock):
        clock = AlarmClock()
        woken: list[float] = []

        def wake() -> None:
            woken.append(trio.current_time())
            clock.set(alarm, trio.current_time() + 1.0)

        alarm = Alarm(wake=wake)
        async with trio.open_nursery() as nursery:
            clock.set(alarm, trio.current_time() + 1.0)
            nursery.start_soon(clock.run)
            await trio.sleep(3.5)
            assert len(woken) == 3
            nursery.cancel_scope.cancel()

    async def test_groups_do_not_hold_each_other_up(self, autojump_clock):
        clock = AlarmClock()
        woken: list[int] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(clock.run)
            for number in (3, 1, 2):
                alarm = Alarm(wake=partial(woken.append, number))
                clock.set(alarm, trio.current_time() + number)
            cleared = Alarm(wake=lambda: woken.append(9))
            clock.set(cleared, trio.current_time() + 0.5)
            clock.clear(cleared)
            await trio.sleep(4.0)
            assert woken == [1, 2, 3]
            nursery.cancel_scope.cancel()

    async def test_what_has_arrived_is_read_before_anything_is_due(self):
        # The loop was busy for longer than a call takes. An answer lies unread in its
        # socket when the time to hedge the call is up; read after that, it would
        # find a second server at work.
        clock = AlarmClock()
        happened: list[str] = []
        left, right = trio.socket.socketpair()

        async def receive() -> None:
            await left.recv(1)
            happened.append("answer")

        with left, right:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(clock.run)
                nursery.start_soon(receive)
                await trio.testing.wait_all_tasks_blocked()
                done = trio.Event()

                def wake() -> None:
                    happened.append("hedge")
                    done.set()

                clock.set(Alarm(wake=wake), trio.current_time() + 0.001)
                time.sleep(0.005)  # The loop stands still.
                await right.send(b"x")
                await done.wait()
                assert happened == ["answer", "hedge"]
                nursery.cancel_scope.cancel()
