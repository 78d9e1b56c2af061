"""Header names for tests, in place of those of a platform."""

from lavendergap.protocol.forwarding import HeaderNames

NAMES = HeaderNames(
    attempt=b"x-attempt",
    time_left=b"x-time-left",
    proof=b"x-proof",
    proofs=b"x-proofs",
    n_missing=b"x-missing",
    expected_server=b"x-expected",
    server=b"x-server",
    not_run=b"x-not-run",
    load=b"x-load",
    key=b"x-key",
    customer=b"x-customer",
)
