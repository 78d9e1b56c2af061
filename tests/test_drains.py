"""Servers that drain while the store is restored from an older copy."""

from dataclasses import replace

from lavendergap.coordination.drains import MAX_DRAINING, DrainMemory
from lavendergap.state.registry import RegisteredServer
from lavendergap.state.settings import Address

READY = RegisteredServer(
    server_id="i-1",
    group="desk",
    address=Address(ip="127.0.0.1", port=1),
    data_centre="ptl-a",
    slots=2,
    is_draining=False,
    is_cold=False,
    started_at_ms=7,
)
DRAINING = replace(READY, is_draining=True)


def is_draining(memory: DrainMemory, server: RegisteredServer, *, epoch: int) -> bool:
    [applied] = memory.apply([server], epoch=epoch)
    return applied.is_draining


class TestRestoredStore:
    def test_a_server_that_drained_stays_so_in_later_epochs(self):
        """Guards against calls to a leaving server that a copy shows as ready."""
        memory = DrainMemory()
        assert is_draining(memory, DRAINING, epoch=1)
        assert memory.apply([], epoch=1) == ()  # It has left.
        for epoch in (2, 2, 3):
            assert is_draining(memory, READY, epoch=epoch)

    def test_another_process_under_the_same_id_is_ready(self):
        memory = DrainMemory()
        assert is_draining(memory, DRAINING, epoch=1)
        assert not is_draining(memory, replace(READY, started_at_ms=8), epoch=2)

    def test_a_server_that_is_ready_again_within_an_epoch_is_not_draining(self):
        """Guards against servers without a start time that restart under their id."""
        memory = DrainMemory()
        assert is_draining(memory, DRAINING, epoch=1)
        assert not is_draining(memory, READY, epoch=1)
        assert not is_draining(memory, READY, epoch=2)


class TestBounds:
    def test_the_oldest_are_forgotten(self):
        memory = DrainMemory()
        servers = [
            replace(DRAINING, server_id=f"i-{n}") for n in range(MAX_DRAINING + 1)
        ]
        memory.apply(servers, epoch=1)
        ready = [replace(server, is_draining=False) for server in servers]
        applied = memory.apply(ready, epoch=2)
        assert [server.is_draining for server in applied[:2]] == [False, True]
