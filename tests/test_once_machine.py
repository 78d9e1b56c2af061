"""Tests issuer, witness and resolution under faults that hypothesis chooses.

The steps are those of model/once.pml, on the real code: any message may be late, lost,
duplicated or out of order, and issuer and witness may die. A pause is modelled by
messages that are delivered late.
"""

from collections import Counter, defaultdict

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lavendergap.coordination import (
    Issuer,
    Settled,
    Witness,
    resolve_by_issuer,
    resolve_by_witness,
)
from lavendergap.coordination.issuer import _Ended, _Recording, _Unused
from lavendergap.coordination.witness import _StartedRecord, _VoidRecord
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.ticket import (
    Ack,
    AlreadyRunning,
    IssuerLost,
    Kept,
    Known,
    Peer,
    RecordEnded,
    RecordStarted,
    Run,
    Ticket,
    VoidTicket,
    WitnessLost,
)

SHED = NotRun(step=Step.SEND, peer="ledger-a", reason=Reason.SHED)
LOST = Unknown(step=Step.RECEIVE, peer="ledger-a", reason=Reason.LOST_CONNECTION)
# Indexes from the newest item; -1 is the oldest.
CHOICE = st.sampled_from([0, 1, -1, 0, 1, -1, 2, 3, 4, 5, 6, 7])
MAX_LIVES = 5
MAX_TICKETS = 6


def having(fault):
    """Enable a rule only if the machine has this fault and has issued a ticket."""
    return precondition(lambda self: fault in self.faults and self.tickets)


