"""Seeded random draws of a backend stand-in: service times and which calls fail."""

import random

from .faults import BackendFaults


class Draws:
    """Random draws that are reproducible for a seed and a server's name."""

    def __init__(self, *, seed: int, name: str):
        self.seed = seed
        self._random = random.Random(f"{seed} {name}")

    def happens(self, share: float) -> bool:
        """Return True with the probability `share`."""
        return share > 0.0 and self._random.random() < share

    def draw_service_s(self, faults: BackendFaults, age_s: float) -> float:
        """Draw a service time in seconds, `age_s` seconds after a cold start."""
        service_s = faults.service_ms / 1_000
        match faults.service_law:
            case "exponential":
                service_s *= self._random.expovariate(1.0)
            case "lognormal":
                service_s *= self._random.lognormvariate(0.0, faults.service_sigma)
            case "fixed":
                pass
        if self.happens(faults.straggle_share):
            service_s *= faults.straggle_factor
        return service_s * _get_cold_factor(faults, age_s)


def _get_cold_factor(faults: BackendFaults, age_s: float) -> float:
    if not faults.cold_s:
        return 1.0
    coldness = max(0.0, 1.0 - age_s / faults.cold_s)
    return 1.0 + (faults.cold_factor - 1.0) * coldness
