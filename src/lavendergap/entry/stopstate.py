"""Whether this process is stopping, and what it may still begin."""

import trio

from ..coordination.stopping import StopPlan


class StopState:
    """The plan of this process's stop; None until it was told to stop."""

    def __init__(self) -> None:
        self.plan: StopPlan | None = None

    def get_plan(self) -> StopPlan | None:
        """Return the plan, for code that must not change it."""
        return self.plan

    def may_begin(self, deadline: float) -> bool:
        """Return whether work with this deadline may begin now, in seconds."""
        return self.plan is None or self.plan.may_begin(
            deadline=deadline, now=trio.current_time()
        )
