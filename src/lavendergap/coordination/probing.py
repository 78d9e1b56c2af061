"""Probes that wait for their answers, the order of probing, and relayed pings."""

from dataclasses import dataclass
from random import Random

from ..state.settings import Address

MAX_RELAYS = 256
"""Relayed pings that may wait for an answer at once."""


@dataclass(kw_only=True, slots=True)
class Probe:
    """A ping that waits for its answer; `name` is empty if the host is unknown.

    `incarnation` is that of the probed process: silence does not count against a
    process that has replaced it.
    """

    name: str
    incarnation: int
    address: Address
    ask_others_at: float
    fails_at: float
    asked_others: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """A ping sent for another host, under that host's own sequence number."""

    requester: Address
    sequence: int
    expires_at: float


class Probes:
    """The probes and relayed pings of one host, numbered by one sequence.

    >>> probes = Probes(interval_s=1.0, timeout_s=0.3)
    >>> address = Address(ip="127.0.0.1", port=8101)
    >>> probes.start("ptl-a-1", 1, address, now=0.0)
    1
    >>> [sequence for sequence, _ in probes.take_silent(now=0.3)], probes.next_due()
    ([1], 1.0)
    >>> [probe.name for probe in probes.take_failed(now=1.0)]
    ['ptl-a-1']
    """

    def __init__(self, *, interval_s: float, timeout_s: float) -> None:
        self._interval_s = interval_s
        self._timeout_s = timeout_s
        self._sequence = 0
        self._waiting: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._turns: list[str] = []

    def replace_timing(self, *, interval_s: float, timeout_s: float) -> None:
        """Change the timing of new probes; those under way keep theirs."""
        self._interval_s = interval_s
        self._timeout_s = timeout_s

    def __contains__(self, sequence: int) -> bool:
        return sequence in self._waiting

    def start(self, name: str, incarnation: int, address: Address, now: float) -> int:
        """Return the sequence number of a new probe."""
        self._sequence += 1
        self._waiting[self._sequence] = Probe(
            name=name,
            incarnation=incarnation,
            address=address,
            ask_others_at=now + self._timeout_s,
            fails_at=now + self._interval_s,
        )
        return self._sequence

    def finish(self, sequence: int, name: str) -> Probe | None:
        """Remove and return the probe that an answer from `name` completes, or None."""
        probe = self._waiting.get(sequence)
        if probe is None or probe.name not in ("", name):
            return None
        return self._waiting.pop(sequence)

    def take_failed(self, now: float) -> list[Probe]:
        """Remove and return the probes that have timed out."""
        failed = [s for s, probe in self._waiting.items() if now >= probe.fails_at]
        return [self._waiting.pop(sequence) for sequence in failed]

    def take_silent(self, now: float) -> list[tuple[int, Probe]]:
        """Return the unanswered probes that other hosts should try, each once."""
        silent = [
            (sequence, probe)
            for sequence, probe in self._waiting.items()
            if now >= probe.ask_others_at and not probe.asked_others
        ]
        for _, probe in silent:
            probe.asked_others = True
        return silent

    def is_probing(self, address: Address) -> bool:
        """Return whether a probe to an address waits for its answer."""
        return any(probe.address == address for probe in self._waiting.values())

    def list_addresses(self) -> set[Address]:
        """Return the addresses to which probes wait for their answers."""
        return {probe.address for probe in self._waiting.values()}

    def clear(self) -> None:
        """Drop all waiting probes and relays, as after a pause of the process."""
        self._waiting.clear()
        self._relays.clear()

    def next_due(self) -> float:
        """Return when the next probe is due for action; infinity if none is."""
        return min(
            (
                probe.fails_at if probe.asked_others else probe.ask_others_at
                for probe in self._waiting.values()
            ),
            default=float("inf"),
        )

    def start_relay(self, requester: Address, sequence: int, now: float) -> int | None:
        """Return the sequence number of a ping for another host, or None if full."""
        self._relays = {
            number: relay
            for number, relay in self._relays.items()
            if now < relay.expires_at
        }
        if len(self._relays) >= MAX_RELAYS:
            return None
        self._sequence += 1
        self._relays[self._sequence] = Relay(
            requester=requester,
            sequence=sequence,
            expires_at=now + self._interval_s,
        )
        return self._sequence

    def finish_relay(self, sequence: int) -> Relay | None:
        """Remove and return the relay that an answered ping belongs to, or None."""
        return self._relays.pop(sequence, None)

    def add_turn(self, name: str, random: Random) -> None:
        """Insert a new member at a random place of this round."""
        self._turns.insert(random.randint(0, len(self._turns)), name)

    def fill_turns(self, names: list[str], random: Random) -> None:
        """Start a round, in which each member is probed once, in random order."""
        self._turns = names
        random.shuffle(self._turns)

    def take_turn(self) -> str | None:
        """Return the next member of the round, or None at its end."""
        return self._turns.pop() if self._turns else None
