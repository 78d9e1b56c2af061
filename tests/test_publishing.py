"""Publishing edits of the settings: concurrent edits and lost replies."""

import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from lavendergap.commands.publishing import (
    Accepted,
    EditConflict,
    NotWritten,
    Proposal,
    Unchanged,
    Unresolved,
    publish,
)
from lavendergap.protocol.objects import MAX_EDITS, SettingsObject
from lavendergap.state.settings import Address
from lavendergap.state.tree import parse_settings
from lavendergap.transport.platform import PlatformClient
from standins.faults import PlatformFaults
from standins.http import HttpServer
from standins.platform import Platform
from tests.test_objects import make_edit
from tests.test_tree import TREE

KEY = "settings/small"
LIMIT_S = 15.0
SETTINGS = parse_settings(json.dumps(TREE), file="f")


@pytest.fixture
def clock():
    """A clock that jumps only after a real pause, since data passes the kernel."""
    return MockClock(autojump_threshold=0.02)


def propose(base, *, id="ours", **tree):
    return Proposal(
        key=KEY,
        id=id,
        base=base,
        text=json.dumps(tree),
        tree=tree,
        settings=SETTINGS,
        author="kim",
        at="2026-12-02T18:00:00Z",
        message="More slots.",
    )


class FakePlatform:
    """A platform whose reply to the next write passes through `on_write`, if set."""

    def __init__(self):
        self.platform = Platform(faults=PlatformFaults())
        self.on_write = None

    async def handle(self, request, connection):
        reply = await self.platform.handle(request, connection)
        if request.method == "PUT" and self.on_write is not None:
            on_write, self.on_write = self.on_write, None
            return on_write(reply)
        return reply

    def store(self, text, *edits):
        """Write the settings like another operator; return the new version."""
        value = msgspec.json.encode(SettingsObject(text=text, edits=edits))
        now = trio.current_time()
        return self.platform.store.put(KEY, value, now).version

    def read(self):
        entry = self.platform.store.get(KEY, trio.current_time())
        assert entry is not None
        return msgspec.json.decode(entry.value, type=SettingsObject)

    def set_faults(self, **faults):
        self.platform.set_faults(PlatformFaults(**faults))


@asynccontextmanager
async def open_platform():
    fake = FakePlatform()
    async with trio.open_nursery() as nursery:
        server = HttpServer(ip="127.0.0.1", port=0, handle=fake.handle)
        port = await nursery.start(server.run)
        async with PlatformClient(address=Address(ip="127.0.0.1", port=port)) as client:
            yield fake, client
        nursery.cancel_scope.cancel()


class TestEdits:
    async def test_an_edit_is_recorded_with_its_changes(self):
        async with open_platform() as (fake, client):
            first = await publish(client, propose(0, slots=2), limit_s=LIMIT_S)
            second = propose(1, id="next", slots=3, weight=1)
            assert await publish(client, second, limit_s=LIMIT_S) == Accepted(version=2)
            value = fake.read()
        assert first == Accepted(version=1)
        assert [(edit.id, edit.base, edit.changed) for edit in value.edits] == [
            ("ours", 0, ("slots",)),
            ("next", 1, ("slots", "weight")),
        ]

    async def test_the_same_text_is_not_written_again(self):
        async with open_platform() as (fake, client):
            version = fake.store('{"slots": 2}')
            outcome = await publish(client, propose(version, slots=2), limit_s=LIMIT_S)
            assert outcome == Unchanged(version=version)
            assert fake.platform.counts["put"] == 0

    async def test_one_of_two_concurrent_edits_is_refused(self):
        """Two operators edit version 1; the second write must not undo the first."""
        outcomes = []

        async def edit(client, proposal):
            outcomes.append(await publish(client, proposal, limit_s=LIMIT_S))

        async with open_platform() as (fake, client):
            fake.store("{}")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(edit, client, propose(1, id="a", slots=2))
                nursery.start_soon(edit, client, propose(1, id="b", weight=2))
            (stored_edit,) = fake.read().edits
        outcomes.sort(key=lambda outcome: type(outcome).__name__)
        accepted, conflict = outcomes
        assert accepted == Accepted(version=2)
        assert isinstance(conflict, EditConflict)
        assert conflict.head.edits == (stored_edit,)

    async def test_an_invalid_base(self, clock):
        async with open_platform() as (fake, client):
            none = await publish(client, propose(7, slots=2), limit_s=LIMIT_S)
            fake.store("{}")
            ahead = await publish(client, propose(7, slots=2), limit_s=LIMIT_S)
        assert isinstance(none, NotWritten)
        assert "--base 0" in none.reason
        assert isinstance(ahead, NotWritten)
        assert "shows version 1, before the base" in ahead.reason


