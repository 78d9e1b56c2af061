"""Measures single parts of a host by size; `python -m lab.parts`.

Each part is measured at three sizes or more, so that `docs/CAPACITY.md` can extrapolate
to the planned size with a fitted line. Processor time is the minimum of several runs
in this process; memory is measured by tracemalloc. A hop is one request and reply over
a loopback socket with both ends in this process, so that its figure is the cost on
both hosts together.
"""

import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from functools import partial

import trio
from rich.table import Table

from lavendergap.coordination.issuer import Issuer
from lavendergap.coordination.joining import Join
from lavendergap.coordination.ranking import Ranking
from lavendergap.coordination.witness import Witness
from lavendergap.protocol.messages import (
    Answers,
    Frame,
    Hello,
    Message,
    Search,
    ShardAnswer,
    ShardRef,
)
from lavendergap.protocol.objects import (
    SettingsObject,
    encode_settings_object,
    resolve_text,
)
from lavendergap.protocol.peer import (
    LENGTH_PREFIX,
    decode_frame,
    encode_frame,
    read_length_prefix,
)
from lavendergap.protocol.resolved import decode_settings, encode_settings
from lavendergap.state.outcome import Answered
from lavendergap.state.settings import Address, WaitForCoverage
from lavendergap.state.snapshot import Shard, Snapshot
from lavendergap.state.ticket import Ack, Peer, Ticket, parse_ticket
from lavendergap.state.tree import parse_settings
from lavendergap.transport.acceptor import Acceptor
from lavendergap.transport.channel import Channel, ReplyHandlers
from lavendergap.transport.dialer import Dialer

from .callersport import measure_caller
from .figures import make_figures, report
from .reading import make_text, read_object

N_HOSTS = 550
N_GROUPS = 3_000
ANSWER = b'{"hits": [' + b",".join([b'"item-0001"'] * 25) + b"]}"
QUERY = b'{"query": "service alert"}'
SHARDS_PER_MESSAGE = (1, 5, 20, 85)
SERVER_COUNTS = (600, 3_000, 6_000)
TICKET_COUNTS = (5_000, 10_000, 20_000)
RANKING_KEYS = (500, 1_500, 3_000)
HOST_COUNTS = (50, 200, 550)
SHARDS_PER_QUERY = (20, 85, 200)
N_RUNS = 7
N_HOPS = 320
CONCURRENT_QUESTIONS = (1, 4, 16, 64)
CHANNEL_COUNTS = (10, 50, 100)
# Libraries of the daemon, each measured in a Python process that imports only it.
LIBRARIES = ("trio", "hypercorn", "httpcore", "capnp", "prometheus_client", "msgspec")
US_PER_S = 1e6

Points = dict[int, float]


def measure_points(
    functions: dict[int, Callable[[], object]], *, n_rounds: int = 1
) -> Points:
    """Return the minimum processor time of each function in microseconds.

    The functions run in turns, so that a temporarily slow machine affects all points of
    a line alike.
    """
    least_us: Points = {}
    for _ in range(N_RUNS):
        for x, function in functions.items():
            started_s = time.process_time()
            for _ in range(n_rounds):
                function()
            spent_us = (time.process_time() - started_s) / n_rounds * US_PER_S
            least_us[x] = min(spent_us, least_us.get(x, spent_us))
    return least_us


def measure_bytes(make: Callable[[], object]) -> float:
    """Return the traced memory, in bytes, of the object that `make` returns."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return after - before


def make_search(n_shards: int) -> Search:
    """Return a query message to an owner for `n_shards` shards."""
    return Search(
        request_id="0123456789abcdef",
        service="scheduler",
        version=7,
        left_ms=280,
        body=QUERY,
        shards=tuple(
            ShardRef(shard=f"s{n:04}", group=f"scheduler-{n:04}")
            for n in range(n_shards)
        ),
    )


def make_answers(n_shards: int) -> Answers:
    """Return an owner's message with answers for `n_shards` shards."""
    return Answers(
        answers=tuple(
            ShardAnswer(
                shard=f"s{n:04}",
                server=f"scheduler-{n:04}-a",
                outcome=Answered(body=ANSWER),
                versions=(6, 7),
            )
            for n in range(n_shards)
        )
    )


def pass_through_codec(message: Message) -> None:
    """Encode and decode one message, as its sender and its receiver do."""
    frame = encode_frame(Frame(id=1, message=message))
    _, is_packed = read_length_prefix(frame, 0)
    decode_frame(frame[LENGTH_PREFIX.size :], is_packed=is_packed)


