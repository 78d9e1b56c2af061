from dataclasses import replace
from typing import Any

import pytest

from lavendergap.coordination import Issuer, Witness
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.ticket import (
    Ack,
    CloseIssuer,
    Forgotten,
    Kept,
    OpenIssuer,
    Peer,
    RecordEnded,
    RecordStarted,
    Refused,
    Started,
    TicketProblem,
    Void,
    Voided,
    VoidTicket,
)

SECRET = b"k" * 32
ISSUER = Peer(host="ptl-a-1", incarnation=7)
WITNESS = Peer(host="sea-a-1", incarnation=9)
BOOKED = Answered(body=b"booked")
LOST = Unknown(step=Step.RECEIVE, peer="ledger-a", reason=Reason.LOST_CONNECTION)


def make_witness(**options):
    defaults: dict[str, Any] = {
        "peer": WITNESS,
        "max_tickets": 3,
        "ticket_lifetime_ms": 10_000,
    }
    witness = Witness(**(defaults | options))
    open_issuer(witness, ISSUER)
    return witness


def open_issuer(witness, issuer):
    opening = OpenIssuer(issuer=issuer, witness=witness.peer, secret=SECRET)
    return witness.answer(opening, now=0.0)


def issue(n, issuer=ISSUER):
    source = Issuer(
        peer=issuer, secret=SECRET, max_tickets=n, ticket_lifetime_ms=10_000
    )
    return [source.issue(service="ledger", witness=WITNESS, now=0.0) for _ in range(n)]


class TestStartedAndVoid:
    """The two exclude each other, in either order."""

    def test_started_is_never_voided(self):
        witness = make_witness()
        [ticket] = issue(1)
        assert witness.answer(RecordStarted(ticket=ticket), now=0.0) == Ack()
        assert witness.answer(RecordStarted(ticket=ticket), now=0.0) == Ack()
        question = VoidTicket(ticket=ticket)
        assert witness.answer(question, now=1.0) == Started(outcome=None)
        ended = RecordEnded(ticket=ticket, outcome=BOOKED)
        assert witness.answer(ended, now=2.0) == Kept()
        assert witness.answer(question, now=3.0) == Started(outcome=BOOKED)

    def test_void_never_starts(self):
        witness = make_witness()
        [ticket] = issue(1)
        assert witness.void(ticket, now=0.0) == Voided()
        assert witness.start(ticket, now=1.0) == Void()
        assert witness.end(ticket, BOOKED, now=1.0) == Kept()
        assert witness.void(ticket, now=2.0) == Voided()

    def test_only_an_unknown_outcome_changes(self):
        witness = make_witness()
        [ticket] = issue(1)
        for outcome in (LOST, BOOKED, LOST):
            witness.end(ticket, outcome, now=0.0)
        assert witness.void(ticket, now=0.0) == Started(outcome=BOOKED)


class TestForgetting:
    """A dropped record must not be reported as never started."""

    def test_dropped_records_are_forgotten(self):
        """Guards against "never started" after the record of a run was dropped."""
        witness = make_witness()
        started, voided, *others = issue(5)
        witness.start(started, now=0.0)
        witness.void(voided, now=0.0)
        for ticket in others[:2]:
            witness.start(ticket, now=1.0)
        assert len(witness) == 3
        assert witness.void(started, now=1.0) == Forgotten()
        assert witness.end(started, BOOKED, now=1.0) == Forgotten()
        assert witness.start(voided, now=10.0) == Forgotten()
        assert witness.start(others[2], now=10.0) == Ack()

    def test_records_expire(self):
        witness = make_witness()
        [ticket] = issue(1)
        witness.start(ticket, now=0.0)
        assert witness.void(ticket, now=9.9) == Started(outcome=None)
        assert witness.void(ticket, now=10.0) == Forgotten()
        assert len(witness) == 0

    def test_a_restarted_witness_replies_forgotten(self):
        """Guards against a void by a restarted witness, which has no records."""
        witness = make_witness(peer=replace(WITNESS, incarnation=10))
        [ticket] = issue(1)
        for request in (
            RecordStarted(ticket=ticket),
            VoidTicket(ticket=ticket),
            RecordEnded(ticket=ticket, outcome=BOOKED),
            OpenIssuer(issuer=ISSUER, witness=WITNESS, secret=SECRET),
            CloseIssuer(issuer=ISSUER, witness=WITNESS),
        ):
            assert witness.answer(request, now=0.0) == Forgotten()

    def test_answers_beyond_max_body_bytes_are_dropped(self):
        witness = make_witness(max_body_bytes=10)
        first, second = issue(2)
        witness.end(first, BOOKED, now=0.0)
        witness.end(second, BOOKED, now=0.0)
        assert witness.void(first, now=0.0) == Started(outcome=None)
        assert witness.void(second, now=0.0) == Started(outcome=BOOKED)


