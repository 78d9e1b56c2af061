"""The table of members, with suspicions, refutations and updates to pass on."""

from collections.abc import Iterable
from dataclasses import replace

from ..state.gossip import DocumentsAdvertised, Event, MemberChanged
from ..state.member import DocumentsDigest, Member, MemberState
from .dissemination import Dissemination
from .roster import Roster

MAX_EVENTS = 4_096
"""Events kept until taken, so that a caller that never takes them is safe."""

_REFUTABLE = (MemberState.SUSPECT, MemberState.DEAD)


class MemberTable:
    """The member table with suspicions, refutations and pending updates.

    `ignores_gossip` is set after a pause: updates about other members are then ignored.
    `may_raise_incarnation` is set for a while after the start, as described at
    `_handle_newer_incarnation`.
    """

    def __init__(self, *, own: Member, suspect_s: float) -> None:
        self.own = own
        self.roster = Roster()
        self.updates_to_send = Dissemination()
        self.superseded = False
        self.ignores_gossip = False
        self.may_raise_incarnation = True
        self.n_changes = 0
        self.has_new_updates = False
        self.has_refuted = False
        self.newcomers: list[str] = []
        self.suspect_s = suspect_s
        self._suspicions: dict[str, float] = {}
        self._events: list[Event] = []

    def get(self, name: str) -> Member | None:
        """Return the record of a member, dead members included, or None."""
        return self.own if name == self.own.name else self.roster.get(name)

    def take_events(self) -> list[Event]:
        """Return and remove the recorded events, the oldest first."""
        events = self._events
        self._events = []
        return events

    def next_due(self) -> float:
        """Return when the next suspicion expires, infinity without one."""
        return min(self._suspicions.values(), default=float("inf"))

    def declare(self, state: MemberState, *, reported_by: str) -> None:
        """Set the state of this process in a record that overrides all earlier ones."""
        previous = self.own
        self.own = replace(previous, state=state, refutations=previous.refutations + 1)
        self.updates_to_send.add(self.own)
        self._record_change(self.own, previous, reported_by)

    def merge_all(
        self, members: Iterable[Member], *, reported_by: str, now: float
    ) -> None:
        """Merge records received from another host."""
        for member in members:
            self.merge(member, reported_by=reported_by, now=now)

    def merge_table(
        self, members: Iterable[Member], *, reported_by: str, now: float
    ) -> None:
        """Merge a part of another host's table.

        Members that are dead in that table become suspects here. After a partition
        between regions each side's table marks the whole other side dead; merged as
        they are, these records would take the work away from half of the hosts until
        each had refuted. Dead members that are unknown here stay unknown, or tombstones
        would pass from host to host for ever.
        """
        for member in members:
            known = self.roster.get(member.name)
            if known is None and member.state is not MemberState.DEAD:
                self._add_from_table(member, reported_by=reported_by, now=now)
            elif member.state is not MemberState.DEAD or member.name == self.own.name:
                self.merge(member, reported_by=reported_by, now=now)
            elif known is not None and member.order > known.order:
                self._merge_reported_dead(
                    member, known, reported_by=reported_by, now=now
                )

    def merge(self, member: Member, *, reported_by: str, now: float) -> None:
        """Merge a record if it is newer than the known one of its member."""
        if member.name == self.own.name:
            self.merge_own(member, reported_by=reported_by)
            return
        if self.ignores_gossip:
            return
        previous = self.roster.get(member.name)
        if not self.roster.merge(member, now=now):
            return
        self._record_change(member, previous, reported_by)
        self.updates_to_send.add(member)
        self.has_new_updates = True
        self._suspicions.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self._suspicions[member.name] = now + self.suspect_s
        if previous is None and member.state is not MemberState.DEAD:
            self.newcomers.append(member.name)

    def merge_own(self, member: Member, *, reported_by: str) -> None:
        """Refute a false record of this process, or detect its successor.

        A process that was paused or cut off receives records that mark it suspect or
        dead. Only a record with a higher order overrides these, and only this process
        makes one.
        """
        if member.incarnation > self.own.incarnation:
            self._handle_newer_incarnation(member)
        elif member.incarnation == self.own.incarnation:
            is_false = member.state in _REFUTABLE
            if is_false and member.order > self.own.order:
                refutations = max(member.refutations, self.own.refutations)
                self.own = replace(self.own, refutations=refutations)
                self.declare(self.own.state, reported_by=reported_by)
                self.has_refuted = True

    def record_documents(self, source: Member, documents: DocumentsDigest) -> None:
        """Record that a member has documents other than those of this host."""
        if len(self._events) < MAX_EVENTS:
            advertised = DocumentsAdvertised(member=source, documents=documents)
            self._events.append(advertised)

    def suspect(self, name: str, incarnation: int, *, now: float) -> Member | None:
        """Mark a member that did not answer as suspect; return the record to gossip."""
        member = self.roster.get(name)
        if member is None or member.incarnation != incarnation:
            return None
        match member.state:
            case MemberState.LIVE if not self.roster.is_stale(name):
                suspect = replace(member, state=MemberState.SUSPECT)
                self.merge(suspect, reported_by=self.own.name, now=now)
                return suspect
            case MemberState.LIVE | MemberState.LEAVING:
                # This suspicion stays local. Gossip about a stale member might bring
                # back one that is long dead. For a leaving member, "suspect" would
                # replace "leaving", and it would get work again until it refutes.
                self._suspicions.setdefault(name, now + self.suspect_s)
        return None

    def drop_local_suspicion(self, name: str) -> None:
        """Drop the local suspicion of a member that answered."""
        known = self.roster.get(name)
        if known is not None and known.state is not MemberState.SUSPECT:
            self._suspicions.pop(name, None)

    def confirm_suspicions(self, *, now: float) -> None:
        """Declare dead the members that did not refute their suspicion in time."""
        due = [name for name, at in self._suspicions.items() if now >= at]
        for name in due:
            del self._suspicions[name]
            member = self.roster.get(name)
            if member is not None and member.state is not MemberState.DEAD:
                dead = replace(member, state=MemberState.DEAD)
                self.merge(dead, reported_by=self.own.name, now=now)

    def restart_suspicions(self, *, now: float) -> None:
        """Restart the timeout of all suspicions, as answers may have been missed."""
        for name in self._suspicions:
            self._suspicions[name] = now + self.suspect_s

    def mark_stale_after_pause(self) -> None:
        """Mark all records stale after a pause, and ignore gossip for now."""
        self.ignores_gossip = True
        self.updates_to_send.clear()
        self.roster.mark_all_stale()

    def declare_stale_dead(self, *, now: float) -> None:
        """Mark dead, here only, the stale members that no other host reported since.

        They are not just forgotten: an older record of one, from a host with an older
        table, would then be merged as new.
        """
        for member in self.roster.list_stale():
            dead = replace(member, state=MemberState.DEAD)
            self.roster.merge(dead, now=now)
            self._suspicions.pop(member.name, None)
            self._record_change(dead, member, self.own.name)

    def get_record_to_refute(self, name: str) -> Member | None:
        """Return the record that `name` has to refute, or None."""
        known = self.roster.get(name)
        is_accused = known is not None and known.state in _REFUTABLE
        return known if is_accused else None

    def _add_from_table(self, member: Member, *, reported_by: str, now: float) -> None:
        """Add a member that was unknown here from a table, without gossiping it on.

        The other hosts have its own record already. A new host that passed on the whole
        table it was sent would delay newer updates, and with them the detection of
        hosts that join: among 200 hosts, a new one was unknown to some for half a
        minute.
        """
        had_new_updates = self.has_new_updates
        self.merge(member, reported_by=reported_by, now=now)
        if member.name != self.own.name:
            self.updates_to_send.drop(member.name)
            self.has_new_updates = had_new_updates

    def _merge_reported_dead(
        self, dead: Member, known: Member, *, reported_by: str, now: float
    ) -> None:
        match known.state:
            case MemberState.LEAVING if dead.incarnation == known.incarnation:
                self._suspicions.setdefault(known.name, now + self.suspect_s)
            case MemberState.DEAD:
                self.merge(dead, reported_by=reported_by, now=now)
            case _:
                suspect = replace(dead, state=MemberState.SUSPECT)
                self.merge(suspect, reported_by=reported_by, now=now)

    def _handle_newer_incarnation(self, member: Member) -> None:
        """Distinguish a clock that was set back from a process that replaced this one.

        After a restart with a clock set back, the record of the previous process looks
        newer and the other hosts would ignore this one, so within `RAISE_INCARNATION_S`
        of the start the incarnation is raised above it. Later the newer record is that
        of a process that replaced this one while it was paused; raising the incarnation
        then would leave two processes with one name.
        """
        if not self.may_raise_incarnation:
            self.superseded = True
            return
        self.own = replace(self.own, incarnation=member.incarnation + 1, refutations=0)
        self.updates_to_send.add(self.own)

    def _record_change(
        self, member: Member, previous: Member | None, reported_by: str
    ) -> None:
        self.n_changes += 1
        if len(self._events) < MAX_EVENTS:
            event = MemberChanged(
                member=member, previous=previous, reported_by=reported_by
            )
            self._events.append(event)
