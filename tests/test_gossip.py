"""The gossip protocol: the codec of its datagrams and the UDP service."""

import logging
from functools import partial
from random import Random
from socket import AF_INET, AF_INET6, inet_ntop, inet_pton

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from lavendergap.coordination.dissemination import MAX_UPDATE_BYTES, estimate_bytes
from lavendergap.coordination.documents import Documents, Source
from lavendergap.coordination.membership import MAX_TABLE_DATAGRAM_BYTES, Membership
from lavendergap.protocol.gossip import (
    MAX_DATAGRAM_BYTES,
    GossipCodec,
    Refused,
    RefusedReason,
)
from lavendergap.state.gossip import (
    Ack,
    Event,
    Gossip,
    Message,
    Ping,
    ProbeRequest,
    Send,
    Summary,
    Table,
)
from lavendergap.state.member import (
    DocumentsDigest,
    DocumentVersion,
    Member,
    MemberState,
)
from lavendergap.state.settings import Address, Control
from lavendergap.transport.gossip import (
    GossipEndpoint,
    GossipMetrics,
    open_gossip,
    run_gossip,
)

CODEC = GossipCodec(deployment="cedarlight")


def encode(message: Message) -> bytes:
    encoded = CODEC.encode(message)
    assert isinstance(encoded, bytes)
    return encoded


STEADY = settings(derandomize=True, deadline=None, max_examples=150)


def normalize_ip(ip: object) -> str:
    """Return an address in the system's spelling, since addresses compare as text."""
    family = AF_INET6 if ":" in str(ip) else AF_INET
    return inet_ntop(family, inet_pton(family, str(ip)))


names = st.text("abcdé-0123456789", min_size=1, max_size=32).filter(
    lambda name: len(name.encode()) <= 64
)
u64 = st.integers(0, 2**64 - 1)
members = st.builds(
    Member,
    name=names,
    data_centre=names,
    peers=st.builds(
        Address,
        ip=st.one_of(st.ip_addresses(v=4), st.ip_addresses(v=6)).map(normalize_ip),
        port=st.integers(1, 65535),
    ),
    incarnation=u64,
    refutations=st.integers(0, 2**32 - 1),
    state=st.sampled_from(MemberState),
    settings_version=u64,
    capacity=st.integers(0, 65_535),
)
digests = st.builds(
    DocumentsDigest,
    fingerprint=u64,
    truncated=st.booleans(),
    newest=st.lists(
        st.builds(DocumentVersion, name=names, version=u64), max_size=5
    ).map(tuple),
)
updates = st.lists(members, max_size=3).map(tuple)
messages = st.one_of(
    st.builds(Ping, source=members, sequence=u64, documents=digests, updates=updates),
    st.builds(
        Ack,
        source=members,
        sequence=u64,
        subject=st.none() | members,
        documents=digests,
        updates=updates,
    ),
    st.builds(Gossip, source=members, documents=digests, updates=updates),
    st.builds(ProbeRequest, source=members, sequence=u64, target=members),
    st.builds(
        Summary,
        source=members,
        is_answer=st.booleans(),
        truncated=st.booleans(),
        buckets=st.lists(u64, max_size=64).map(tuple),
    ),
    st.builds(Table, source=members, members=updates),
)


def build_member(number: int, *, name: str = "", **changes) -> Member:
    return Member(
        name=name or f"ptl-a-{number}",
        data_centre=changes.pop("data_centre", "ptl-a"),
        peers=Address(ip="127.0.0.1", port=8100 + number),
        incarnation=1_764_697_000_000,
        **changes,
    )