class OnceMachine(RuleBasedStateMachine):
    """Callers retry through any host while issuer, witness and network fail.

    In flight are (what, to whom, content) triples, lost if never delivered; `runs`
    is the backend's count.
    """

    make_issuer = Issuer
    make_witness = Witness
    keeps_incarnation = False
    faults = frozenset(
        {"witness silent", "time", "stop", "issuer dies", "witness dies"}
    )

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnation = 0
        self.in_flight = []
        self.tickets = []
        self.runs: Counter[Ticket] = Counter()
        self.told = defaultdict(set)
        self.start_witness()
        self.start_issuer()

    def start_witness(self):
        self.incarnation += 1
        kept = 0 if self.keeps_incarnation else self.incarnation
        self.witness = self.make_witness(
            peer=Peer(host="w", incarnation=kept),
            max_tickets=2,
            ticket_lifetime_ms=10_000,
            max_issuers=1,
            max_body_bytes=8,
        )

    def start_issuer(self):
        self.incarnation += 1
        self.issuer = self.make_issuer(
            peer=Peer(host="i", incarnation=self.incarnation),
            secret=self.incarnation.to_bytes(16),
            max_tickets=6,
            ticket_lifetime_ms=10_000,
            max_body_bytes=8,
        )
        self.open_witness()

    def open_witness(self):
        """Make the issuer known; the same message may come again, late."""
        opening = self.issuer.open(self.witness.peer)
        self.witness.answer(opening, now=self.now)
        self.in_flight.append(("witness", self.witness.peer, opening))

    def pick(self, items, choice):
        return items[-1 - choice % len(items)]

    @precondition(lambda self: len(self.tickets) < MAX_TICKETS)
    @rule()
    def issue(self):
        ticket = self.issuer.issue(service="s", witness=self.witness.peer, now=self.now)
        if not isinstance(ticket, NotRun):
            self.tickets.append(ticket)

    @precondition(lambda self: self.tickets)
    @rule(choice=CHOICE, n_prompt=st.integers(0, 6))
    def call(self, choice, n_prompt):
        ticket = self.pick(self.tickets, choice)
        self.in_flight.append(("issuer", ticket.issuer, ticket))
        self.deliver_promptly(n_prompt)

    @precondition(lambda self: self.tickets)
    @rule(choice=CHOICE, n_prompt=st.integers(0, 2))
    def give_up_on_issuer(self, choice, n_prompt):
        ticket = self.pick(self.tickets, choice)
        question = resolve_by_issuer(ticket, IssuerLost())
        self.in_flight.append(("witness", ticket.witness, question))
        self.deliver_promptly(n_prompt)

    @precondition(lambda self: self.in_flight)
    @rule(choice=CHOICE, again=st.booleans())
    def deliver(self, choice, again):
        self.deliver_message(self.pick(self.in_flight, choice), again=again)

    def deliver_promptly(self, n_messages):
        """Deliver the newest message, then what it brought about, and so on."""
        for _ in range(n_messages):
            if self.in_flight:
                self.deliver_message(self.in_flight[-1], again=False)

    def deliver_message(self, message, *, again):
        what, peer, content = message
        # A message over a connection to a backend server is delivered at most once.
        if not again or what == "backend":
            self.in_flight.remove(message)
        match what:
            case "issuer":
                self.take_call(content)
            case "witness" if peer == self.witness.peer:
                reply = self.witness.answer(content, now=self.now)
                self.in_flight.append(("reply", None, (content, reply)))
            case "reply":
                self.take_reply(*content)
            case "backend":
                self.take_request(peer, content)
            case "answer":
                self.end(*content)

    @having("witness silent")
    @rule(choice=CHOICE)
    def give_up_on_witness(self, choice):
        ticket = self.pick(self.tickets, choice)
        self.record(ticket, WitnessLost())

    @having("time")
    @rule(seconds=st.sampled_from([1, 11]))
    def wait(self, seconds):
        self.now += seconds

    @having("stop")
    @rule()
    def stop_issuer(self):
        for message in self.issuer.hand_over():
            peer = (
                message.ticket.witness
                if isinstance(message, RecordEnded)
                else message.witness
            )
            self.in_flight.append(("witness", peer, message))

    @having("issuer dies")
    @rule()
    def kill_issuer(self):
        if self.incarnation < MAX_LIVES:
            self.start_issuer()

    @having("witness dies")
    @rule()
    def kill_witness(self):
        if self.incarnation < MAX_LIVES:
            self.start_witness()
            self.open_witness()

    def take_call(self, ticket):
        # A host passes a request on to its issuer. A later process of the issuer
        # refuses it, and then the witness is asked.
        match self.issuer.begin(ticket, body=b"{}", now=self.now):
            case RecordStarted() as message:
                self.in_flight.append(("witness", ticket.witness, message))
            case Run():
                self.in_flight.append(("backend", self.issuer.peer, ticket))
            case reply:
                self.answer_caller(ticket, reply)

    def take_reply(self, request, reply):
        match request:
            case RecordStarted(ticket=ticket):
                self.record(ticket, reply)
            case RecordEnded(ticket=ticket) if reply == Kept():
                self.issuer.confirm(ticket)
            case VoidTicket(ticket=ticket):
                match resolve_by_witness(ticket, reply):
                    case Settled(outcome=outcome):
                        self.tell(ticket, outcome)

    def record(self, ticket, reply):
        if not self.has_begun(ticket):
            return
        match self.issuer.record(ticket, reply):
            case Run():
                self.in_flight.append(("backend", self.issuer.peer, ticket))
            case Known() as known:
                self.answer_caller(ticket, known)

    def has_begun(self, ticket):
        """Tell whether this life of the issuer waits for the witness's word."""
        record = self.issuer._records.get(ticket.serial)
        return not isinstance(record, _Unused | None) and record.ticket == ticket

    def answer_caller(self, ticket, reply):
        match resolve_by_issuer(ticket, reply):
            case Settled(outcome=outcome):
                self.tell(ticket, outcome)
            case VoidTicket() as question:
                self.in_flight.append(("witness", ticket.witness, question))

    def take_request(self, issuer, ticket):
        """Run, shed, or die after the run; by turns, so that all are seen."""
        fate = (ticket.serial + self.incarnation) % 3
        if fate == 0:
            self.in_flight.append(("answer", issuer, (ticket, SHED)))
            return
        self.runs[ticket] += 1
        outcome = LOST if fate == 1 else Answered(body=str(ticket.serial).encode())
        self.in_flight.append(("answer", issuer, (ticket, outcome)))

    def end(self, ticket, outcome):
        if ticket.issuer != self.issuer.peer:
            return
        message = self.issuer.end(ticket, outcome)
        self.in_flight.append(("witness", ticket.witness, message))
        self.tell(ticket, message.outcome)

    def tell(self, ticket, outcome):
        self.told[ticket].add(outcome)

    @invariant()
    def keeps_promises(self):
        for ticket in self.tickets:
            told = self.told[ticket]
            assert self.runs[ticket] <= 1, "ran twice"
            for outcome in told:
                match outcome:
                    case NotRun():
                        assert self.runs[ticket] == 0, "told not run, but ran"
                    case Answered(body=body):
                        assert self.runs[ticket] == 1, "told an answer, but never ran"
                        assert body == str(ticket.serial).encode(), "crossed answers"

    @invariant()
    def stays_bounded(self):
        assert len(self.witness) <= 2
        assert len(self.issuer) <= 6


