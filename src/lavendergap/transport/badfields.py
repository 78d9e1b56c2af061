"""Reports fields and answers of backend servers that are not used."""

import trio

from .. import metrics
from ..coordination.linelimit import LineLimit
from ..logs import Category, get_logger, log_decision

logger = get_logger(Category.CONNECTIONS)

LINES_PER_S = 10
MAX_LOGGED_BYTES = 80
PORT = "servers"

_field_lines = LineLimit(n_lines=LINES_PER_S)
_answer_lines = LineLimit(n_lines=LINES_PER_S)


def report_bad_field(server: str, field: bytes, value: bytes) -> None:
    """Log and count a header of a server's answer that is ignored as malformed."""
    metrics.rejected_input.labels(PORT, "bad field").inc()
    n_dropped = _field_lines.admit(now=trio.current_time())
    if n_dropped is not None:
        log_decision(
            logger,
            "bad field",
            request_id=None,
            server=server,
            field=field.decode("latin-1"),
            value=value[:MAX_LOGGED_BYTES].decode("latin-1"),
            n_bytes=len(value),
            n_dropped=n_dropped,
        )


def report_wrong_answer(server: str, problem: str) -> None:
    """Log and count bytes of a server that are not a valid answer."""
    metrics.rejected_input.labels(PORT, "wrong answer").inc()
    n_dropped = _answer_lines.admit(now=trio.current_time())
    if n_dropped is not None:
        log_decision(
            logger,
            "wrong answer",
            request_id=None,
            server=server,
            problem=problem,
            n_dropped=n_dropped,
        )
