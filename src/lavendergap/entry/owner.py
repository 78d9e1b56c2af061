"""This host as the owner of groups: runs their schedulers and server calls."""

import itertools
import logging
from collections.abc import Callable
from functools import partial
from random import Random

import trio

from ..coordination.calls import Call, FinishCall, StartAttempt
from ..coordination.hedging import KindLatencies
from ..logs import log_decision
from ..state.outcome import NotRun, Reason, Step
from ..state.quarantine import Standing
from ..state.settings import Group, Service, Settings
from .batch import SubmittedCall, make_batch
from .grouprunner import GroupRunner, MakeClient, make_backend_client
from .quarantine import RequestQuarantine
from .timerqueue import TimerQueue

logger = logging.getLogger("lavendergap.route")


class Owner:
    """The groups that this host calls, as their owner or in place of a lost owner.

    A group's runner is created by the first call to the group and closed after
    `idle_connection_ms` without calls, so that no connections stay open to a group
    that moved to another host. `may_warm` returns whether this host may send calls to
    a group's cold servers.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        nursery: trio.Nursery,
        random: Random,
        attempt_prefix: str,
        make_client: MakeClient = make_backend_client,
        data_centre: str = "",
        quarantine: RequestQuarantine | None = None,
        may_warm: Callable[[str], bool] = lambda group: True,
    ) -> None:
        self._settings = settings
        self._nursery = nursery
        self._random = random
        self._attempt_prefix = attempt_prefix
        self._make_client = make_client
        self._data_centre = data_centre
        self._quarantine = quarantine
        self._may_warm = may_warm
        self._kinds = KindLatencies()
        self._timers = TimerQueue()
        nursery.start_soon(self._timers.run)
        self._services = {service.name: service for service in settings.services}
        self._runners: dict[str, GroupRunner] = {}
        self._retired: list[GroupRunner] = []
        self._call_ids = itertools.count(1)
        self._is_stopping = False

    def make_call_id(self) -> int:
        """Return a call id that is unique in this process."""
        return next(self._call_ids)

    def replace(self, settings: Settings) -> None:
        """Apply new settings to all groups."""
        self._settings = settings
        self._services = {service.name: service for service in settings.services}
        for name, runner in list(self._runners.items()):
            found = self._find_group(runner.service.name, name)
            if found is None:
                # A stopped runner would refuse all calls if the group were added again.
                runner.stop()
                self._retired.append(self._runners.pop(name))
            elif found != (runner.service, runner.group):
                runner.replace(group=found[1], service=found[0], settings=settings)

    def _find_group(
        self, service_name: str, group_name: str
    ) -> tuple[Service, Group] | None:
        service = self._services.get(service_name)
        if service is None:
            return None
        for group in service.groups:
            if group.name == group_name:
                return service, group
        return None

    def _get_runner(self, call: Call) -> GroupRunner | None:
        runner = self._runners.get(call.group)
        if runner is not None:
            return runner
        found = self._find_group(call.service, call.group)
        if found is None:
            return None
        runner = GroupRunner(
            group=found[1],
            service=found[0],
            settings=self._settings,
            nursery=self._nursery,
            random=self._random,
            attempt_prefix=self._attempt_prefix,
            make_client=self._make_client,
            data_centre=self._data_centre,
            kinds=self._kinds,
            timers=self._timers,
            may_warm=partial(self._may_warm, call.group),
        )
        self._runners[call.group] = runner
        return runner

    def submit(self, submitted: list[SubmittedCall]) -> None:
        """Submit the calls of one query; log which servers they were sent to."""
        placed = []
        if self._is_held_back(submitted[0].call):
            for each in submitted:
                self._refuse(each, Reason.HELD_BACK)
            return
        batch = make_batch([each.call for each in submitted])
        for each in submitted:
            if self._is_stopping:
                self._refuse(each, Reason.STOPPING)
                continue
            runner = self._get_runner(each.call)
            if runner is None:
                self._refuse(each, Reason.UNKNOWN_SERVICE)
                continue
            placed += runner.submit(each, batch)
        self._log_plan(submitted, placed)

    def _is_held_back(self, call: Call) -> bool:
        """Return whether a call's content is held back from servers.

        Checked here, too, as its coordinator may not have received the strikes yet.
        """
        if self._quarantine is None or call.forward is None:
            return False
        standing = self._quarantine.get_standing(call.forward, call.body)
        return standing is Standing.HELD

    def _log_plan(
        self, submitted: list[SubmittedCall], placed: list[StartAttempt]
    ) -> None:
        call = submitted[0].call
        log_decision(
            logger,
            "plan",
            request_id=call.request_id,
            service=call.service,
            version=call.version,
            n_calls=len(submitted),
            n_queued=len(submitted) - len(placed),
            placements=" ".join(
                [f"{start.call.shard}={start.server}[{start.why}]" for start in placed]
            ),
        )

    def _refuse(self, submitted: SubmittedCall, reason: Reason) -> None:
        outcome = NotRun(step=Step.ROUTE, peer=submitted.call.group, reason=reason)
        submitted.finish(
            FinishCall(call=submitted.call, outcome=outcome, server="", n_attempts=0),
            (),
        )

    def cancel(self, calls: list[Call]) -> None:
        """Cancel calls whose results are no longer needed."""
        for call in calls:
            runner = self._runners.get(call.group)
            if runner is not None:
                runner.cancel(call.call_id)

    def close_idle_runners(self) -> None:
        """Close the runners of groups without calls for `idle_connection_ms`."""
        limit = self._settings.control.idle_connection_ms / 1_000
        now = trio.current_time()
        for runner in [r for r in self._retired if not r.is_busy]:
            runner.close()
            self._retired.remove(runner)
        for name, runner in list(self._runners.items()):
            if not runner.is_busy and now - runner.last_used_at > limit:
                runner.close()
                del self._runners[name]

    def stop(self) -> None:
        """Refuse new and queued calls; running ones go on."""
        self._is_stopping = True
        for runner in self._runners.values():
            runner.stop()

    @property
    def is_busy(self) -> bool:
        """Whether any call has not ended yet."""
        runners = [*self._runners.values(), *self._retired]
        return any(runner.is_busy for runner in runners)
