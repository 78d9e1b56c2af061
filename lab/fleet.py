"""Simulates a fleet of `Membership` objects on a lossy network in virtual time.

Events are processed in the order of their times without sleeping; the same seed gives
the same run.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from lavendergap.coordination.membership import Membership
from lavendergap.state.gossip import Event, Message, Send
from lavendergap.state.member import Member
from lavendergap.state.settings import Address, Control

SOCKET_QUEUE_DATAGRAMS = 64
"""Size of a paused process's receive queue, in datagrams."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Datagram:
    """A message in transit; `receiver` is empty when no process has the address."""

    sender: str
    receiver: str
    message: Message


@dataclass(kw_only=True, slots=True)
class Node:
    """One process: its membership, its receive queue and its past events."""

    name: str
    address: Address
    membership: Membership
    paused: bool = False
    queue: deque[Datagram] = field(
        default_factory=lambda: deque(maxlen=SOCKET_QUEUE_DATAGRAMS)
    )
    events: list[tuple[float, Event]] = field(default_factory=list)


class Fleet:
    """Runs memberships against each other.

    `loss` is the share of datagrams lost at random. `cut` holds pairs of names
    (sender, receiver) whose datagrams are all dropped, so that a cut may affect one
    direction only. `watch` is called with each datagram that is sent. Times are in
    seconds of virtual time.
    """

    def __init__(
        self,
        *,
        seed: int,
        loss: float = 0.0,
        control: Control | None = None,
        build: Callable[..., Membership] = Membership,
        watch: Callable[[Datagram], None] | None = None,
    ) -> None:
        self.now = 0.0
        self.loss = loss
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()
        self.n_sent: Counter[str] = Counter()
        self.random = Random(seed)
        self.control = control or Control()
        self._build = build
        self.watch = watch
        self._names_by_address: dict[Address, str] = {}
        self._order = count()
        self._heap: list[tuple[float, int, Datagram | Node]] = []
        self._wake_times: dict[str, float] = {}

    def start(
        self,
        name: str,
        *,
        data_centre: str = "ptl-a",
        hints: Iterable[str] = (),
        incarnation: int | None = None,
    ) -> Membership:
        """Start a process, replacing a running one of the same name."""
        number = int(name.rsplit("-", 1)[1])
        address = Address(ip=f"10.0.{number // 250}.{number % 250}", port=8101)
        own = Member(
            name=name,
            data_centre=data_centre,
            peers=address,
            incarnation=int(self.now * 1000) + 1
            if incarnation is None
            else incarnation,
        )
        membership = self._build(
            own=own, control=self.control, random=Random(self.random.random())
        )
        self.nodes[name] = Node(name=name, address=address, membership=membership)
        self._names_by_address[address] = name
        membership.join(self.nodes[hint].address for hint in hints if hint != name)
        self._advance(self.nodes[name])
        return membership

    def stop(self, name: str) -> None:
        """Kill a process; it sends nothing more."""
        node = self.nodes.pop(name)
        del self._names_by_address[node.address]

    def pause(self, name: str) -> None:
        """Freeze a process; the last datagrams to it are queued."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused process, which then receives the queued datagrams."""
        node = self.nodes[name]
        node.paused = False
        self._advance(node)
        while node.queue:
            self._receive(node, node.queue.popleft())

    def wake(self, name: str) -> None:
        """Let a process send what is due, as after it was given hints."""
        self._advance(self.nodes[name])

    def cut_between(self, ones: Iterable[str], others: Iterable[str]) -> None:
        """Drop all datagrams between two sets of hosts, in both directions."""
        listed = list(others)
        for one in ones:
            self.cut.update((one, other) for other in listed)
            self.cut.update((other, one) for other in listed)

    def send(self, name: str, sends: Iterable[Send]) -> None:
        """Send messages of one process over the network."""
        for send in sends:
            self.n_sent[type(send.message).__name__] += 1
            receiver = self._names_by_address.get(send.to, "")
            datagram = Datagram(sender=name, receiver=receiver, message=send.message)
            if self.watch:
                self.watch(datagram)
            is_lost = self.loss and self.random.random() < self.loss
            if receiver and not is_lost and (name, receiver) not in self.cut:
                self._push(self.now + self.random.uniform(0.0005, 0.0015), datagram)

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Advance virtual time until a condition holds, by `seconds` at most.

        The condition is checked every 50 ms of virtual time. Returns whether it holds.
        """
        end = self.now + seconds
        next_check_at = self.now
        while self._heap and self._heap[0][0] <= end:
            if self._heap[0][0] >= next_check_at:
                next_check_at = self._heap[0][0] + 0.05
                if condition():
                    return True
            self.now, _, item = heappop(self._heap)
            self._handle(item)
        self.now = end
        return condition()

    def views(self) -> dict[str, frozenset[str]]:
        """Return the hosts that each running process considers live."""
        return {
            name: node.membership.live()
            for name, node in self.nodes.items()
            if not node.paused
        }

    def agree(self) -> bool:
        """Return whether all running processes agree on the live hosts.

        Each must consider exactly the hosts live whose processes may own groups.
        """
        live = frozenset(
            name for name, node in self.nodes.items() if node.membership.own.may_own
        )
        return all(view == live for view in self.views().values())

    def _handle(self, item: "Datagram | Node") -> None:
        if isinstance(item, Node):
            if self._wake_times.get(item.name) == self.now and self._is_running(item):
                self._advance(item)
            return
        node = self.nodes.get(item.receiver)
        if node is None:
            return
        if node.paused:
            node.queue.append(item)
        else:
            self._receive(node, item)

    def _is_running(self, node: Node) -> bool:
        return self.nodes.get(node.name) is node and not node.paused

    def _receive(self, node: Node, datagram: Datagram) -> None:
        sender = datagram.message.source.peers
        sends = node.membership.receive(datagram.message, sender=sender, now=self.now)
        self._process_outputs(node, sends)

    def _advance(self, node: Node) -> None:
        self._process_outputs(node, node.membership.advance(now=self.now))

    def _process_outputs(self, node: Node, sends: list[Send]) -> None:
        self.send(node.name, sends)
        node.events += [(self.now, e) for e in node.membership.take_events()]
        if node.membership.superseded:
            return
        wake = max(node.membership.next_wake(), self.now + 0.001)
        if self._wake_times.get(node.name, -1.0) != wake:
            self._wake_times[node.name] = wake
            self._push(wake, node)

    def _push(self, at: float, item: "Datagram | Node") -> None:
        heappush(self._heap, (at, next(self._order), item))


def name_hosts(n_hosts: int) -> list[str]:
    """Return the names of `n_hosts` hosts: ptl-a-1, ptl-a-2 and so on."""
    return [f"ptl-a-{number}" for number in range(1, n_hosts + 1)]


def build_fleet(
    names: Iterable[str], *, seed: int, join_limit_s: float = 120.0, **options: object
) -> Fleet:
    """Start a fleet with its first three hosts as seeds and run until all joined."""
    fleet = Fleet(seed=seed, **options)  # type: ignore[arg-type]
    listed = list(names)
    fleet.now = 1_000.0
    for name in listed:
        fleet.start(name, hints=[n for n in listed[:3] if n in fleet.nodes])
    fleet.run_until(fleet.agree, join_limit_s)
    return fleet
