"""Failure detection and membership of the hosts, after the SWIM protocol.

SWIM (Das, Gupta and Motivala, 2002): each host probes one other in turn, asks a few
others to probe a member that does not answer, and piggybacks updates on the probes.
docs/design/membership.md compares the alternatives.
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
from .hints import Hints, PingRound, plan_round
from .membertable import MemberTable
from .probing import Probe, Probes

N_INDIRECT_PROBES = 3
"""How many other hosts are asked to probe a member that did not answer."""

GOSSIP_FANOUT = 3
"""How many hosts receive a new update at once, in addition to piggybacking."""

MAX_TABLE_DATAGRAM_BYTES = 1_100
MAX_TABLE_DATAGRAMS = 8
"""Datagrams of table in one exchange; the rest waits for the next exchange."""

RAISE_INCARNATION_S = 60.0
"""How long after its start a process may raise its own incarnation."""

RETRY_DEAD_S = 21_600.0
"""How long a dead member is pinged; a partition of regions may last an hour."""

# These are in probe intervals.
_GOSSIP_DELAY = 0.1
_GOSSIP_SPACING = 0.25
_SYNC_INTERVAL = 30
_SYNC_SOON_DELAY = 0.2
_ALONE_TIMEOUT = 5

_MAX_CONSECUTIVE_SYNCS = 40


class Membership:
    """One host's view of the live hosts. Datagrams and time go in, datagrams come out.

    The caller hands each received message to `receive`, calls `advance` no later than
    `next_wake()`, and sends the datagrams that these return. Times are seconds of one
    monotonic clock. Addresses from the platform's host list are hints only: a host
    counts as a member once it has sent a message or another host has reported it.

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
        self._has_no_table = True
        self.n_old_incarnations = 0
        self._random = random
        self._interval_s = control.probe_interval_ms / 1000
        self._suspect_s = control.suspect_ms / 1000
        self._table = MemberTable(own=own, suspect_s=self._suspect_s)
        self._roster = self._table.roster
        self._probes = Probes(
            interval_s=self._interval_s, timeout_s=control.probe_timeout_ms / 1000
        )
        self._hints = Hints()
        self._is_own_hint = False
        self._live_cache: tuple[frozenset[str], bool, frozenset[str]] | None = None
        self._started_at: float | None = None
        self._last_call_at = 0.0
        self._probe_at = 0.0
        self._retry_at = 0.0
        self._sync_at = 0.0
        self._n_consecutive_syncs = 0
        self._gossip_at: float | None = None
        self._last_gossip_at = 0.0

    # Queries.

    @property
    def own(self) -> Member:
        """This process's own record."""
        return self._table.own

    @property
    def superseded(self) -> bool:
        """Whether a newer process has taken this name; this one then sends nothing."""
        return self._table.superseded

    @property
    def changes(self) -> int:
        """How many changes to member records have been recorded."""
        return self._table.n_changes

    def live(self) -> frozenset[str]:
        """Return the names of the hosts to which new work may go, this one included.

        The same object is returned until it changes.
        """
        others = self._roster.names_that_may_own()
        if self._live_cache is None or self._live_cache[:2] != (
            others,
            self.own.may_own,
        ):
            own = {self.own.name} if self.own.may_own else set()
            self._live_cache = (others, self.own.may_own, others | own)
        return self._live_cache[2]

    def members(self) -> tuple[Member, ...]:
        """Return the records of all members but the dead, this host's own first."""
        return (self.own, *self._roster.members())

    def suspects(self) -> frozenset[str]:
        """Return the names of the hosts that did not answer a probe and may be dead."""
        return frozenset(
            member.name
            for member in self._roster.members()
            if member.state is MemberState.SUSPECT
        )

    def split_hints(self) -> tuple[int, bool, list[Address]]:
        """Return how many hints are other members, whether one is this host, the rest.

        The rest are the addresses that belong to no known member.
        """
        addresses = {member.peers for member in self.members()}
        hints = self._hints.list_all()
        others = [hint for hint in hints if hint not in addresses]
        return len(hints) - len(others), self._is_own_hint, others

    def get_data_centres(self) -> dict[str, str]:
        """Return the data centre of each host to which new work may go."""
        return {m.name: m.data_centre for m in self.members() if m.may_own}

    def get_capacities(self) -> dict[str, int]:
        """Return the capacity of each host to which new work may go, 0 if unknown."""
        return {m.name: m.capacity for m in self.members() if m.may_own}

    def get(self, name: str) -> Member | None:
        """Return the record of a member, dead members included, or None."""
        return self._table.get(name)

    def take_events(self) -> list[Event]:
        """Return and remove the recorded events, the oldest first."""
        return self._table.take_events()

    def next_wake(self) -> float:
        """Return the time by which `advance` is to be called."""
        times = [self._probe_at, self._retry_at, self._sync_at]
        if self._gossip_at is not None:
            times.append(self._gossip_at)
        times += [self._probes.next_due(), self._table.next_due()]
        return min(times)

    # Commands.

    def join(self, hints: Iterable[Address]) -> None:
        """Add addresses to ping, from the settings or the platform's host list.

        A hint marks no host live or dead: the platform's list lags, and a host that it
        still lists as live may be gone.
        """
        addresses = list(hints)
        self._is_own_hint |= self.own.peers in addresses
        has_new = self._hints.add(each for each in addresses if each != self.own.peers)
        if has_new and self._is_alone():
            self._retry_at = self._last_call_at

    def replace_control(self, control: Control) -> None:
        """Apply the timing of new settings; probes under way keep their deadlines."""
        self._interval_s = control.probe_interval_ms / 1000
        self._suspect_s = control.suspect_ms / 1000
        self._table.suspect_s = self._suspect_s
        self._probes.replace_timing(
            interval_s=self._interval_s, timeout_s=control.probe_timeout_ms / 1000
        )

    def announce(
        self, *, documents: DocumentsDigest, settings_version: int, now: float
    ) -> list[Send]:
        """Send the versions of this host's documents to a few members at once."""
        self.documents = documents
        self._table.own = replace(self.own, settings_version=settings_version)
        return self._gossip(now)

    def probe(self, name: str, *, now: float) -> list[Send]:
        """Probe a member out of turn, as after a message to it was not answered."""
        member = self._roster.get(name)
        if member is None or not member.may_own or self.superseded:
            return []
        if self._probes.is_probing(member.peers):
            return []
        return [self._ping(name, member.peers, now, member.incarnation)]

    def leave(self, *, now: float) -> list[Send]:
        """Announce that this host takes no new work; keep answering probes."""
        self._table.declare(MemberState.LEAVING, reported_by=self.own.name)
        return self._gossip(now)

    def depart(self, *, now: float) -> list[Send]:
        """Announce that this process ends now, so that no probe has to detect it."""
        self._table.declare(MemberState.DEAD, reported_by=self.own.name)
        return self._gossip(now)

    def receive(self, message: Message, *, sender: Address, now: float) -> list[Send]:
        """Process a received datagram and return the datagrams to send in response."""
        if self.superseded:
            return []
        self._detect_pause(now)
        source = message.source
        known = self._roster.get(source.name)
        if source.name == self.own.name:
            self._table.merge_own(source, reported_by=source.name)
            return []
        if known is not None and source.incarnation < known.incarnation:
            # The process was replaced. Its message is discarded, and it is sent the
            # newer record so that it stops.
            self.n_old_incarnations += 1
            return [self._build_gossip(sender, known)]
        self._end_resync(message)
        self._table.merge(source, reported_by=source.name, now=now)
        sends = self._handle(message, sender, now)
        self._process_updates(now)
        return sends

    def advance(self, *, now: float) -> list[Send]:
        """Do all that is due and return the datagrams to send."""
        if self.superseded:
            return []
        self._detect_pause(now)
        sends = self._check_probes(now)
        self._table.confirm_suspicions(now=now)
        self._join_without_peers(now)
        if now >= self._probe_at:
            self._probe_at = now + self._interval_s
            sends += self._probe_next(now)
        if now >= self._retry_at:
            self._roster.forget_dead(now=now)
            sends += self._ping_unknown(now)
        if now >= self._sync_at:
            sends += self._sync(now)
        self._process_updates(now)
        if self._gossip_at is not None and now >= self._gossip_at:
            sends += self._gossip(now)
        return sends

    def _handle(self, message: Message, sender: Address, now: float) -> list[Send]:
        match message:
            case Ping():
                self._merge_updates(message, now)
                return [self._build_ack(message, sender), *self._ping_back(sender, now)]
            case Ack():
                self._merge_updates(message, now)
                sends = self._handle_ack(message, now)
                return [*sends, *self._notify_accused(message.source, sender)]
            case Gossip():
                order = self.own.order
                self._merge_updates(message, now)
                refuted = (
                    [] if self.own.order == order else [self._build_gossip(sender)]
                )
                return [*refuted, *self._notify_accused(message.source, sender)]
            case ProbeRequest():
                return self._relay_probe(message, sender, now)
            case Summary() if self._table.ignores_gossip and message.is_answer:
                return []
            case Summary():
                return self._compare_summary(message, sender, now)
            case Table(source=source, members=members):
                self._table.merge_table(members, reported_by=source.name, now=now)
                return []

    def _merge_updates(self, message: Ping | Ack | Gossip, now: float) -> None:
        source = message.source
        self._table.merge_all(message.updates, reported_by=source.name, now=now)
        if message.documents.fingerprint != self.documents.fingerprint:
            self._table.record_documents(source, message.documents)

    def _process_updates(self, now: float) -> None:
        """Queue new members for probing and schedule gossip about updates."""
        if self._table.newcomers and self.joined and self._has_no_table:
            # A host that became ready alone has found another and needs its table.
            self._sync_at = min(self._sync_at, now)
        for name in self._table.newcomers:
            self._probes.add_turn(name, self._random)
        self._table.newcomers.clear()
        if self._table.has_refuted:
            self._gossip_at = now
        elif self._table.has_new_updates:
            self._schedule_gossip(now)
        self._table.has_refuted = False
        self._table.has_new_updates = False

    # Timers and pauses.

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this process, and restart the timers after one.

        After a pause of minutes all timers have expired. If it acted on them, the
        process would declare dead all members that answered while it was paused.
        """
        if self._started_at is None:
            self._started_at = now
            self._last_call_at = now
            self._probe_at = now
            self._retry_at = now
            self._sync_at = now + self._interval_s * _SYNC_SOON_DELAY
        self._table.may_raise_incarnation = now - self._started_at < RAISE_INCARNATION_S
        gap = now - self._last_call_at
        self._last_call_at = now
        if gap <= 2 * self._interval_s:
            return
        self._probes.clear()
        self._table.restart_suspicions(now=now)
        if gap > self._suspect_s:
            self._table.mark_stale_after_pause()
            self._n_consecutive_syncs = 0
            self._probe_at = now
            self._retry_at = now
            self._sync_at = now + self._interval_s * _SYNC_SOON_DELAY

    def _end_resync(self, message: Message) -> None:
        """Accept gossip again once a probe sent after a pause is answered.

        Datagrams that waited in the socket are as old as the pause. Passed on, they
        would bring back members that the other hosts have already forgotten as dead.
        The socket delivers in order, so all of these come before the answer.
        """
        if isinstance(message, Ack) and message.sequence in self._probes:
            self._table.ignores_gossip = False

    def _ping_back(self, sender: Address, now: float) -> list[Send]:
        """After a pause, ping any host that pings this one, to get current updates.

        All members known to this host may have been replaced during the pause.
        """
        if not self._table.ignores_gossip or self._probes.is_probing(sender):
            return []
        return [self._ping("", sender, now)]

    def _join_without_peers(self, now: float) -> None:
        """Become ready alone when no hint answers, as the first host does."""
        waited = now - (now if self._started_at is None else self._started_at)
        is_over = waited >= _ALONE_TIMEOUT * self._interval_s
        if not self.joined and is_over and self._is_alone():
            self.joined = True

    def _is_alone(self) -> bool:
        return next(self._roster.members(), None) is None

    def _plan_round(self, now: float) -> PingRound:
        return plan_round(
            is_alone=self._is_alone(),
            has_joined=self.joined,
            uptime_s=0.0 if self._started_at is None else now - self._started_at,
        )

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
            updates=self._take_updates(name),
        )
        return Send(to=address, message=ping)

    def _check_probes(self, now: float) -> list[Send]:
        sends: list[Send] = []
        for probe in self._probes.take_failed(now):
            suspect = self._table.suspect(probe.name, probe.incarnation, now=now)
            if suspect is not None:
                # The suspect is sent its own suspicion first, so that its refutation
                # overtakes the gossip.
                sends.append(self._build_gossip(suspect.peers, suspect))
        for sequence, probe in self._probes.take_silent(now):
            sends += self._request_probes(sequence, probe)
        return sends

    def _request_probes(self, sequence: int, probe: Probe) -> list[Send]:
        """Ask other hosts to probe, since only the direct path may be cut."""
        target = self._roster.get(probe.name)
        if target is None:
            return []
        request = ProbeRequest(source=self.own, sequence=sequence, target=target)
        others = self._choose_members(N_INDIRECT_PROBES, excluded=probe.name)
        again = self._build_ping(sequence, probe.name, probe.address)
        return [again, *(Send(to=other.peers, message=request) for other in others)]

    def _relay_probe(
        self, request: ProbeRequest, sender: Address, now: float
    ) -> list[Send]:
        sequence = self._probes.start_relay(sender, request.sequence, now)
        if sequence is None:
            return []
        target = request.target
        return [self._build_ping(sequence, target.name, target.peers)]

    def _build_ack(self, ping: Ping, sender: Address) -> Send:
        ack = Ack(
            source=self.own,
            sequence=ping.sequence,
            subject=None,
            documents=self.documents,
            updates=self._take_updates(ping.source.name),
        )
        return Send(to=sender, message=ack)

    def _handle_ack(self, ack: Ack, now: float) -> list[Send]:
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
        self._table.drop_local_suspicion(subject.name)
        return []

    # Sending updates.

    def _take_updates(self, receiver: str) -> tuple[Member, ...]:
        first = self._table.get_record_to_refute(receiver)
        return self._table.updates_to_send.take(len(self.live()), first)

    def _build_gossip(self, to: Address, *members: Member) -> Send:
        gossip = Gossip(source=self.own, documents=self.documents, updates=members)
        return Send(to=to, message=gossip)

    def _notify_accused(self, source: Member, sender: Address) -> list[Send]:
        """Send a member the record that marks it suspect or dead, to be refuted."""
        known = self._table.get_record_to_refute(source.name)
        if known is None:
            return []
        return [self._build_gossip(sender, known)]

    def _schedule_gossip(self, now: float) -> None:
        soon = now + _GOSSIP_DELAY * self._interval_s
        spaced = self._last_gossip_at + _GOSSIP_SPACING * self._interval_s
        due = max(soon, spaced)
        self._gossip_at = due if self._gossip_at is None else min(due, self._gossip_at)

    def _gossip(self, now: float) -> list[Send]:
        self._gossip_at = None
        self._last_gossip_at = now
        sends = []
        for other in self._choose_members(GOSSIP_FANOUT, excluded=""):
            gossip = Gossip(
                source=self.own,
                documents=self.documents,
                updates=self._take_updates(other.name),
            )
            sends.append(Send(to=other.peers, message=gossip))
        return sends

    def _choose_members(self, n_wanted: int, *, excluded: str) -> list[Member]:
        others = [
            member
            for member in self._roster.members()
            if member.name != excluded
            and member.state is not MemberState.SUSPECT
            and not self._roster.is_stale(member.name)
        ]
        return self._random.sample(others, min(n_wanted, len(others)))

    # Anti-entropy: comparing tables.

    def _ping_unknown(self, now: float) -> list[Send]:
        """Ping addresses that belong to no live member: hints and those of the dead.

        After a partition between regions each side has marked the other dead and sends
        it no probes; these pings reconnect the two.
        """
        plan = self._plan_round(now)
        self._retry_at = now + self._interval_s * plan.interval
        known = {member.peers for member in self._roster.members()}
        dead = self._roster.dead_since(now - RETRY_DEAD_S)
        chosen = self._hints.choose(
            [member.peers for member in dead],
            known | self._probes.list_addresses(),
            plan.n_pings,
            self._random,
        )
        return [self._ping("", address, now) for address in chosen]

    def _sync(self, now: float) -> list[Send]:
        """Send a summary to one other host, and schedule the next one."""
        # A host that was pinged by others first may have received no table yet, and is
        # not ready before it has one.
        is_urgent = self._has_no_table or self._roster.list_stale()
        delay = 1.0 if is_urgent else _SYNC_INTERVAL
        self._sync_at = now + self._interval_s * delay * self._random.uniform(
            0.75, 1.25
        )
        others = self._choose_members(1, excluded="")
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

    def _compare_summary(
        self, summary: Summary, sender: Address, now: float
    ) -> list[Send]:
        own_hashes = self._roster.hash_buckets(self.own)
        remote_hashes = summary.buckets
        differing = {
            index
            for index, (own_hash, remote_hash) in enumerate(
                zip(own_hashes, remote_hashes, strict=False)
            )
            if own_hash != remote_hash
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
            self._has_no_table = False
            if not differing:
                self._table.declare_stale_dead(now=now)
        self._n_consecutive_syncs += 1
        if not differing:
            self._n_consecutive_syncs = 0
        elif self._n_consecutive_syncs < _MAX_CONSECUTIVE_SYNCS:
            self._sync_at = now + self._interval_s * _SYNC_SOON_DELAY

    def _send_tables(self, buckets: set[int], to: Address) -> tuple[list[Send], bool]:
        members = self._roster.list_buckets(buckets)
        self._random.shuffle(members)
        sends: list[Send] = []
        while members and len(sends) < MAX_TABLE_DATAGRAMS:
            part = _take_table_part(members)
            sends.append(Send(to=to, message=Table(source=self.own, members=part)))
        return sends, bool(members)


def _take_table_part(members: list[Member]) -> tuple[Member, ...]:
    part: list[Member] = []
    bytes_left = MAX_TABLE_DATAGRAM_BYTES
    while members and (bytes_left := bytes_left - estimate_bytes(members[-1])) >= 0:
        part.append(members.pop())
    return tuple(part)
