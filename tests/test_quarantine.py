"""Which request contents are held, for how long, and what the store holds of them."""

from random import Random

import pytest
import trio

from lavendergap.coordination.contentids import identify_content
from lavendergap.coordination.quarantine import (
    HOLD_S,
    MAX_STRIKES,
    STRIKE_LIFETIME_S,
    Quarantine,
)
from lavendergap.entry.quarantine import (
    MAX_QUEUED_WRITES,
    SWEEP_INTERVAL_S,
    RequestQuarantine,
)
from lavendergap.state.feeds import StorePosition
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.quarantine import Standing, Strike
from tests.strikes import StoredStrikes


def make_strike(name: str = "c.1", *, is_trial: bool = False) -> Strike:
    return Strike(
        name=name,
        content=name.partition(".")[0],
        host="a-1",
        servers=("i-1",),
        is_trial=is_trial,
    )


def make_request(target: bytes = b"/a", attempt: bytes = b"r1") -> ForwardedRequest:
    headers = ((b"host", b"a.example"), (b"x-attempt", attempt))
    return ForwardedRequest(
        method=b"GET", target=target, attempt=attempt, headers=headers
    )


class TestContents:
    def test_repeats_have_the_same_content_id(self):
        first = make_request(attempt=b"r1")
        again = ForwardedRequest(
            method=b"GET",
            target=b"/a",
            attempt=b"r2",
            headers=((b"x-time-left", b"7"), (b"host", b"A.example")),
        )
        assert identify_content(first, b"") == identify_content(again, b"")

    @pytest.mark.parametrize(
        ("target", "body"), [(b"/b", b""), (b"/a?b", b""), (b"/a", b"b")]
    )
    def test_other_requests_have_other_content_ids(self, target, body):
        other = identify_content(make_request(target), body)
        assert other != identify_content(make_request(b"/a"), b"")


class TestStanding:
    def test_strikes_without_a_trial_only_make_a_content_suspect(self):
        # Guards against a hold of innocent requests: when all servers of a group crash,
        # every request there gets strikes, but none was tried on a single server.
        quarantine = Quarantine()
        for n in range(20):
            quarantine.add(make_strike(f"c.{n}"), now=0.0)
        assert quarantine.get_standing("c", now=0.0) is Standing.SUSPECT

    def test_a_trial_that_crashed_a_server_holds_the_content_for_a_time(self):
        quarantine = Quarantine()
        quarantine.add(make_strike("c.1"), now=0.0)
        quarantine.add(make_strike("c.2", is_trial=True), now=5.0)
        assert quarantine.get_standing("c", now=HOLD_S) is Standing.HELD
        assert quarantine.get_standing("c", now=5.0 + HOLD_S) is Standing.SUSPECT
        quarantine.expire(now=5.0 + STRIKE_LIFETIME_S)
        assert (
            quarantine.get_standing("c", now=5.0 + STRIKE_LIFETIME_S) is Standing.CLEAR
        )

    def test_other_contents_stay_clear(self):
        quarantine = Quarantine()
        quarantine.add(make_strike("c.1", is_trial=True), now=0.0)
        assert quarantine.get_standing("d", now=0.0) is Standing.CLEAR

    def test_the_number_of_strikes_is_bounded(self):
        quarantine = Quarantine()
        added = [
            quarantine.add(make_strike(f"c{n}.1"), now=0.0)
            for n in range(MAX_STRIKES + 5)
        ]
        assert sum(added) == MAX_STRIKES

    def test_hosts_agree_for_any_order_of_strikes(self):
        strikes = [make_strike(f"c.{n}", is_trial=n == 3) for n in range(5)]
        for seed in range(5):
            quarantine = Quarantine()
            Random(seed).shuffle(strikes)
            quarantine.add(strikes[0], now=0.0)
            quarantine.replace_stored(strikes, now=1.0)
            assert quarantine.get_standing("c", now=1.0) is Standing.HELD

    def test_a_content_removed_from_the_store_is_clear(self):
        quarantine = Quarantine()
        own = make_strike("c.1", is_trial=True)
        quarantine.add(own, now=0.0)
        quarantine.replace_stored([own], now=1.0)
        quarantine.replace_stored([], now=2.0)
        assert quarantine.get_standing("c", now=2.0) is Standing.CLEAR