def measure_codec(make: Callable[[int], Message]) -> Points:
    """Return the codec time of a message in microseconds, by shard count."""
    return measure_points(
        {n: partial(pass_through_codec, make(n)) for n in SHARDS_PER_MESSAGE},
        n_rounds=100,
    )


def measure_lengths(make: Callable[[int], Message]) -> Points:
    """Return the bytes of a message's frame by shard count, without TCP and IP."""
    return {
        n: float(len(encode_frame(Frame(id=1, message=make(n)))))
        for n in SHARDS_PER_MESSAGE
    }


async def measure_hops() -> dict[str, Points]:
    """Return the cost of one request and reply on both hosts, in microseconds.

    It includes the codec, framing, event loop and kernel. For "hop_us", by shard count,
    requests are sent one after the other, so that none share a write; for
    "hop_together_us", by concurrency, requests for one shard are sent in batches.
    """
    hello = Hello(deployment="lab", host="ptl-a-1", incarnation=1)
    replies = {n: make_answers(n) for n in SHARDS_PER_MESSAGE}

    def answer(channel: Channel, frame: Frame) -> None:
        assert isinstance(frame.message, Search)
        reply = replies[len(frame.message.shards)]
        channel.send(Frame(id=frame.id, message=reply))

    by_shards: Points = {}
    together: Points = {}
    async with trio.open_nursery() as nursery:
        acceptor = Acceptor(own=hello, on_frame=answer, on_loss=lambda channel: None)
        listeners = await nursery.start(
            partial(trio.serve_tcp, acceptor.serve_stream, 0, host="127.0.0.1")
        )
        ip, port = listeners[0].socket.getsockname()
        dialer = Dialer(own=hello, nursery=nursery)
        channel = await dialer.dial("ptl-a-1", Address(ip=ip, port=port))
        assert isinstance(channel, Channel)
        for _ in range(N_RUNS):
            for n in SHARDS_PER_MESSAGE:
                spent_us = await measure_hop(channel, make_search(n), n_together=1)
                by_shards[n] = min(spent_us, by_shards.get(n, spent_us))
            for n in CONCURRENT_QUESTIONS:
                spent_us = await measure_hop(channel, make_search(1), n_together=n)
                together[n] = min(spent_us, together.get(n, spent_us))
        nursery.cancel_scope.cancel()
    return {"hop_us": by_shards, "hop_together_us": together}


async def measure_channels() -> Points:
    """Return the Python memory of open channels in bytes, both ends, by their number.

    Socket buffers, which belong to the kernel, are not included.
    """
    hello = Hello(deployment="lab", host="ptl-a-1", incarnation=1)
    points: Points = {}
    async with trio.open_nursery() as nursery:
        acceptor = Acceptor(
            own=hello,
            on_frame=lambda channel, frame: None,
            on_loss=lambda channel: None,
        )
        listeners = await nursery.start(
            partial(trio.serve_tcp, acceptor.serve_stream, 0, host="127.0.0.1")
        )
        ip, port = listeners[0].socket.getsockname()
        address = Address(ip=ip, port=port)
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for n in range(1, max(CHANNEL_COUNTS) + 1):
            dialer = Dialer(own=hello, nursery=nursery)
            assert isinstance(await dialer.dial("ptl-a-1", address), Channel)
            if n in CHANNEL_COUNTS:
                now, _ = tracemalloc.get_traced_memory()
                points[n] = now - before
        tracemalloc.stop()
        nursery.cancel_scope.cancel()
    return points