SEARCH = settings(
    derandomize=True,
    deadline=None,
    max_examples=250,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
    database=None,
)
# The failure of a variant only has to be found, not shrunk.
FIND = settings(SEARCH, max_examples=1500, phases=[Phase.generate])


class TestAtMostOnce:
    """The real classes hold the invariants in every run."""

    def test_no_run_violates_an_invariant(self):
        run_state_machine_as_test(OnceMachine, settings=SEARCH)


class RunsWithoutAck(Issuer):
    def begin(self, ticket, *, body, now):
        reply = super().begin(ticket, body=body, now=now)
        if isinstance(reply, RecordStarted):
            return super().record(ticket, Ack())
        return reply


class RunsAfterGivingUp(Issuer):
    def record(self, ticket, reply):
        ended = self._records.get(ticket.serial)
        if isinstance(ended, _Ended) and reply == Ack():
            self._records[ticket.serial] = _Recording(
                ticket=ticket, since=ended.since, digest=ended.digest
            )
        return super().record(ticket, reply)


class RunsOnEachAck(Issuer):
    def record(self, ticket, reply):
        reply = super().record(ticket, reply)
        return Run(ticket=ticket) if reply == AlreadyRunning() else reply


class RunsOthersTickets(Issuer):
    def _find_problem(self, ticket):
        if ticket.issuer != self.peer:
            self._records.setdefault(ticket.serial, _Unused(ticket=ticket, since=0.0))


class VoidsAfterStarted(Witness):
    def void(self, ticket, *, now):
        if isinstance(self._records.get(ticket), _StartedRecord):
            self._records[ticket] = _VoidRecord(since=now)
        return super().void(ticket, now=now)


class DropsWithoutFloor(Witness):
    def _drop_oldest(self):
        super()._drop_oldest()
        for state in self._issuers.values():
            state.floor = 0


class ReopensDroppedIssuers(Witness):
    def _drop_issuer(self):
        super()._drop_issuer()
        self._dropped_incarnation = -1


class TestVariantsWithoutSafeguard:
    """Each variant without one safeguard violates an invariant in some run.

    A variant is given only the fault that its safeguard is against, if any, so that a
    short search finds the violation.
    """

    @pytest.mark.parametrize(
        ("fault", "attributes"),
        [
            ("none", {"make_issuer": RunsWithoutAck}),
            ("none", {"make_issuer": RunsOnEachAck}),
            ("witness silent", {"make_issuer": RunsAfterGivingUp}),
            ("none", {"make_witness": VoidsAfterStarted}),
            ("none", {"make_witness": DropsWithoutFloor}),
            ("issuer dies", {"make_witness": ReopensDroppedIssuers}),
            ("witness dies", {"keeps_incarnation": True}),
            ("issuer dies", {"make_issuer": RunsOthersTickets}),
        ],
        ids=[
            "runs without ack",
            "runs on each ack",
            "runs after giving up",
            "voids after started",
            "drops without floor",
            "reopens dropped issuers",
            "keeps incarnation",
            "runs others' tickets",
        ],
    )
    def test_a_missing_safeguard_is_found(self, fault, attributes):
        attributes = {**attributes, "faults": frozenset({fault})}
        variant = type("Variant", (OnceMachine,), attributes)
        with pytest.raises(AssertionError, match="ran"):
            run_state_machine_as_test(variant, settings=FIND)
