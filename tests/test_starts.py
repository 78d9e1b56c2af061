"""Entries of a server's earlier start that the store shows after those of a later."""

import pytest

from lavendergap.coordination.starts import HOLD_S, StartMemory
from lavendergap.state.registry import RegisteredServer
from lavendergap.state.settings import Address


def make_entry(started_at_ms: int, port: int) -> RegisteredServer:
    return RegisteredServer(
        server_id="i-1",
        group="desk",
        address=Address(ip="127.0.0.1", port=port),
        data_centre="ptl-a",
        slots=2,
        is_draining=False,
        started_at_ms=started_at_ms,
    )


class TestOrder:
    # Each step is an entry's start time and port, the epoch and the time of the
    # listing, and the port in use then.
    @pytest.mark.parametrize(
        "steps",
        [
            # Guards against work that moves back to the address of an ended process.
            [(5, 1, 1, 0, 1), (9, 2, 1, 1, 2), (5, 1, 1, 2, 2), (9, 2, 1, 3, 2)],
            # Not stated.
            [(9, 2, 1, 0, 2), (0, 1, 1, 1, 1), (5, 3, 1, 2, 3)],
            # A clock that was stepped back, at one address: it stays the current one.
            [(9, 2, 1, 0, 2), (5, 2, 1, 1, 2), (7, 3, 1, 2, 3)],
            # A restored store, then the running server's own entry, then a late one.
            [(9, 2, 1, 0, 2), (5, 1, 2, 1, 1), (9, 2, 2, 2, 2), (5, 1, 2, 3, 2)],
            # The entry was ignored when the store was restored.
            [(9, 2, 1, 0, 2), (5, 1, 1, 1, 2), (5, 1, 2, 2, 1)],
            # Guards against a server with a clock stepped back that is never used.
            [(9, 2, 1, 0, 2), (5, 1, 1, 1, 2), (5, 1, 1, 1 + HOLD_S, 1)],
        ],
    )
    def test_the_entry_in_use_after_each_listing(self, steps):
        memory = StartMemory()
        for started_at_ms, port, epoch, now, expected in steps:
            entry = make_entry(started_at_ms, port)
            [server] = memory.apply([entry], epoch=epoch, now=now)
            assert server.address.port == expected

    def test_servers_that_are_gone_are_forgotten(self):
        """Guards against memory that grows with each server there ever was."""
        memory = StartMemory()
        memory.apply([make_entry(9, 2)], epoch=1, now=0.0)
        assert memory.apply([], epoch=1, now=1.0) == ()
        [server] = memory.apply([make_entry(5, 1)], epoch=1, now=2.0)
        assert server.address.port == 1
