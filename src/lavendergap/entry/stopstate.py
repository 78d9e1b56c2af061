"""Whether this process is stopping, and what it may still begin."""

import trio

from ..coordination.stopping import StopPlan


class StopState:
    """The plan of this process's stop; None until SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self.plan: StopPlan | None = None

    def may_begin(self, deadline: float) -> bool:
        """Return whether work with this deadline may begin now, in seconds."""
        return self.plan is None or self.plan.may_begin(
            deadline=deadline, now=trio.current_time()
        )