class TestRestoredStore:
    """Guards against forgetting strikes that the store has lost in a restore."""

    def test_lost_strikes_stay_and_are_to_be_written(self):
        quarantine = Quarantine()
        strike = make_strike("c.1", is_trial=True)
        quarantine.replace_stored([strike], now=1.0, epoch=1)
        quarantine.replace_stored([], now=9.0, epoch=2)
        assert quarantine.get_standing("c", now=9.0) is Standing.HELD
        assert quarantine.list_unstored(now=9.0, min_age_s=5.0) == (strike,)
        quarantine.replace_stored([strike], now=10.0, epoch=2)
        assert quarantine.list_unstored(now=10.0, min_age_s=5.0) == ()
        assert quarantine.get_hold_left_s("c", now=11.0) == HOLD_S - 10.0

    def test_strikes_removed_after_the_restore_are_gone(self):
        quarantine = Quarantine()
        for epoch in (1, 2):
            quarantine.replace_stored([make_strike("c.1")], now=1.0, epoch=epoch)
        quarantine.replace_stored([], now=2.0, epoch=2)
        assert quarantine.get_standing("c", now=2.0) is Standing.CLEAR

    def test_strikes_that_were_cleared_do_not_come_back(self):
        """Guards against a copy that undoes the removal of a strike."""
        quarantine = Quarantine()
        strike = make_strike("c.1", is_trial=True)
        quarantine.replace_stored([strike], now=1.0, epoch=1)
        assert quarantine.clear("c", now=2.0) == ("c.1",)
        quarantine.replace_stored([], now=3.0, epoch=1)
        assert quarantine.replace_stored([strike], now=4.0, epoch=2) == ("c.1",)
        assert quarantine.get_standing("c", now=4.0) is Standing.CLEAR

    def test_young_strikes_are_left_to_the_host_that_recorded_them(self):
        quarantine = Quarantine()
        quarantine.add(make_strike("c.1"), now=1.0)
        assert quarantine.list_unstored(now=2.0, min_age_s=5.0) == ()
        assert len(quarantine.list_unstored(now=6.0, min_age_s=5.0)) == 1


@pytest.fixture
async def request_quarantine(autojump_clock, nursery):
    """A running `RequestQuarantine`, with its store."""
    request_quarantine = make_request_quarantine(StoredStrikes())
    nursery.start_soon(request_quarantine.run)
    return request_quarantine


def make_request_quarantine(store: StoredStrikes) -> RequestQuarantine:
    return RequestQuarantine(
        own_name="a-1",
        store=store,
        announce=store.announced.append,
        is_sweeper=lambda: True,
    )


def strike(
    request_quarantine: RequestQuarantine,
    *,
    attempt: bytes = b"r1",
    is_trial: bool = False,
) -> None:
    request = make_request(attempt=attempt)
    request_quarantine.record_crashes(request, b"", servers=("i-1",), is_trial=is_trial)