async def measure_hop(channel: Channel, search: Search, *, n_together: int) -> float:
    """Return the processor time of one request and its reply in microseconds."""
    started_s = time.process_time()
    for _ in range(N_HOPS // n_together):
        await ask_together(channel, search, n_together)
    return (time.process_time() - started_s) / N_HOPS * US_PER_S


async def ask_together(channel: Channel, search: Search, n_questions: int) -> None:
    """Send several requests in one event loop iteration and wait for all replies."""
    n_open = n_questions
    is_answered = trio.Event()

    def count_reply(message: Message) -> None:
        nonlocal n_open
        n_open -= 1
        if n_open == 0:
            is_answered.set()

    handlers = ReplyHandlers(on_reply=count_reply, on_loss=lambda loss: None)
    request_ids = [channel.request(search, handlers) for _ in range(n_questions)]
    await is_answered.wait()
    for request_id in request_ids:
        channel.forget(request_id)


def name_hosts(n_hosts: int) -> frozenset[str]:
    """Return the host names of a fleet in ten data centres."""
    return frozenset(f"dc-{n % 10}-{n // 10}" for n in range(n_hosts))


def make_ranking(n_hosts: int, n_keys: int) -> Ranking:
    """Return a ranking that has cached `n_keys` keys."""
    ranking = Ranking(hosts=name_hosts(n_hosts))
    for n in range(n_keys):
        ranking.rank(f"scheduler-{n:04}")
    return ranking


def measure_joins(sizes: Iterator[tuple[int, int, int]]) -> Points:
    """Return the time to update a ranking for one joining host, in microseconds.

    Each size is a tuple: the x value of the point, the number of hosts, of keys.
    """
    functions: dict[int, Callable[[], object]] = {}
    for name, n_hosts, n_keys in sizes:
        ranking = make_ranking(n_hosts, n_keys)
        joined = ranking.hosts | {"dc-9-999"}
        functions[name] = partial(ranking.replace_hosts, joined)
    return measure_points(functions)


def join_answers(n_shards: int) -> None:
    """Join the answers to one query over `n_shards` shards."""
    shards = tuple(
        Shard(name=f"s{n:04}", group=f"scheduler-{n:04}", share=1 / n_shards)
        for n in range(n_shards)
    )
    join = Join(
        snapshot=Snapshot(service="scheduler", version=7, shards=shards),
        policy=WaitForCoverage(),
        started=0.0,
        deadline=0.28,
    )
    outcome = Answered(body=ANSWER)
    for n, shard in enumerate(shards):
        join.add(shard.name, outcome, f"{shard.group}-a", now=n * 1e-4)
    assert join.coverage().share > 0.99


class Bookings:
    """An issuer and a witness that process tickets from issue to outcome."""

    def __init__(self, n_tickets: int) -> None:
        own = Peer(host="ptl-a-1", incarnation=7)
        other = Peer(host="sea-a-1", incarnation=9)
        self.issuer = Issuer(
            peer=own,
            secret=b"k" * 32,
            max_tickets=n_tickets,
            ticket_lifetime_ms=600_000,
        )
        self.witness = Witness(
            peer=other, max_tickets=n_tickets, ticket_lifetime_ms=600_000
        )
        self.witness.open(self.issuer.open(other), now=0.0)
        self.issuer.confirm_open(other)
        self._witness_peer = other

    def issue(self) -> Ticket:
        """Issue one ticket."""
        ticket = self.issuer.issue(
            service="sponsor-ledger", witness=self._witness_peer, now=1.0
        )
        assert isinstance(ticket, Ticket)
        return ticket

    def run_at_issuer(self, n_tickets: int) -> Iterator[str]:
        """Process `n_tickets` tickets at the issuer; yield the text of each."""
        for _ in range(n_tickets):
            ticket = self.issue()
            self.issuer.begin(ticket, body=QUERY, now=1.0)
            self.issuer.record(ticket, Ack())
            self.issuer.end(ticket, Answered(body=b"{}"))
            self.issuer.confirm(ticket)
            yield str(ticket)

    def run_at_witness(self, texts: Iterable[str]) -> None:
        """Process tickets at the witness, parsing each from its text."""
        for text in texts:
            self.witness.start(read_ticket(text), now=1.0)
            self.witness.end(read_ticket(text), Answered(body=b"{}"), now=1.0)


def read_ticket(text: str) -> Ticket:
    """Parse a valid ticket."""
    ticket = parse_ticket(text)
    assert isinstance(ticket, Ticket)
    return ticket


def measure_tickets() -> dict[str, Points]:
    """Return the time and memory of tickets, by the number of stored tickets."""
    texts = {n: list(Bookings(n).run_at_issuer(n)) for n in TICKET_COUNTS}
    issuer_bytes: Points = {}
    witness_bytes: Points = {}
    for n in TICKET_COUNTS:
        bookings = Bookings(n)
        issuer_bytes[n] = measure_bytes(partial(run_at_issuer, n, bookings))
        witness_bytes[n] = measure_bytes(partial(bookings.run_at_witness, texts[n]))
    return {
        "issuer_us": measure_points(
            {n: partial(run_at_issuer, n) for n in TICKET_COUNTS}
        ),
        "witness_us": measure_points(
            {n: partial(run_at_witness, texts[n]) for n in TICKET_COUNTS}
        ),
        "issuer_bytes": issuer_bytes,
        "witness_bytes": witness_bytes,
    }


def run_at_issuer(n_tickets: int, bookings: Bookings | None = None) -> None:
    """Process tickets at the issuer of `bookings`, or of a new instance."""
    bookings = bookings or Bookings(n_tickets)
    for _ in bookings.run_at_issuer(n_tickets):
        pass


def run_at_witness(texts: list[str]) -> None:
    """Process tickets at a new witness."""
    Bookings(len(texts)).run_at_witness(texts)


def measure_settings() -> dict[str, Points]:
    """Return the cost of settings by number of backend servers, with 550 hosts."""
    texts = {n: make_text(n) for n in SERVER_COUNTS}
    parsers = {
        n: partial(parse_settings, text, file="large", version=1)
        for n, text in texts.items()
    }
    bodies = {n: encode_settings(parse()) for n, parse in parsers.items()}
    objects = {
        n: encode_settings_object(
            SettingsObject(text=texts[n], resolved=resolve_text(texts[n], parse()))
        )
        for n, parse in parsers.items()
    }
    decoders = {n: partial(decode_settings, body) for n, body in bodies.items()}
    readers = {n: partial(read_object, stored) for n, stored in objects.items()}
    return {
        "parse_us": measure_points(dict(parsers)),
        "object_us": measure_points(dict(readers)),
        "decode_us": measure_points(dict(decoders)),
        "object_bytes": {n: len(stored) for n, stored in objects.items()},
        "resolved_bytes": {n: len(body) for n, body in bodies.items()},
        "tree_bytes": {n: measure_bytes(decode) for n, decode in decoders.items()},
    }


def measure_resident_kb(code: str) -> float:
    """Return the resident memory of a Python process after `code`, in KB."""
    print_rss = (
        "print(next(l.split()[1] for l in open('/proc/self/status') if 'VmRSS' in l))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", f"{code}\n{print_rss}"],
        capture_output=True,
        check=True,
        text=True,
    )
    return float(completed.stdout)