class TestCodec:
    @STEADY
    @given(message=messages)
    def test_round_trip(self, message):
        assert CODEC.decode(encode(message)) == message

    @STEADY
    @given(message=messages, data=st.data())
    def test_damaged_datagrams_are_refused_and_never_raise(self, message, data):
        encoded = bytearray(encode(message))
        n_kept = data.draw(st.integers(0, len(encoded)))
        for position in data.draw(st.lists(st.integers(0, len(encoded) - 1))):
            encoded[position] ^= data.draw(st.integers(1, 255))
        result = CODEC.decode(bytes(encoded[:n_kept]))
        assert isinstance(result, Refused | Message)

    @STEADY
    @given(payload=st.binary(max_size=1_600))
    def test_noise_is_refused(self, payload):
        assert isinstance(CODEC.decode(b"\x01" + payload), Refused)

    @pytest.mark.parametrize(
        ("data", "reason"),
        [
            (b"", RefusedReason.OTHER_VERSION),
            (b"\x02abc", RefusedReason.OTHER_VERSION),
            (b"\x01abc", RefusedReason.GARBLED),
            (b"\x01" * 1_401, RefusedReason.TOO_LONG),
        ],
    )
    def test_the_reason_of_a_refusal(self, data, reason):
        assert CODEC.decode(data) == Refused(reason=reason)

    def test_datagrams_of_another_deployment_are_refused(self):
        # Guards against merging the tables of two fleets after an address was
        # reassigned, which would send queries to hosts that serve another library.
        message = Table(source=build_member(1), members=())
        other = GossipCodec(deployment="qureshi").encode(message)
        assert isinstance(other, bytes)
        assert CODEC.decode(other) == Refused(reason=RefusedReason.OTHER_DEPLOYMENT)

    def test_a_name_that_is_too_long_is_refused_at_the_receiver(self):
        message = Table(source=build_member(1, name="x" * 65), members=())
        assert CODEC.decode(encode(message)) == Refused(reason=RefusedReason.GARBLED)

    def test_a_message_that_is_too_long_is_refused_by_the_sender(self):
        table = Table(
            source=build_member(0),
            members=tuple(build_member(n, name=f"host-{n:058}") for n in range(20)),
        )
        assert CODEC.encode(table) == Refused(reason=RefusedReason.TOO_LONG)


class TestSizeLimits:
    """Datagrams filled by the coordination layer's size estimate always fit."""

    LONGEST = Member(
        name="n" * 64,
        data_centre="d" * 64,
        peers=Address(ip="abcd:1234:abcd:1234:abcd:1234:abcd:1234", port=65_535),
        incarnation=2**64 - 1,
        refutations=2**32 - 1,
        state=MemberState.DEAD,
        settings_version=2**64 - 1,
    )

    @STEADY
    @given(member=members)
    def test_the_estimate_is_an_upper_bound(self, member):
        def measure(n_members: int) -> int:
            table = Table(source=build_member(1), members=(member,) * n_members)
            return len(encode(table))

        assert measure(5) - measure(1) <= 4 * estimate_bytes(member)

    def test_the_fullest_datagrams_fit(self):
        documents = Documents(check=lambda name, body: None)
        for number in range(100):
            version = 2**64 - 1 - number
            documents.offer(f"index/{number:020}", version, b"", Source.PLATFORM)
        digest = documents.digest()
        assert digest.truncated
        n_updates = MAX_UPDATE_BYTES // estimate_bytes(self.LONGEST)
        n_rows = MAX_TABLE_DATAGRAM_BYTES // estimate_bytes(self.LONGEST)
        ack = Ack(
            source=self.LONGEST,
            sequence=2**64 - 1,
            subject=self.LONGEST,
            documents=digest,
            updates=(),
        )
        ping = Ping(
            source=self.LONGEST,
            sequence=2**64 - 1,
            documents=digest,
            updates=(self.LONGEST,) * n_updates,
        )
        table = Table(source=self.LONGEST, members=(self.LONGEST,) * n_rows)
        summary = Summary(
            source=self.LONGEST,
            is_answer=True,
            truncated=True,
            buckets=(2**64 - 1,) * 64,
        )
        for message in (ack, ping, table, summary):
            assert len(encode(message)) <= MAX_DATAGRAM_BYTES


async def open_host(number: int, *, deployment: str = "cedarlight"):
    """Open a host on a free port of the loopback address."""
    metrics = GossipMetrics(registry=CollectorRegistry())
    endpoint = await open_gossip(
        Address(ip="127.0.0.1", port=0), deployment=deployment, metrics=metrics
    )
    peers = Address(ip="127.0.0.1", port=endpoint.address.port)
    own = Member(
        name=f"ptl-a-{number}", data_centre="ptl-a", peers=peers, incarnation=1
    )
    control = Control(probe_interval_ms=50, probe_timeout_ms=15, suspect_ms=200)
    membership = Membership(own=own, control=control, random=Random(number))
    return membership, endpoint