class TestKeeper:
    async def test_strikes_are_written_to_the_store(
        self, request_quarantine, autojump_clock
    ):
        strike(request_quarantine)
        strike(request_quarantine, attempt=b"r2", is_trial=True)
        await trio.sleep(0.1)
        strikes = request_quarantine._store.stored.values()
        assert [each.is_trial for each in strikes] == [False, True]
        assert len({each.content for each in strikes}) == 1

    async def test_strikes_are_written_after_an_outage_of_the_store(
        self, request_quarantine, autojump_clock
    ):
        # Until then the strikes count at this host.
        request_quarantine._store.is_up = False
        strike(request_quarantine, is_trial=True)
        await trio.sleep(10.0)
        assert request_quarantine.get_standing(make_request(), b"") is Standing.HELD
        request_quarantine._store.is_up = True
        await trio.sleep(2.0)
        assert len(request_quarantine._store.stored) == 1

    async def test_strikes_cleared_during_an_outage_are_not_written(
        self, request_quarantine, autojump_clock
    ):
        request_quarantine._store.is_up = False
        strike(request_quarantine)
        await trio.sleep(3.0)
        request_quarantine.record_answer(make_request(), b"")
        request_quarantine._store.is_up = True
        await trio.sleep(3.0)
        assert request_quarantine._store.stored == {}

    async def test_an_answer_removes_the_stored_strikes(
        self, request_quarantine, autojump_clock
    ):
        strike(request_quarantine)
        await trio.sleep(0.1)
        [name] = request_quarantine._store.stored
        content = identify_content(make_request(), b"")
        request_quarantine.apply_entries(
            {name: content.encode()}, StorePosition(revision=7)
        )
        request_quarantine.record_answer(make_request(attempt=b"r9"), b"")
        await trio.sleep(0.1)
        assert request_quarantine._store.stored == {}
        assert request_quarantine.get_standing(make_request(), b"") is Standing.CLEAR

    async def test_strikes_lost_in_a_restore_are_written_again(
        self, request_quarantine, autojump_clock
    ):
        store = request_quarantine._store
        strike(request_quarantine, is_trial=True)
        await trio.sleep(0.1)
        lost = dict(store.stored)
        [(name, written)] = lost.items()
        entries = {name: written.content.encode()}
        position = StorePosition(epoch=1, revision=9)
        request_quarantine.apply_entries(entries, position)
        store.stored.clear()
        request_quarantine.apply_entries({}, StorePosition(epoch=2, revision=4))
        await trio.sleep(2 * SWEEP_INTERVAL_S)
        assert list(store.stored) == list(lost)
        assert request_quarantine.get_standing(make_request(), b"") is not (
            Standing.CLEAR
        )

    async def test_a_host_that_starts_reads_stored_strikes(self, autojump_clock):
        request_quarantine = make_request_quarantine(StoredStrikes())
        content = identify_content(make_request(), b"")
        request_quarantine.apply_entries(
            {f"{content}.trial": content.encode()}, StorePosition(revision=7)
        )
        assert request_quarantine.get_standing(make_request(), b"") is Standing.HELD
        refusal = request_quarantine.refuse(make_request(), b"", peer="r")
        assert refusal.retry_after_ms == HOLD_S * 1_000

    async def test_an_invalid_stored_entry_is_ignored(self, autojump_clock):
        request_quarantine = make_request_quarantine(StoredStrikes())
        content = identify_content(make_request(), b"")
        request_quarantine.apply_entries(
            {"x": b"", f"{content}.trial": content.encode()}, StorePosition(revision=7)
        )
        assert request_quarantine.get_standing(make_request(), b"") is Standing.HELD

    async def test_expired_strikes_are_removed_from_the_store(
        self, request_quarantine, autojump_clock
    ):
        strike(request_quarantine)
        await trio.sleep(0.1)
        [name] = request_quarantine._store.stored
        content = identify_content(make_request(), b"")
        request_quarantine.apply_entries(
            {name: content.encode()}, StorePosition(revision=7)
        )
        await trio.sleep(STRIKE_LIFETIME_S + 10.0)
        assert request_quarantine._store.stored == {}

    async def test_pending_writes_are_bounded(self, request_quarantine, autojump_clock):
        # Guards against unbounded memory when many servers crash while the store is
        # down.
        request_quarantine._store.is_up = False
        for n in range(10 * MAX_QUEUED_WRITES):
            request = make_request(b"/%d" % n)
            request_quarantine.record_crashes(
                request, b"", servers=("i-1",), is_trial=False
            )
        request_quarantine._store.is_up = True
        await trio.sleep(5.0)
        assert len(request_quarantine._store.stored) <= MAX_QUEUED_WRITES + 1
