"""How many servers a call may be sent to, and how often."""

from .calls import Call
from .progress import Progress
from .replicas import Replica

# Bounds the attempts of one call that may have run whatever the budgets allow, so that
# a call that crashes its server cannot crash the whole group.
MAX_ATTEMPTS = 4
# Bounds all attempts of a call with a limit of servers, those that did not run among
# them. If each attempt is rejected with probability 0.6, four serve 87 in 100 calls and
# eight 98; the budget of extra calls bounds the sum over all calls.
MAX_TRIES = 8


def may_try(progress: Progress) -> bool:
    """Return whether the limits of a call allow another attempt.

    Attempts that may have run, running ones among them, are limited like the servers.
    """
    call = progress.call
    max_tries = MAX_TRIES if call.max_attempts else MAX_ATTEMPTS
    n_attempts = len(progress.servers)
    return n_attempts < max_tries and (
        n_attempts - progress.n_not_run < _limit_servers(call)
    )


def is_bound(progress: Progress) -> bool:
    """Return whether a call may be sent only to servers that it was sent to before."""
    limit = _limit_servers(progress.call)
    # Counted only once there are enough attempts, as most calls have a single one.
    return len(progress.servers) >= limit and progress.count_servers() >= limit


def list_candidates(progress: Progress, replicas: list[Replica]) -> list[Replica]:
    """Return the replicas to which the limit of servers lets a call be sent."""
    if not is_bound(progress):
        return replicas
    return [
        replica
        for replica in replicas
        if any(replica.server.is_same_process(used) for used in progress.servers)
    ]


def _limit_servers(call: Call) -> int:
    limit = call.max_attempts or MAX_ATTEMPTS
    return limit if limit < MAX_ATTEMPTS else MAX_ATTEMPTS
