"""The table of members with suspicions and refutations, and what is gossiped on."""

from collections.abc import Iterable
from dataclasses import replace

from ..state.gossip import DocumentsAdvertised, Event, MemberChanged
from ..state.member import DocumentsDigest, Member, MemberState
from .dissemination import Dissemination
from .roster import Roster

MAX_EVENTS = 4_096
"""Events that wait to be taken; a caller that never asks must not fill memory."""

_ACCUSED = (MemberState.SUSPECT, MemberState.DEAD)


class MemberTable:
    """The member table with suspicions, refutations and news.

    `is_deaf` is set after a pause: hearsay is then not taken in. `may_restamp` is
    set while the process is young; see `_note_successor`.
    """

    def __init__(self, *, own: Member, suspect_s: float) -> None:
        self.own = own
        self.roster = Roster()
        self.news = Dissemination()
        self.superseded = False
        self.is_deaf = False
        self.may_restamp = True
        self.n_changes = 0
        self.has_fresh_news = False
        self.has_refuted = False
        self.newcomers: list[str] = []
        self.suspect_s = suspect_s
        self._suspicions: dict[str, float] = {}
        self._events: list[Event] = []

    def get(self, name: str) -> Member | None:
        """Return what is known of a member, also of a dead one, or None."""
        return self.own if name == self.own.name else self.roster.get(name)

    def take_events(self) -> list[Event]:
        """Return what happened since the last call, the oldest first."""
        events = self._events
        self._events = []
        return events

    def next_due(self) -> float:
        """Return when the next suspicion is confirmed, infinity without one."""
        return min(self._suspicions.values(), default=float("inf"))

    def declare(self, state: MemberState, *, reported_by: str) -> None:
        """Say something new of this process itself, above all that was said."""
        previous = self.own
        self.own = replace(previous, state=state, refutations=previous.refutations + 1)
        self.news.add(self.own)
        self._note_change(self.own, previous, reported_by)

    def merge_all(
        self, members: Iterable[Member], *, reported_by: str, now: float
    ) -> None:
        """Take in records that another host passes on."""
        for member in members:
            self.merge(member, reported_by=reported_by, now=now)

    def merge_table(
        self, members: Iterable[Member], *, reported_by: str, now: float
    ) -> None:
        """Take in a part of another host's table.

        Its dead are doubted here, not buried. After a cut between regions each
        side's table holds the whole other side dead; believed at once it would
        take the work away from half of the fleet until each had refuted. And the
        dead that were never known here stay unknown, or tombstones would go
        from host to host and never be forgotten.
        """
        for member in members:
            known = self.roster.get(member.name)
            if known is None and member.state is not MemberState.DEAD:
                self._meet(member, reported_by=reported_by, now=now)
            elif member.state is not MemberState.DEAD or member.name == self.own.name:
                self.merge(member, reported_by=reported_by, now=now)
            elif known is not None and member.order > known.order:
                self._doubt(member, known, reported_by=reported_by, now=now)

    def merge(self, member: Member, *, reported_by: str, now: float) -> None:
        """Take a record in if it is newer than what is known of its member."""
        if member.name == self.own.name:
            self.merge_own(member, reported_by=reported_by)
            return
        if self.is_deaf:
            return
        previous = self.roster.get(member.name)
        if not self.roster.merge(member, now=now):
            return
        self._note_change(member, previous, reported_by)
        self.news.add(member)
        self.has_fresh_news = True
        self._suspicions.pop(member.name, None)
        if member.state is MemberState.SUSPECT:
            self._suspicions[member.name] = now + self.suspect_s
        if previous is None and member.state is not MemberState.DEAD:
            self.newcomers.append(member.name)

    def merge_own(self, member: Member, *, reported_by: str) -> None:
        """Refute what is falsely said of this process, or learn of a successor.

        A process that was paused or cut off finds itself suspect or dead. Only a
        record with a higher order undoes that, and only this process makes one.
        """
        if member.incarnation > self.own.incarnation:
            self._note_successor(member)
        elif member.incarnation == self.own.incarnation:
            is_false = member.state in _ACCUSED
            if is_false and member.order > self.own.order:
                refutations = max(member.refutations, self.own.refutations)
                self.own = replace(self.own, refutations=refutations)
                self.declare(self.own.state, reported_by=reported_by)
                self.has_refuted = True

    def note_documents(self, source: Member, documents: DocumentsDigest) -> None:
        """Note that a member holds documents other than ours."""
        if len(self._events) < MAX_EVENTS:
            advertised = DocumentsAdvertised(member=source, documents=documents)
            self._events.append(advertised)

    def suspect(self, name: str, incarnation: int, *, now: float) -> Member | None:
        """Doubt a member that did not answer; return what is to be gossiped."""
        member = self.roster.get(name)
        if member is None or member.incarnation != incarnation:
            return None
        match member.state:
            case MemberState.LIVE if not self.roster.is_stale(name):
                suspect = replace(member, state=MemberState.SUSPECT)
                self.merge(suspect, reported_by=self.own.name, now=now)
                return suspect
            case MemberState.LIVE | MemberState.LEAVING:
                # Kept to ourselves. Of a member without news since a pause, a
                # suspicion gossiped to all might bring back one long dead; of
                # one that leaves, it would hide that, and it would be given work
                # again until it refutes.
                self._suspicions.setdefault(name, now + self.suspect_s)
        return None

    def withdraw(self, name: str) -> None:
        """Drop a suspicion that was kept to ourselves, after an answer."""
        known = self.roster.get(name)
        if known is not None and known.state is not MemberState.SUSPECT:
            self._suspicions.pop(name, None)

    def confirm_suspicions(self, *, now: float) -> None:
        """Declare those dead that did not refute their suspicion in time."""
        due = [name for name, at in self._suspicions.items() if now >= at]
        for name in due:
            del self._suspicions[name]
            member = self.roster.get(name)
            if member is not None and member.state is not MemberState.DEAD:
                dead = replace(member, state=MemberState.DEAD)
                self.merge(dead, reported_by=self.own.name, now=now)

    def restart_suspicions(self, *, now: float) -> None:
        """Give all suspects their whole time again: we slept while they answered."""
        for name in self._suspicions:
            self._suspicions[name] = now + self.suspect_s

    def doubt_all(self) -> None:
        """Doubt the whole table after a pause, and listen to no hearsay for now."""
        self.is_deaf = True
        self.news.clear()
        self.roster.mark_all_stale()

    def bury_unconfirmed(self, *, now: float) -> None:
        """Bury for ourselves those of whom nobody else knows any more.

        They are not just forgotten: an older record of one, from a host that knows
        less, would then take back what was known here.
        """
        for member in self.roster.list_stale():
            dead = replace(member, state=MemberState.DEAD)
            self.roster.merge(dead, now=now)
            self._suspicions.pop(member.name, None)
            self._note_change(dead, member, self.own.name)

    def get_accusation(self, name: str) -> Member | None:
        """Return what `name` has to refute, or None when nothing is held against it."""
        known = self.roster.get(name)
        is_accused = known is not None and known.state in _ACCUSED
        return known if is_accused else None

    def _meet(self, member: Member, *, reported_by: str, now: float) -> None:
        """Take in from a table a member that was not known, without gossiping it on.

        The others know it by its own word. A newcomer that passed on the whole
        table that it had just been given would bury fresh news under it: in a
        fleet of 200 a host that joined was unknown to some for half a minute.
        """
        is_told = self.has_fresh_news
        self.merge(member, reported_by=reported_by, now=now)
        if member.name != self.own.name:
            self.news.drop(member.name)
            self.has_fresh_news = is_told

    def _doubt(
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

    def _note_successor(self, member: Member) -> None:
        """Tell a clock that was set back from a process that took our place.

        After a restart with a clock set back, the old process looks newer than
        this one and all would ignore us: just after the start we go beyond it.
        Later the newer record is of a process that replaced this one while it was
        paused, and fighting it would give the fleet two owners of one name.
        """
        if not self.may_restamp:
            self.superseded = True
            return
        self.own = replace(self.own, incarnation=member.incarnation + 1, refutations=0)
        self.news.add(self.own)

    def _note_change(
        self, member: Member, previous: Member | None, reported_by: str
    ) -> None:
        self.n_changes += 1
        if len(self._events) < MAX_EVENTS:
            event = MemberChanged(
                member=member, previous=previous, reported_by=reported_by
            )
            self._events.append(event)
