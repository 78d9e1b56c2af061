"""What membership costs a host and how fast it is, by the size of the fleet.

Runs many `Membership` objects in one process over a fake network that loses one
datagram in a hundred, in virtual time, with real datagrams for the byte counts.
Run `python -m lab.convergence [sizes]`; the last line is name=value.
"""

import sys
import tracemalloc
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass
from functools import partial
from math import isfinite
from random import Random
from time import process_time

import trio
from prometheus_client import CollectorRegistry
from rich.console import Console
from rich.table import Table as RichTable

from lavendergap.coordination.membership import Membership
from lavendergap.protocol.gossip import GossipCodec, Refused
from lavendergap.state.gossip import DocumentsHeard, Event, MemberChanged
from lavendergap.state.member import (
    DocumentsDigest,
    DocumentVersion,
    Member,
    MemberState,
)
from lavendergap.state.settings import Address, Control
from lavendergap.transport.gossip import GossipMetrics, open_gossip, run_gossip

from .figures import make_figures, report
from .fleet import Datagram, Fleet, Node, build_fleet, name_hosts

SIZES = (7, 25, 50, 100, 200, 550)
LOSS = 0.01
QUIET_S = 40.0
CHURN_S = 130.0
"""One host in 550 is replaced every 127 s; here one in the fleet, whatever its size."""

UDP_HEADERS = 28
N_TRIALS = 3
FETCH_S = 0.005


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """The measures at one size; bytes and messages are sent ones, by one host."""

    n_hosts: int
    join_s: float
    messages_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float
    suspect_s: float
    dead_s: float
    leave_s: float
    document_s: float
    churn_bytes_per_s: float
    heal_s: float
    heal_bytes: float
    false_dead: int


class Meter:
    """Encodes and decodes each datagram as hosts do, and counts what it takes."""

    def __init__(self) -> None:
        self.n_datagrams = 0
        self.n_bytes = 0
        self.codec_s = 0.0
        self._codec = GossipCodec(deployment="cedarlight")

    def note(self, datagram: Datagram) -> None:
        """Count one datagram."""
        begin = process_time()
        encoded = self._codec.encode(datagram.message)
        assert not isinstance(encoded, Refused)
        assert not isinstance(self._codec.decode(encoded), Refused)
        self.codec_s += process_time() - begin
        self.n_datagrams += 1
        self.n_bytes += len(encoded) + UDP_HEADERS


def digest_version(version: int) -> DocumentsDigest:
    """Return the digest of a host whose settings are at `version`, with ten indexes."""
    indexes = tuple(
        DocumentVersion(name=f"index/service-{n}", version=n) for n in range(9, 0, -1)
    )
    newest = (DocumentVersion(name="settings/cedarlight", version=version), *indexes)
    return DocumentsDigest(fingerprint=version, newest=newest)


def spread_document(fleet: Fleet, version: int) -> float:
    """Announce a version at one host; return the seconds until all hold it.

    A host that hears of it fetches the body from the teller, which is taken to
    need 5 ms, and then announces it in its turn.
    """
    begin = fleet.now
    holders: set[str] = set()
    due = {next(iter(fleet.nodes)): fleet.now}
    while len(holders) < len(fleet.nodes) and fleet.now < begin + 120:
        for name in [name for name, at in due.items() if fleet.now >= at]:
            del due[name]
            holders.add(name)
            announce(fleet, name, version)
        fleet.run(FETCH_S)
        for name, node in fleet.nodes.items():
            if name not in holders and name not in due and has_heard(node, version):
                due[name] = fleet.now + FETCH_S
    return fleet.now - begin


def announce(fleet: Fleet, name: str, version: int) -> None:
    """Have one host tell that it holds a version."""
    sends = fleet.nodes[name].membership.announce(
        documents=digest_version(version), settings_version=version, now=fleet.now
    )
    fleet.send(name, sends)


def has_heard(node: Node, version: int) -> bool:
    """Whether a host was told lately of documents at a version."""
    return any(
        isinstance(event, DocumentsHeard) and event.documents.fingerprint == version
        for _, event in node.events[-20:]
    )


def measure_until(fleet: Fleet, condition: Callable[[], bool], limit: float) -> float:
    """Return the seconds until a condition holds, infinity when it never does."""
    begin = fleet.now
    return fleet.now - begin if fleet.run_until(condition, limit) else float("inf")