def measure_command_kb(n_servers: int) -> float:
    """Return the memory of a command that has loaded a settings file, in KB."""
    with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as file:
        file.write(make_text(n_servers))
        file.flush()
        code = (
            "import lavendergap.commands.main\n"
            "from pathlib import Path\n"
            "from lavendergap.state.tree import load_settings\n"
            f"held = load_settings(Path({file.name!r}))"
        )
        return measure_resident_kb(code)


def measure_all() -> dict[str, Points]:
    """Return the measured points of every part."""
    parts = {
        "search_codec_us": measure_codec(make_search),
        "answers_codec_us": measure_codec(make_answers),
        "search_bytes": measure_lengths(make_search),
        "answers_bytes": measure_lengths(make_answers),
        "caller_us": trio.run(measure_caller, SHARDS_PER_QUERY, ANSWER, N_RUNS),
        "command_kb": {n: measure_command_kb(n) for n in SERVER_COUNTS},
        "channel_bytes": trio.run(measure_channels),
        "rank_join_by_groups_us": measure_joins((n, N_HOSTS, n) for n in RANKING_KEYS),
        "rank_join_by_hosts_us": measure_joins((n, n, N_GROUPS) for n in HOST_COUNTS),
        "rank_bytes": {
            n: measure_bytes(partial(make_ranking, N_HOSTS, n)) for n in RANKING_KEYS
        },
        "join_us": measure_points(
            {n: partial(join_answers, n) for n in SHARDS_PER_QUERY}, n_rounds=50
        ),
    }
    return parts | trio.run(measure_hops) | measure_tickets() | measure_settings()


def main() -> None:
    """Measure, print the points, and save them."""
    parts = measure_all()
    table = Table("part", "points", title="parts of a host by size")
    figures: dict[str, float] = {}
    for name, points in parts.items():
        table.add_row(name, "  ".join(f"{x}: {y:.4g}" for x, y in points.items()))
        figures |= {f"{name}_at_{x}": y for x, y in points.items()}
    figures["python_kb"] = measure_resident_kb("pass")
    for library in LIBRARIES:
        figures[f"{library}_kb"] = measure_resident_kb(f"import {library}")
    figures["imports_kb"] = measure_resident_kb("import lavendergap.entry.daemon")
    conditions = {"answer_bytes": len(ANSWER), "hosts": N_HOSTS}
    report(make_figures("parts", figures, conditions=conditions), table)


if __name__ == "__main__":
    main()
