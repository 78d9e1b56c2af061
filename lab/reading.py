"""Measures decoding of settings from text and resolved form; `python -m lab.reading`.

Reports the minimum processor time of several runs in this process, without network.
Its output is quoted in docs/design/settings.md.
"""

import json
import time
from collections.abc import Callable
from functools import partial

from lavendergap.protocol.objects import (
    SettingsObject,
    decode_settings_object,
    encode_settings_object,
    read_settings,
    resolve_text,
)
from lavendergap.protocol.resolved import decode_settings, encode_settings
from lavendergap.state.settings import Settings
from lavendergap.state.syntax import parse_text
from lavendergap.state.tree import parse_settings

N_DATA_CENTRES = 10
N_HOSTS = 550
SERVER_COUNTS = (130, 3_000, 6_000)
N_RUNS = 5
EDITS_PER_S = 3_300 / 86_400
"""The planned 3,300 settings edits a day, per second."""


def make_text(n_servers: int) -> str:
    """Return a settings file with 550 hosts and one service of two-server groups."""
    data_centres: dict[str, dict[str, dict[str, object]]] = {
        f"dc-{number}": {"hosts": {}} for number in range(N_DATA_CENTRES)
    }
    for number in range(N_HOSTS):
        dc, host = number % N_DATA_CENTRES, number // N_DATA_CENTRES
        data_centres[f"dc-{dc}"]["hosts"][f"dc-{dc}-{host}"] = {
            "callers": f"11.{dc}.{host}.1:8001",
            "peers": f"11.{dc}.{host}.1:8101",
            "admin": f"11.{dc}.{host}.1:8201",
        }
    groups = {
        f"g-{number:04}": {
            "servers": {
                f"g-{number:04}-{replica}": {
                    "address": f"10.{number // 250}.{number % 250}.{replica}:9000",
                    "data_centre": f"dc-{(number + replica) % N_DATA_CENTRES}",
                }
                for replica in (1, 2)
            }
        }
        for number in range(n_servers // 2)
    }
    tree = {
        "deployment": "large",
        "platform": "127.0.0.1:7000",
        "data_centres": data_centres,
        "services": {"search": {"idempotent": True, "groups": groups}},
    }
    return "// Made by lab.reading.\n" + json.dumps(tree, indent=1)


def measure(function: Callable[[], object]) -> float:
    """Return the minimum processor time of `N_RUNS` calls, in seconds."""
    cpu_s = []
    for _ in range(N_RUNS):
        started = time.process_time()
        function()
        cpu_s.append(time.process_time() - started)
    return min(cpu_s)


def read_object(stored: bytes) -> Settings:
    """Decode the platform's value as a watching host does."""
    value = decode_settings_object(stored, key="settings/large")
    return read_settings(value, key="settings/large", version=1)


def main() -> None:
    """Print the table, then the figures at 3,000 backend servers as the last line."""
    print("servers text KB object KB  json s whole s object s decode s resolved KB")
    for n_servers in SERVER_COUNTS:
        text = make_text(n_servers)
        settings = parse_settings(text, file="large", version=1)
        resolved = encode_settings(settings)
        value = SettingsObject(text=text, resolved=resolve_text(text, settings))
        stored = encode_settings_object(value)
        parse_text_s = measure(partial(parse_text, text, file="large"))
        parse_settings_s = measure(partial(parse_settings, text, file="large"))
        object_s = measure(partial(read_object, stored))
        decode_s = measure(partial(decode_settings, resolved))
        print(
            f"{n_servers:7} {len(text) / 1e3:7.1f} {len(stored) / 1e3:9.1f} "
            f"{parse_text_s:7.4f} {parse_settings_s:7.4f} "
            f"{object_s:8.4f} {decode_s:8.4f} "
            f"{len(resolved) / 1e3:11.1f}"
        )
        if n_servers == 3_000:
            summary_line = (
                f"read_share={parse_settings_s * EDITS_PER_S:.5f} "
                f"object_share={object_s * EDITS_PER_S:.5f} "
                f"decode_share={decode_s * EDITS_PER_S:.5f} "
                f"bytes_per_s={len(resolved) * EDITS_PER_S:.0f}"
            )
    print(summary_line)


if __name__ == "__main__":
    main()