def measure_size(n_hosts: int) -> Row:
    """Take all measures at one size."""
    fleet = build_fleet(name_hosts(n_hosts), seed=n_hosts, loss=LOSS)
    fleet.run(10.0)
    newcomer = f"ptl-a-{n_hosts + 1}"
    join_s = measure_join(fleet, newcomer)
    spread_document(fleet, 99)
    fleet.run(30.0)
    quiet, cpu_s = measure_quiet(fleet)
    document_s = max(spread_document(fleet, version) for version in (100, 101, 102))
    suspect_s, dead_s = measure_detection(fleet)
    leave_s = measure_leave(fleet, newcomer)
    churn = measure_churn(fleet, newcomer)
    false_dead = count_false_dead(fleet, newcomer)
    heal_s, heal = measure_healing(fleet)
    return Row(
        n_hosts=n_hosts,
        join_s=join_s,
        messages_per_s=quiet.n_datagrams / QUIET_S / (n_hosts + 1),
        bytes_per_s=quiet.n_bytes / QUIET_S / (n_hosts + 1),
        cpu_us_per_s=cpu_s / QUIET_S / (n_hosts + 1) * 1e6,
        suspect_s=suspect_s,
        dead_s=dead_s,
        leave_s=leave_s,
        document_s=document_s,
        churn_bytes_per_s=churn.n_bytes / CHURN_S / len(fleet.nodes),
        heal_s=heal_s,
        heal_bytes=heal.n_bytes / len(fleet.nodes),
        false_dead=false_dead,
    )


def measure_join(fleet: Fleet, newcomer: str) -> float:
    """Return the seconds until a newcomer knows all and all know it."""
    membership = fleet.start(newcomer, hints=["ptl-a-1"])
    n_hosts = len(fleet.nodes)
    return measure_until(
        fleet, lambda: len(membership.live()) == n_hosts and fleet.agree(), 60.0
    )


def measure_quiet(fleet: Fleet) -> tuple[Meter, float]:
    """Return what a fleet without changes sends, and its processor seconds.

    Those cover the decisions, the codec both ways and the fake network, but no
    system calls.
    """
    meter = Meter()
    fleet.watch = meter.note
    begin = process_time()
    fleet.run(QUIET_S)
    cpu_s = process_time() - begin
    fleet.watch = None
    return meter, cpu_s


def measure_detection(fleet: Fleet) -> tuple[float, float]:
    """Return the longest time to the first suspicion, and to all holding it dead."""
    suspected = []
    dead = []
    for trial in range(N_TRIALS):
        victim = f"ptl-a-{3 + trial}"
        fleet.stop(victim)
        first = measure_until(fleet, partial(is_missed, fleet, victim), 60.0)
        rest = measure_until(fleet, partial(is_buried, fleet, victim), 120.0)
        suspected.append(first)
        dead.append(first + rest)
    return max(suspected), max(dead)


def is_missed(fleet: Fleet, name: str) -> bool:
    """Whether anyone doubts that a host lives."""
    seen = {MemberState.SUSPECT, MemberState.DEAD}
    return any(state in seen for state in list_states(fleet, name))


def is_buried(fleet: Fleet, name: str) -> bool:
    """Whether all others hold a host dead."""
    return set(list_states(fleet, name)) == {MemberState.DEAD}


def list_states(fleet: Fleet, name: str) -> list[MemberState]:
    """Return what each other host believes of `name`, where it knows it."""
    known = (n.membership.get(name) for n in fleet.nodes.values() if n.name != name)
    return [member.state for member in known if member is not None]


def measure_leave(fleet: Fleet, name: str) -> float:
    """Return the seconds until no host would give a leaving one new work."""
    membership = fleet.nodes[name].membership
    fleet.send(name, membership.leave(now=fleet.now))
    return measure_until(fleet, fleet.agree, 60.0)


def measure_churn(fleet: Fleet, name: str) -> Meter:
    """Return what all send while one host is replaced, as every 127 s at 550."""
    meter = Meter()
    fleet.watch = meter.note
    departing = fleet.nodes[name].membership
    fleet.send(name, departing.depart(now=fleet.now))
    fleet.stop(name)
    fleet.run(1.0)
    fleet.start(name, hints=["ptl-a-1"])
    fleet.run(CHURN_S - 1.0)
    fleet.watch = None
    return meter


def measure_healing(fleet: Fleet) -> tuple[float, Meter]:
    """Cut a third off for a minute; return how both sides find together again."""
    names = list(fleet.nodes)
    third = len(names) // 3
    fleet.cut_between(names[:third], names[third:])
    fleet.run(60.0)
    fleet.cut.clear()
    meter = Meter()
    fleet.watch = meter.note
    return measure_until(fleet, fleet.agree, 300.0), meter