async def wait_for(condition) -> None:
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.01)


def count(endpoint: GossipEndpoint, reason: str, direction: str = "received"):
    return endpoint.metrics.refused.labels(direction, reason)._value.get()


class TestService:
    async def test_hosts_join_leave_and_fail(self, caplog):
        caplog.set_level(logging.INFO, "lavendergap.membership")
        first, first_endpoint = await open_host(1)
        second, second_endpoint = await open_host(2)
        second.join([first.own.peers])
        events: list[Event] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: run_gossip(first, first_endpoint, on_change=events.append)
            )
            async with trio.open_nursery() as inner:
                inner.start_soon(
                    lambda: run_gossip(
                        second, second_endpoint, on_change=lambda event: None
                    )
                )
                both = {"ptl-a-1", "ptl-a-2"}
                await wait_for(lambda: first.live() == second.live() == both)
                sends = second.leave(now=trio.current_time())
                await second_endpoint.send(sends)
                await wait_for(lambda: first.live() == {"ptl-a-1"})
                assert first.get("ptl-a-2").state is MemberState.LEAVING
                inner.cancel_scope.cancel()
            second_endpoint.close()
            await wait_for(lambda: first.get("ptl-a-2").state is MemberState.DEAD)
            nursery.cancel_scope.cancel()
        first_endpoint.close()
        states = [event.member.state for event in events]
        assert states == [MemberState.LIVE, MemberState.LEAVING, MemberState.DEAD]
        first_line = caplog.records[0]
        assert "is live (was unknown), reported by ptl-a-" in first_line.getMessage()

    async def test_the_timer_loop_sleeps_until_its_next_deadline(self, monkeypatch):
        # Guards against a timer loop that wakes itself and keeps a core of an idle host
        # busy, which delays queries.
        n_advances = 0
        advance = Membership.advance

        def count_advance(self, *, now):
            nonlocal n_advances
            n_advances += 1
            return advance(self, now=now)

        monkeypatch.setattr(Membership, "advance", count_advance)
        first, first_endpoint = await open_host(1)
        second, second_endpoint = await open_host(2)
        second.join([first.own.peers])
        pings = second_endpoint.metrics.datagrams.labels("sent", "Ping")
        async with trio.open_nursery() as nursery:
            for host, endpoint in ((first, first_endpoint), (second, second_endpoint)):
                run = partial(run_gossip, host, endpoint, on_change=lambda event: None)
                nursery.start_soon(run)
            await wait_for(lambda: pings._value.get() >= 10)
            nursery.cancel_scope.cancel()
        assert n_advances < 200
        first_endpoint.close()
        second_endpoint.close()

    async def test_malformed_datagrams_are_counted_and_dropped(self):
        # Guards against malformed datagrams that end the loop, so that a host that
        # still serves callers is declared dead.
        membership, endpoint = await open_host(1)
        _, stranger = await open_host(2, deployment="qureshi")
        socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        peers = membership.own.peers
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: run_gossip(membership, endpoint, on_change=lambda event: None)
            )
            for garbage in (b"", b"GET / HTTP/1.1", b"\x01garbage", b"\x01" * 2_000):
                await socket.sendto(garbage, (peers.ip, peers.port))
            message = Table(source=build_member(3), members=())
            await stranger.send([Send(to=peers, message=message)])
            await wait_for(lambda: count(endpoint, "other deployment") == 1)
            nursery.cancel_scope.cancel()
        assert count(endpoint, "other version") == 2
        assert count(endpoint, "garbled") == 1
        assert count(endpoint, "too long") == 1
        assert membership.live() == {"ptl-a-1"}
        for closed in (socket, endpoint, stranger):
            closed.close()

    async def test_a_send_that_fails_is_counted(self):
        # Guards against a loop that ends when the kernel refuses a send, as it does
        # without a route to the peer.
        membership, endpoint = await open_host(1)
        membership.join([Address(ip="::1", port=9)])
        await endpoint.send(membership.advance(now=0.0))
        refused = endpoint.metrics.refused.collect()[0].samples
        assert sum(s.value for s in refused if s.name.endswith("_total")) == 1
        endpoint.close()
