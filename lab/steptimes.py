"""Counts the processor time of a query's steps, for `lab.querycost`."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import wraps
from typing import Any
from unittest import mock

from lavendergap.coordination import scheduler
from lavendergap.entry import grouprunner, owner, peers, search
from lavendergap.protocol import peer
from lavendergap.transport import forward, gateway, serverconnection

# The functions of each step. Time in a step that another one calls counts there only.
STEPS: list[tuple[str, object, str]] = [
    ("decode", peer, "unpack"),
    ("encode", peer, "pack_search"),
    ("encode", peer, "pack_answers"),
    ("split by owner", search.SearchRun, "_send"),
    ("handle answers", search.SearchRun, "_handle_message"),
    ("conclude", search.SearchRun, "_conclude_greatest"),
    ("render answer", gateway.GatewayApp, "_render"),
    ("log after answer", gateway.GatewayApp, "_record_done"),
    ("build calls", peers.PeerService, "_search"),
    ("collect answers", peers.PeerService, "_collect"),
    ("merge", peers, "merge_greatest"),
    ("merge", search, "merge_greatest"),
    ("submit", owner.Owner, "submit"),
    ("run effects", grouprunner.GroupRunner, "apply"),
    ("end attempts", grouprunner.GroupRunner, "_end_attempt"),
    ("schedule starts", scheduler.GroupScheduler, "submit"),
    ("schedule ends", scheduler.GroupScheduler, "end_attempt"),
    ("schedule wakes", scheduler.GroupScheduler, "next_wake"),
    ("choose", scheduler, "choose"),
    ("begin attempts", forward.ForwardClient, "begin"),
    ("render requests", forward, "render_request"),
    ("check idle", forward, "has_input"),
    ("send", serverconnection.ServerConnection, "send"),
    ("read and parse", serverconnection.ServerConnection, "_receive"),
    ("return connections", forward.ForwardClient, "return_connection"),
    ("check answers", forward, "check_forwarded_reply"),
    ("log", owner.Owner, "_log_plan"),
    ("log", search, "log_decision"),
]


class StepTimes:
    """Processor time of each step in seconds, without the steps that it calls."""

    def __init__(self) -> None:
        self.totals: defaultdict[str, float] = defaultdict(float)
        self._inner_s = 0.0

    def _wrap(self, step: str, function: Callable[..., Any]) -> Callable[..., Any]:
        @wraps(function)
        def timed(*args: Any, **kwargs: Any) -> Any:
            outer_s, self._inner_s = self._inner_s, 0.0
            started_s = time.process_time()
            try:
                return function(*args, **kwargs)
            finally:
                elapsed_s = time.process_time() - started_s
                self.totals[step] += elapsed_s - self._inner_s
                self._inner_s = outer_s + elapsed_s

        return timed

    @contextmanager
    def patch(self) -> Iterator[None]:
        """Count the steps until the context is left."""
        patches = [
            mock.patch.object(place, name, self._wrap(step, getattr(place, name)))
            for step, place, name in STEPS
        ]
        for each in patches:
            each.start()
        try:
            yield
        finally:
            for each in patches:
                each.stop()