def count_false_dead(fleet: Fleet, departed: str) -> int:
    """Return how many of the running hosts were declared dead at any time."""
    return len(
        {
            event.member.name
            for node in fleet.nodes.values()
            for _, event in node.events
            if isinstance(event, MemberChanged)
            and event.member.state is MemberState.DEAD
            and event.member.name in fleet.nodes
            and event.member.name != departed
        }
    )


def measure_memory(n_hosts: int) -> float:
    """Return the kilobytes that one membership holds in a fleet of this size."""
    fleet = build_fleet(name_hosts(n_hosts - 1), seed=1)
    donor = fleet.nodes["ptl-a-1"].membership
    rows = list(donor.members())
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    own = fleet.nodes["ptl-a-2"].membership.own
    membership = Membership(own=own, control=fleet.control, random=Random(1))
    for member in rows:
        membership._roster.merge(deepcopy(member), now=0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / 1024


def measure_codec() -> tuple[float, float]:
    """Return the microseconds to encode and to decode a ping with two updates."""
    fleet = build_fleet(name_hosts(3), seed=1)
    pings: list[Datagram] = []
    fleet.watch = pings.append
    fleet.run(5.0)
    codec = GossipCodec(deployment="cedarlight")
    message = pings[0].message
    n_rounds = 20_000
    begin = process_time()
    for _ in range(n_rounds):
        encoded = codec.encode(message)
    middle = process_time()
    assert not isinstance(encoded, Refused)
    for _ in range(n_rounds):
        codec.decode(encoded)
    end = process_time()
    return (middle - begin) / n_rounds * 1e6, (end - middle) / n_rounds * 1e6


async def run_service(seconds: float) -> float:
    """Return how many datagrams two real hosts send over the loopback address."""
    endpoints = []
    memberships = []
    for number in (1, 2):
        metrics = GossipMetrics(registry=CollectorRegistry())
        endpoint = await open_gossip(
            Address(ip="127.0.0.1", port=0), deployment="cedarlight", metrics=metrics
        )
        own = Member(
            name=f"ptl-a-{number}",
            data_centre="ptl-a",
            peers=endpoint.address,
            incarnation=1,
        )
        control = Control(probe_interval_ms=5, probe_timeout_ms=4)
        memberships.append(Membership(own=own, control=control, random=Random(number)))
        endpoints.append(endpoint)
    memberships[1].join([endpoints[0].address])
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for membership, endpoint in zip(memberships, endpoints, strict=True):
                nursery.start_soon(
                    partial(run_gossip, membership, endpoint, on_change=ignore)
                )
    n_sent = 0.0
    for endpoint in endpoints:
        for metric in endpoint.metrics.datagrams.collect():
            n_sent += sum(
                sample.value
                for sample in metric.samples
                if sample.name.endswith("_total")
                and sample.labels["direction"] == "sent"
            )
        endpoint.close()
    return n_sent


def ignore(event: Event) -> None:
    """Take an event and do nothing."""


def measure_service() -> float:
    """Return the processor microseconds of one datagram, sent and received.

    All is counted: decisions, codec, metrics, the event loop and the kernel.
    """
    begin = process_time()
    n_sent = trio.run(run_service, 5.0)
    return (process_time() - begin) / n_sent * 1e6


def list_figures(rows: list[Row]) -> dict[str, float]:
    """Return each measure by size; what never came about is left out."""
    return {
        f"{name}_at_{row.n_hosts}": getattr(row, name)
        for name in Row.__slots__
        if name != "n_hosts"
        for row in rows
        if isfinite(getattr(row, name))
    }


def main() -> None:
    """Measure each size, print a table, save the figures, print them in one line."""
    sizes = tuple(int(size) for size in sys.argv[1:]) or SIZES
    rows = [measure_size(size) for size in sizes]
    table = RichTable(title="Membership by size of the fleet, 1% loss")
    for name in Row.__slots__:
        table.add_column(name.replace("_", " "), justify="right")
    for row in rows:
        values = (getattr(row, name) for name in Row.__slots__)
        table.add_row(*(f"{value:.4g}" for value in values))
    encode_us, decode_us = measure_codec()
    figures = list_figures(rows) | {
        "encode_us": encode_us,
        "decode_us": decode_us,
        "service_us": measure_service(),
        "memory_kb": measure_memory(sizes[-1]),
    }
    conditions = {"loss": LOSS, "quiet_s": QUIET_S, "churn_s": CHURN_S}
    Console(width=200).print(table)
    report(
        make_figures("convergence", figures, conditions=conditions),
        is_saved=sizes == SIZES,
    )


if __name__ == "__main__":
    main()
