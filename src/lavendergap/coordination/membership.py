"""Who is in the fleet: hosts probe each other and pass on what they find.

The protocol is of the SWIM family (Das, Gupta and Motivala, 2002): each host
probes one other in turn, asks a few others to try when it gets no answer, and news
rides on the probes. See docs/design/membership.md for the ways weighed.
"""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

from ..state.gossip import (
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
from ..state.member import DocumentsDigest, Member, MemberState
from ..state.settings import Address, Control
from .dissemination import estimate_bytes
from .membertable import MemberTable
from .probing import Probe, Probes

N_INDIRECT = 3
"""How many others are asked to try a member that did not answer."""

N_SPREAD = 3
"""To how many others fresh news goes at once, beside riding on probes."""

MAX_TABLE_BYTES = 1_100
MAX_TABLES = 8
"""Datagrams of table in one exchange; what is left waits for the next one."""

MAX_HINTS = 2_048
JOIN_S = 60.0
RETRY_DEAD_S = 21_600.0
"""How long a dead member is tried again: regions lose each other for an hour."""

_SPREAD_DELAY = 0.1
_SPREAD_SPACING = 0.25
_SYNC_PROBES = 30
_SYNC_SOON = 0.2
_RETRY_PROBES = 10
_ALONE_PROBES = 5
_MAX_SYNCS_IN_A_ROW = 40


class Membership:
    """One host's view of the fleet. Datagrams and time go in, datagrams come out.

    The caller hands each received message to `receive`, calls `advance` no later
    than `next_wake()`, and sends whatever these return. Times are seconds of one
    monotonic clock. Nothing is believed on the word of the platform's host list:
    hints are only tried.

    >>> def build(name: str, port: int) -> Membership:
    ...     own = Member(name=name, data_centre="ptl-a", incarnation=1,
    ...                  peers=Address(ip="127.0.0.1", port=port))
    ...     return Membership(own=own, control=Control(), random=Random(port))
    >>> first, second = build("ptl-a-1", 8101), build("ptl-a-2", 8102)
    >>> first.join([second.own.peers])
    >>> [send] = first.advance(now=0.0)
    >>> [answer] = second.receive(send.message, sender=first.own.peers, now=0.0)
    >>> _ = first.receive(answer.message, sender=second.own.peers, now=0.001)
    >>> sorted(first.live())
    ['ptl-a-1', 'ptl-a-2']
    """

    def __init__(self, *, own: Member, control: Control, random: Random) -> None:
        self.documents = DocumentsDigest()
        self.joined = False
        self.n_old_incarnations = 0
        self._random = random
        self._interval = control.probe_interval_ms / 1000
        self._suspect = control.suspect_ms / 1000
        self._table = MemberTable(own=own, suspect_s=self._suspect)
        self._roster = self._table.roster
        self._probes = Probes(
            interval_s=self._interval, timeout_s=control.probe_timeout_ms / 1000
        )
        self._hints: dict[Address, None] = {}
        self._live: tuple[frozenset[str], bool, frozenset[str]] | None = None
        self._started_at: float | None = None
        self._last_seen = 0.0
        self._probe_at = 0.0
        self._retry_at = 0.0
        self._sync_at = 0.0
        self._n_syncs_in_a_row = 0
        self._spread_at: float | None = None
        self._last_spread = 0.0

    # What the rest of the process asks.

    @property
    def own(self) -> Member:
        """This process's own record."""
        return self._table.own

    @property
    def superseded(self) -> bool:
        """Whether another process took this one's name; then it says no more."""
        return self._table.superseded

    @property
    def changes(self) -> int:
        """How often what is believed of a member has changed."""
        return self._table.n_changes

    def live(self) -> frozenset[str]:
        """Return the names of the hosts to which new work may go, this one included.

        The same object is returned until it changes.
        """
        others = self._roster.names_that_may_own()
        if self._live is None or self._live[:2] != (others, self.own.may_own):
            own = {self.own.name} if self.own.may_own else set()
            self._live = (others, self.own.may_own, others | own)
        return self._live[2]

    def members(self) -> tuple[Member, ...]:
        """Return the records of all members but the dead, this host's own first."""
        return (self.own, *self._roster.members())

    def suspects(self) -> frozenset[str]:
        """Return the names of the hosts that have not answered lately."""
        return frozenset(
            member.name
            for member in self._roster.members()
            if member.state is MemberState.SUSPECT
        )

    def places(self) -> dict[str, str]:
        """Return the data centre of each host to which new work may go."""
        return {m.name: m.data_centre for m in self.members() if m.may_own}

    def get(self, name: str) -> Member | None:
        """Return what is known of a member, also of a dead one, or None."""
        return self._table.get(name)

    def take_events(self) -> list[Event]:
        """Return what happened since the last call, the oldest first."""
        return self._table.take_events()

    def next_wake(self) -> float:
        """Return the time by which `advance` is to be called."""
        times = [self._probe_at, self._retry_at, self._sync_at]
        if self._spread_at is not None:
            times.append(self._spread_at)
        times += [self._probes.next_due(), self._table.next_due()]
        return min(times)

    # What the rest of the process does.

    def join(self, hints: Iterable[Address]) -> None:
        """Take addresses to try, from the settings or the platform's host list.

        A hint makes nobody live or dead: the platform's list lags, and a host
        that it still shows as live may be gone.
        """
        for address in hints:
            if address != self.own.peers:
                self._hints.pop(address, None)
                self._hints[address] = None
        while len(self._hints) > MAX_HINTS:
            del self._hints[next(iter(self._hints))]

    def replace_control(self, control: Control) -> None:
        """Take the timing of new settings; what is under way keeps its own."""
        self._interval = control.probe_interval_ms / 1000
        self._suspect = control.suspect_ms / 1000
        self._table.suspect_s = self._suspect
        self._probes.replace_timing(
            interval_s=self._interval, timeout_s=control.probe_timeout_ms / 1000
        )

    def announce(
        self, *, documents: DocumentsDigest, settings_version: int, now: float
    ) -> list[Send]:
        """Tell a few members at once which documents this host holds now."""
        self.documents = documents
        self._table.own = replace(self.own, settings_version=settings_version)
        return self._spread(now)

    def probe(self, name: str, *, now: float) -> list[Send]:
        """Probe a member out of turn, as somebody has found it silent."""
        member = self._roster.get(name)
        if member is None or not member.may_own or self.superseded:
            return []
        if self._probes.is_trying(member.peers):
            return []
        return [self._ping(name, member.peers, now, member.incarnation)]

    def leave(self, *, now: float) -> list[Send]:
        """Tell that this host takes no new work; go on answering probes."""
        self._table.declare(MemberState.LEAVING, reported_by=self.own.name)
        return self._spread(now)

    def depart(self, *, now: float) -> list[Send]:
        """Tell that this process ends now, so that nobody needs to detect it."""
        self._table.declare(MemberState.DEAD, reported_by=self.own.name)
        return self._spread(now)

    def receive(self, message: Message, *, sender: Address, now: float) -> list[Send]:
        """Take a datagram in and return those to send because of it."""
        if self.superseded:
            return []
        self._note_time(now)
        source = message.source
        known = self._roster.get(source.name)
        if source.name == self.own.name:
            self._table.merge_own(source, reported_by=source.name)
            return []
        if known is not None and source.incarnation < known.incarnation:
            # The process was replaced: what it says is out of date, and it is told
            # so that it stops.
            self.n_old_incarnations += 1
            return [self._tell(sender, known)]
        self._wake_up(message)
        self._table.merge(source, reported_by=source.name, now=now)
        sends = self._handle(message, sender, now)
        self._follow_news(now)
        return sends

    def advance(self, *, now: float) -> list[Send]:
        """Do whatever is due and return the datagrams to send."""
        if self.superseded:
            return []
        self._note_time(now)
        sends = self._check_probes(now)
        self._table.confirm_suspicions(now=now)
        self._join_alone(now)
        if now >= self._probe_at:
            self._probe_at = now + self._interval
            sends += self._probe_next(now)
        if now >= self._retry_at:
            self._retry_at = now + self._retry_delay()
            self._roster.forget_dead(now=now)
            sends += self._try_unknown(now)
        if now >= self._sync_at:
            sends += self._sync(now)
        self._follow_news(now)
        if self._spread_at is not None and now >= self._spread_at:
            sends += self._spread(now)
        return sends

    def _handle(self, message: Message, sender: Address, now: float) -> list[Send]:
        match message:
            case Ping():
                self._merge_news(message, now)
                return [self._answer(message, sender), *self._call_back(sender, now)]
            case Ack():
                self._merge_news(message, now)
                sends = self._accept(message, now)
                return [*sends, *self._correct(message.source, sender)]
            case Gossip():
                order = self.own.order
                self._merge_news(message, now)
                refuted = [] if self.own.order == order else [self._tell(sender)]
                return [*refuted, *self._correct(message.source, sender)]
            case ProbeRequest():
                return self._relay(message, sender, now)
            case Summary() if self._table.is_deaf and message.is_answer:
                return []
            case Summary():
                return self._compare(message, sender, now)
            case Table(source=source, members=members):
                self._table.merge_table(members, reported_by=source.name, now=now)
                return []

    def _merge_news(self, message: Ping | Ack | Gossip, now: float) -> None:
        source = message.source
        self._table.merge_all(message.updates, reported_by=source.name, now=now)
        if message.documents.fingerprint != self.documents.fingerprint:
            self._table.note_documents(source, message.documents)

    def _follow_news(self, now: float) -> None:
        """Give newcomers their turn and plan to pass on what is new."""
        for name in self._table.newcomers:
            self._probes.add_turn(name, self._random)
        self._table.newcomers.clear()
        if self._table.has_refuted:
            self._spread_at = now
        elif self._table.has_fresh_news:
            self._plan_spread(now)
        self._table.has_refuted = False
        self._table.has_fresh_news = False

    # Time.

    def _note_time(self, now: float) -> None:
        """Notice a pause of this process, in which silence proves nothing.

        A process that was stopped for minutes finds all its timers expired. If it
        acted on them it would declare everyone dead who answered while it slept.
        """
        if self._started_at is None:
            self._started_at = now
            self._last_seen = now
            self._probe_at = now
            self._retry_at = now
            self._sync_at = now + self._interval * _SYNC_SOON
        self._table.may_restamp = now - self._started_at < JOIN_S
        gap = now - self._last_seen
        self._last_seen = now
        if gap <= 2 * self._interval:
            return
        self._probes.clear()
        self._table.restart_suspicions(now=now)
        if gap > self._suspect:
            self._table.doubt_all()
            self._n_syncs_in_a_row = 0
            self._probe_at = now
            self._retry_at = now
            self._sync_at = now + self._interval * _SYNC_SOON

    def _wake_up(self, message: Message) -> None:
        """After a pause, wait for the answer to a probe sent since.

        What waited in the socket meanwhile is as old as the pause, and told on it
        would be old gossip in a fleet that has forgotten its dead. The socket
        gives datagrams in their order, so all of these come before that answer.
        """
        if isinstance(message, Ack) and message.sequence in self._probes:
            self._table.is_deaf = False

    def _call_back(self, sender: Address, now: float) -> list[Send]:
        """After a pause, ping whoever pings us, to hear something fresh.

        All whom this host knew may have been replaced while it slept.
        """
        if not self._table.is_deaf or self._probes.is_trying(sender):
            return []
        return [self._ping("", sender, now)]

    def _join_alone(self, now: float) -> None:
        """Serve alone when no hint answers, as the first host of a fleet does."""
        waited = now - (now if self._started_at is None else self._started_at)
        alone = next(self._roster.members(), None) is None
        if not self.joined and alone and waited >= _ALONE_PROBES * self._interval:
            self.joined = True

    def _retry_delay(self) -> float:
        return self._interval * (_RETRY_PROBES if self.joined else 1)

    # Probing.

    def _probe_next(self, now: float) -> list[Send]:
        while name := self._probes.take_turn():
            member = self._roster.get(name)
            if member is not None and member.state is not MemberState.DEAD:
                return [self._ping(name, member.peers, now, member.incarnation)]
        names = [member.name for member in self._roster.members()]
        self._probes.fill_turns(names, self._random)
        return self._probe_next(now) if names else []

    def _ping(
        self, name: str, address: Address, now: float, incarnation: int = 0
    ) -> Send:
        sequence = self._probes.start(name, incarnation, address, now)
        return self._build_ping(sequence, name, address)

    def _build_ping(self, sequence: int, name: str, address: Address) -> Send:
        ping = Ping(
            source=self.own,
            sequence=sequence,
            documents=self.documents,
            updates=self._take_news(name),
        )
        return Send(to=address, message=ping)

    def _check_probes(self, now: float) -> list[Send]:
        sends: list[Send] = []
        for probe in self._probes.take_failed(now):
            suspect = self._table.suspect(probe.name, probe.incarnation, now=now)
            if suspect is not None:
                # Told first, so that its refutation overtakes the suspicion.
                sends.append(self._tell(suspect.peers, suspect))
        for sequence, probe in self._probes.take_silent(now):
            sends += self._ask_others(sequence, probe)
        return sends

    def _ask_others(self, sequence: int, probe: Probe) -> list[Send]:
        """Have others try, since only the way between the two may be cut."""
        target = self._roster.get(probe.name)
        if target is None:
            return []
        request = ProbeRequest(source=self.own, sequence=sequence, target=target)
        others = self._choose_others(N_INDIRECT, without=probe.name)
        again = self._build_ping(sequence, probe.name, probe.address)
        return [again, *(Send(to=other.peers, message=request) for other in others)]

    def _relay(self, request: ProbeRequest, sender: Address, now: float) -> list[Send]:
        sequence = self._probes.start_relay(sender, request.sequence, now)
        if sequence is None:
            return []
        target = request.target
        return [self._build_ping(sequence, target.name, target.peers)]

    def _answer(self, ping: Ping, sender: Address) -> Send:
        ack = Ack(
            source=self.own,
            sequence=ping.sequence,
            subject=None,
            documents=self.documents,
            updates=self._take_news(ping.source.name),
        )
        return Send(to=sender, message=ack)

    def _accept(self, ack: Ack, now: float) -> list[Send]:
        relay = self._probes.finish_relay(ack.sequence)
        if relay is not None:
            passed_on = Ack(
                source=self.own,
                sequence=relay.sequence,
                subject=ack.source,
                documents=self.documents,
                updates=(),
            )
            return [Send(to=relay.requester, message=passed_on)]
        subject = ack.subject or ack.source
        if ack.subject is not None:
            self._table.merge(ack.subject, reported_by=ack.source.name, now=now)
        probe = self._probes.finish(ack.sequence, subject.name)
        if probe is None:
            return []
        if probe.name == "":
            return [] if self.joined else self._sync(now)
        self._table.withdraw(subject.name)
        return []

    # Telling.

    def _take_news(self, receiver: str) -> tuple[Member, ...]:
        first = self._table.get_accusation(receiver)
        return self._table.news.take(len(self.live()), first)

    def _tell(self, to: Address, *members: Member) -> Send:
        gossip = Gossip(source=self.own, documents=self.documents, updates=members)
        return Send(to=to, message=gossip)

    def _correct(self, source: Member, sender: Address) -> list[Send]:
        """Tell a member that is held dead or suspect so, for it to refute."""
        known = self._table.get_accusation(source.name)
        if known is None:
            return []
        return [self._tell(sender, known)]

    def _plan_spread(self, now: float) -> None:
        soon = now + _SPREAD_DELAY * self._interval
        spaced = self._last_spread + _SPREAD_SPACING * self._interval
        due = max(soon, spaced)
        self._spread_at = due if self._spread_at is None else min(due, self._spread_at)

    def _spread(self, now: float) -> list[Send]:
        self._spread_at = None
        self._last_spread = now
        sends = []
        for other in self._choose_others(N_SPREAD, without=""):
            gossip = Gossip(
                source=self.own,
                documents=self.documents,
                updates=self._take_news(other.name),
            )
            sends.append(Send(to=other.peers, message=gossip))
        return sends

    def _choose_others(self, n_wanted: int, *, without: str) -> list[Member]:
        others = [
            member
            for member in self._roster.members()
            if member.name != without
            and member.state is not MemberState.SUSPECT
            and not self._roster.is_stale(member.name)
        ]
        return self._random.sample(others, min(n_wanted, len(others)))

    # Comparing tables.

    def _try_unknown(self, now: float) -> list[Send]:
        """Try one address that belongs to no live member: a hint or a dead one.

        After a cut between regions each side holds the other dead and no probe
        crosses; this is what finds the way back.
        """
        known = {member.peers for member in self._roster.members()}
        dead = self._roster.dead_since(now - RETRY_DEAD_S)
        addresses = dict.fromkeys([*self._hints, *(member.peers for member in dead)])
        unknown = [
            address
            for address in addresses
            if address not in known and not self._probes.is_trying(address)
        ]
        n_tries = 1 if self.joined else N_INDIRECT
        chosen = self._random.sample(unknown, min(n_tries, len(unknown)))
        return [self._ping("", address, now) for address in chosen]

    def _sync(self, now: float) -> list[Send]:
        """Send a summary to one other host, after a pause until one has answered."""
        # A host that others greeted first has asked nobody for a table yet, and is
        # not ready before it has one.
        is_urgent = not self.joined or self._roster.list_stale()
        delay = 1.0 if is_urgent else _SYNC_PROBES
        self._sync_at = now + self._interval * delay * self._random.uniform(0.75, 1.25)
        others = self._choose_others(1, without="")
        return [Send(to=other.peers, message=self._summarise()) for other in others]

    def _summarise(
        self, *, is_answer: bool = False, truncated: bool = False
    ) -> Summary:
        return Summary(
            source=self.own,
            is_answer=is_answer,
            truncated=truncated,
            buckets=self._roster.hash_buckets(self.own),
        )

    def _compare(self, summary: Summary, sender: Address, now: float) -> list[Send]:
        ours = self._roster.hash_buckets(self.own)
        theirs = summary.buckets
        differing = {
            index
            for index, (mine, other) in enumerate(zip(ours, theirs, strict=False))
            if mine != other
        }
        sends, truncated = self._send_tables(differing, sender)
        if not summary.is_answer:
            answer = self._summarise(is_answer=True, truncated=truncated)
            return [*sends, Send(to=sender, message=answer)]
        self._finish_sync(differing, summary.truncated, now)
        return sends

    def _finish_sync(self, differing: set[int], truncated: bool, now: float) -> None:
        if not truncated:
            self.joined = True
            if not differing:
                self._table.bury_unconfirmed(now=now)
        self._n_syncs_in_a_row += 1
        if not differing:
            self._n_syncs_in_a_row = 0
        elif self._n_syncs_in_a_row < _MAX_SYNCS_IN_A_ROW:
            self._sync_at = now + self._interval * _SYNC_SOON

    def _send_tables(self, buckets: set[int], to: Address) -> tuple[list[Send], bool]:
        members = self._roster.list_buckets(buckets)
        self._random.shuffle(members)
        sends: list[Send] = []
        while members and len(sends) < MAX_TABLES:
            part = _take_part(members)
            sends.append(Send(to=to, message=Table(source=self.own, members=part)))
        return sends, bool(members)


def _take_part(members: list[Member]) -> tuple[Member, ...]:
    part: list[Member] = []
    room = MAX_TABLE_BYTES
    while members and (room := room - estimate_bytes(members[-1])) >= 0:
        part.append(members.pop())
    return tuple(part)
