"""Reports answers that come before their requests are sent."""

from .. import metrics
from ..logs import Category, get_logger, log_decision

logger = get_logger(Category.CONNECTIONS)


def report_early_answer(
    *, request_id: str | None, server: str, n_bytes: int, n_sent: int
) -> None:
    """Log and count an answer that came when `n_sent` of `n_bytes` had been sent."""
    metrics.early_answers.inc()
    log_decision(
        logger,
        "early answer",
        request_id=request_id,
        server=server,
        n_bytes=n_bytes,
        n_sent=n_sent,
    )
