from dataclasses import replace

import pytest

from lavendergap.coordination import (
    Pending,
    Rejected,
    Settled,
    resolve_by_issuer,
    resolve_by_witness,
)
from lavendergap.coordination.resolution import ASK_AGAIN_MS
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.ticket import (
    AlreadyRunning,
    Forgotten,
    IssuerLost,
    Known,
    NotBegun,
    Peer,
    Refused,
    Started,
    Ticket,
    TicketProblem,
    Voided,
    VoidTicket,
    WitnessLost,
)

TICKET = Ticket(
    service="ledger",
    issuer=Peer(host="ptl-a-1", incarnation=7),
    serial=1,
    witness=Peer(host="sea-a-1", incarnation=9),
    mac="0" * 16,
)
BOOKED = Answered(body=b"booked")
FORGED = Refused(reason=TicketProblem.FORGED)


def settle_unknown(peer, reason):
    return Settled(
        outcome=Unknown(step=Step.RECORD, peer=peer, reason=reason),
        ask_again_ms=ASK_AGAIN_MS,
    )


class TestResolveByIssuer:
    @pytest.mark.parametrize(
        ("reply", "answer"),
        [
            (Known(outcome=BOOKED), Settled(outcome=BOOKED)),
            (AlreadyRunning(), Pending(begun=True)),
            (NotBegun(), Pending(begun=False)),
            (FORGED, Rejected(reason=TicketProblem.FORGED)),
            (IssuerLost(), VoidTicket(ticket=TICKET)),
            (
                Refused(reason=TicketProblem.OTHER_ISSUER),
                VoidTicket(ticket=TICKET),
            ),
        ],
    )
    def test_issuer_reply_settles_or_asks_the_witness(self, reply, answer):
        assert resolve_by_issuer(TICKET, reply) == answer

    def test_without_a_witness_a_lost_issuer_gives_unknown(self):
        alone = replace(TICKET, witness=None)
        answer = settle_unknown("ptl-a-1", Reason.ISSUER_LOST)
        assert resolve_by_issuer(alone, IssuerLost()) == answer


class TestResolveByWitness:
    @pytest.mark.parametrize(
        ("reply", "answer"),
        [
            (Started(outcome=BOOKED), Settled(outcome=BOOKED)),
            (Started(outcome=None), settle_unknown("ptl-a-1", Reason.ISSUER_LOST)),
            (Forgotten(), settle_unknown("sea-a-1", Reason.EXPIRED)),
            (WitnessLost(), settle_unknown("sea-a-1", Reason.WITNESS_LOST)),
            (FORGED, Rejected(reason=TicketProblem.FORGED)),
        ],
    )
    def test_witness_reply_settles(self, reply, answer):
        assert resolve_by_witness(TICKET, reply) == answer

    def test_only_voided_gives_not_run(self):
        settled = resolve_by_witness(TICKET, Voided())
        assert isinstance(settled, Settled)
        assert isinstance(settled.outcome, NotRun)
        assert settled.ask_again_ms == 0