class TestIssuers:
    def test_unknown_issuer_is_forgotten_without_a_record(self):
        witness = make_witness()
        [ticket] = issue(1, Peer(host="ptl-a-1", incarnation=8))
        assert witness.start(ticket, now=0.0) == Forgotten()
        assert witness.void(ticket, now=0.0) == Forgotten()
        assert len(witness) == 0

    def test_dropped_issuer_is_not_opened_again(self):
        """Guards against a void of a started ticket after a late `OpenIssuer`."""
        witness = make_witness(max_issuers=1)
        [ticket] = issue(1)
        witness.start(ticket, now=0.0)
        assert open_issuer(witness, Peer(host="ptl-b-1", incarnation=8)) == Kept()
        assert len(witness) == 0
        assert open_issuer(witness, ISSUER) == Forgotten()
        assert witness.void(ticket, now=0.0) == Forgotten()

    def test_recently_active_issuer_is_kept(self):
        witness = make_witness(max_issuers=2)
        open_issuer(witness, Peer(host="ptl-b-1", incarnation=8))
        [ticket] = issue(1)
        witness.start(ticket, now=0.0)
        open_issuer(witness, Peer(host="ptl-c-1", incarnation=9))
        assert witness.void(ticket, now=0.0) == Started(outcome=None)

    @pytest.mark.parametrize("change", [{"mac": "0" * 16}, {"serial": 10**18}])
    def test_forged_ticket_changes_nothing(self, change):
        witness = make_witness()
        [ticket] = issue(1)
        forged = replace(ticket, **change)
        refusal = Refused(reason=TicketProblem.FORGED)
        assert witness.void(forged, now=0.0) == refusal
        assert witness.start(forged, now=0.0) == refusal
        assert witness.end(forged, BOOKED, now=0.0) == refusal
        assert len(witness) == 0
        assert witness.start(ticket, now=0.0) == Ack()

    def test_closed_issuer_starts_nothing_more(self):
        witness = make_witness()
        started, unused, other = issue(3)
        witness.start(started, now=0.0)
        closing = CloseIssuer(issuer=ISSUER, witness=WITNESS)
        assert witness.answer(closing, now=0.0) == Kept()
        assert witness.void(unused, now=0.0) == Voided()
        assert witness.start(other, now=0.0) == Void()
        assert len(witness) == 1
        assert witness.void(started, now=0.0) == Started(outcome=None)
        assert witness.void(started, now=10.0) == Forgotten()

    def test_given_up_start_is_kept_as_not_run(self):
        """The record of the start was lost; the issuer gave up and then died."""
        witness = make_witness()
        [ticket] = issue(1)
        not_run = NotRun(
            step=Step.RECORD, peer=WITNESS.host, reason=Reason.WITNESS_LOST
        )
        assert witness.end(ticket, not_run, now=0.0) == Kept()
        assert witness.void(ticket, now=0.0) == Started(outcome=not_run)
