"""Measures reading settings as text and in resolved form; `python -m lab.reading`.

The figures of docs/design/settings.md are its output. Processor time of this process,
the least of five runs; nothing is sent.
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
N_SERVERS = (130, 3_000, 6_000)
N_RUNS = 5
EDITS_A_SECOND = 3_300 / 86_400
"""Letter 1's 3,300 changes of configuration a day."""


def make_text(n_servers: int) -> str:
    """Return a settings file of 550 hosts and one service of pairs of servers."""
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
    """Return the least processor time of a few calls, in seconds."""
    taken = []
    for _ in range(N_RUNS):
        started = time.process_time()
        function()
        taken.append(time.process_time() - started)
    return min(taken)


def read_object(stored: bytes) -> Settings:
    """Read the platform's value as a host does that watches it."""
    value = decode_settings_object(stored, key="settings/large")
    return read_settings(value, key="settings/large", version=1)


def main() -> None:
    """Print the table and, last, the figures at 3,000 backend servers."""
    print("servers text KB object KB  json s whole s object s decode s resolved KB")
    for n_servers in N_SERVERS:
        text = make_text(n_servers)
        settings = parse_settings(text, file="large", version=1)
        resolved = encode_settings(settings)
        value = SettingsObject(text=text, resolved=resolve_text(text, settings))
        stored = encode_settings_object(value)
        only_json_s = measure(partial(parse_text, text, file="large"))
        whole_s = measure(partial(parse_settings, text, file="large"))
        object_s = measure(partial(read_object, stored))
        decode_s = measure(partial(decode_settings, resolved))
        print(
            f"{n_servers:7} {len(text) / 1e3:7.1f} {len(stored) / 1e3:9.1f} "
            f"{only_json_s:7.4f} {whole_s:7.4f} {object_s:8.4f} {decode_s:8.4f} "
            f"{len(resolved) / 1e3:11.1f}"
        )
        if n_servers == 3_000:
            last = (
                f"read_share={whole_s * EDITS_A_SECOND:.5f} "
                f"object_share={object_s * EDITS_A_SECOND:.5f} "
                f"decode_share={decode_s * EDITS_A_SECOND:.5f} "
                f"bytes_per_s={len(resolved) * EDITS_A_SECOND:.0f}"
            )
    print(last)


if __name__ == "__main__":
    main()