class TestLostReplies:
    async def test_an_edit_whose_reply_was_lost_is_accepted_once(self, clock):
        """The edit is stored but the reply is lost, and the retry conflicts.

        The edit's id in the stored object shows that it was accepted.
        """
        async with open_platform() as (fake, client):
            fake.store("{}")
            fake.set_faults(lose_replies=1)
            outcome = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
            edits = fake.read().edits
        assert outcome == Accepted(version=2)
        assert [edit.id for edit in edits] == ["ours"]

    async def test_an_edit_that_another_one_follows_is_accepted(self, clock):
        """The reply is lost, and another edit follows before the object is read back.

        If this were reported as a conflict, the operator would apply the edit twice.
        """
        async with open_platform() as (fake, client):
            fake.store("{}")

            def overwrite(_reply):
                value = fake.read()
                fake.store("{}", *value.edits, replace(make_edit(2), id="theirs"))

            fake.on_write = overwrite
            outcome = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
        assert outcome == Accepted(version=2)

    async def test_a_lost_write_before_another_edit_is_refused(self, clock):
        """The write is lost, another edit is stored, and the retry conflicts.

        The edit's id is not in the object, so that the edit had no effect.
        """
        async with open_platform() as (fake, client):
            fake.store("{}")
            fake.set_faults(lose_requests=1)

            def overtake(reply):
                fake.store("{}", replace(make_edit(1), id="theirs"))
                return reply

            fake.on_write = overtake
            outcome = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
        assert isinstance(outcome, EditConflict)
        assert outcome.version == 2

    async def test_reads_that_lag_do_not_hide_an_accepted_edit(self, clock):
        """A stale read returns the object without the accepted edit.

        It must not be used to report the edit as refused.
        """
        async with open_platform() as (fake, client):
            fake.store("{}")
            await trio.sleep(10.0)
            fake.set_faults(lose_replies=1, stale_reads_ms=3_000.0)
            outcome = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
        assert outcome == Accepted(version=2)

    async def test_an_outage_after_a_write_is_unresolved(self, clock):
        async with open_platform() as (fake, client):
            fake.store("{}")

            def go_down(_reply):
                fake.set_faults(down=True)

            fake.on_write = go_down
            outcome = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
            assert isinstance(outcome, Unresolved)
            never_sent = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
        assert isinstance(never_sent, NotWritten)
        assert "server error" in never_sent.reason

    async def test_a_refusal_after_a_lost_reply_is_unresolved(self, clock):
        # The first write takes effect, but a proxy replies with an error, and the
        # retry is refused. "Not written" would be wrong.
        async with open_platform() as (fake, client):

            def fail_then_refuse(reply):
                fake.on_write = lambda _: replace(reply, status=507, headers=())
                return replace(reply, status=502, headers=())

            fake.on_write = fail_then_refuse
            outcome = await publish(client, propose(0, slots=2), limit_s=LIMIT_S)
            assert [edit.id for edit in fake.read().edits] == ["ours"]
        assert isinstance(outcome, Unresolved)

    async def test_a_history_that_is_too_short_is_unresolved(self, clock):
        async with open_platform() as (fake, client):
            fake.store("{}")

            def bury(_reply):
                edits = [make_edit(number + 2) for number in range(MAX_EDITS)]
                fake.store("{}", *edits)

            fake.on_write = bury
            outcome = await publish(client, propose(1, slots=2), limit_s=LIMIT_S)
        assert isinstance(outcome, Unresolved)
        assert "the history ends before it" in outcome.reason


@dataclass(frozen=True, kw_only=True)
class Round:
    """Concurrent edits, some from an old version, with faults of the platform."""

    lags: list[int]
    faults: dict[str, float]
    down_after_s: float


ROUNDS = st.lists(
    st.builds(
        Round,
        lags=st.lists(st.sampled_from([0, 0, 0, 1]), min_size=1, max_size=3),
        faults=st.fixed_dictionaries(
            {
                "lose_replies": st.integers(0, 2),
                "lose_requests": st.integers(0, 2),
                "stale_reads_ms": st.sampled_from([0.0, 0.0, 3_000.0]),
                "delay_ms": st.sampled_from([0.0, 400.0]),
            }
        ),
        down_after_s=st.sampled_from([0.0, 1.0, 60.0, 60.0]),
    ),
    min_size=1,
    max_size=5,
)


class TestAnyFaults:
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(rounds=ROUNDS)
    def test_what_operators_are_told_is_true(self, rounds):
        """No edit is told as accepted and lost, or as refused and yet in force.

        Operators race, replies and requests get lost, reads lag and the platform
        goes down on the way. Then each outcome is held against all that was ever
        stored.
        """
        trio.run(self.walk, rounds, clock=MockClock(autojump_threshold=0.005))

    async def walk(self, rounds):
        outcomes = {}

        async def edit(client, proposal):
            outcomes[proposal.id] = await publish(client, proposal, limit_s=LIMIT_S)

        async with open_platform() as (fake, client):
            fake.store("{}")
            await trio.sleep(10.0)
            for number, drawn in enumerate(rounds):
                head = fake.platform.store.get_revision(trio.current_time())
                fake.set_faults(**drawn.faults)
                async with trio.open_nursery() as nursery:
                    for lag in drawn.lags:
                        id = f"edit-{number}-{len(nursery.child_tasks)}"
                        proposal = propose(max(1, head - lag), id=id, note=id)
                        nursery.start_soon(edit, client, proposal)
                    with trio.move_on_after(LIMIT_S + 1.0):
                        await trio.sleep(drawn.down_after_s)
                        fake.set_faults(down=True)
                fake.set_faults()
                await trio.sleep(10.0)
            made = list(self.list_made(fake))
        ids = [id for id, _ in made]
        assert len(ids) == len(set(ids)), "an edit took effect twice"
        for id, outcome in outcomes.items():
            match outcome:
                case Accepted(version=version):
                    assert (id, version) in made
                case EditConflict() | NotWritten() | Unchanged():
                    assert id not in ids

    def list_made(self, fake):
        """Yield each edit that was ever stored, with the version that it created."""
        past = fake.platform.store._past[KEY]
        known: set[str] = set()
        for entry in past:
            value = msgspec.json.decode(entry.value, type=SettingsObject)
            assert known <= {edit.id for edit in value.edits}, "an edit was undone"
            for edit in value.edits:
                if edit.id not in known:
                    yield edit.id, entry.version
            known |= {edit.id for edit in value.edits}
