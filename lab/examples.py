"""Generates the example settings in examples/; `python -m lab.examples`.

The groups of a service differ only in their numbers, so they are generated. A test
checks that the files are what this module writes.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"


@dataclass(frozen=True, kw_only=True, slots=True)
class ExampleService:
    """A service: the comment above it, its options, and its size.

    Each group has `n_servers` servers. A single group has the name of the service,
    several groups are named NAME-00, NAME-01 and so on.
    """

    name: str
    comment: tuple[str, ...]
    options: tuple[str, ...]
    n_groups: int
    n_servers: int

    def list_groups(self) -> list[str]:
        """Return the names of the groups."""
        if self.n_groups == 1:
            return [self.name]
        return [f"{self.name}-{number:02}" for number in range(self.n_groups)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Example:
    """One deployment.

    Hosts are assigned to the data centres round-robin; ports count up from
    `host_port` and `server_port`.
    """

    name: str
    comment: tuple[str, ...]
    platform_port: int
    options: tuple[str, ...]
    data_centres: tuple[str, ...]
    n_hosts: int
    host_port: int
    server_port: int
    services: tuple[ExampleService, ...]


CEDARLIGHT = Example(
    name="cedarlight",
    comment=(
        "Cedarlight Signal Works: digital signage at four data centres in Cascadia.",
        "",
        "A settings file is a tree. An option stated on a branch holds for all that is",
        "below it, unless a branch further down states it again. Check an edit with",
        "  lavendergap settings check examples/cedarlight.jsonc",
        "and see where each value comes from with",
        "  lavendergap settings show examples/cedarlight.jsonc services.scheduler",
        "docs/operators/settings.md lists every option.",
    ),
    platform_port=7000,
    options=(
        "// The tail matters most: an alert has to reach the screens at once. So an",
        "// answer gives up straggling shards once it covers 95% of the library and",
        "// has waited twice as long as its median shard took. It says what it lacks.",
        '"stragglers": {"kind": "give up", "min_share": 0.95, "patience": 2.0},',
        '"deadline_ms": 280,',
        "",
        "// Every backend server here runs two calls at once and takes 25 connections.",
        '"slots": 2,',
        '"connections": 25,',
    ),
    data_centres=("ptl-a", "ptl-b", "sea-a", "sea-b"),
    n_hosts=7,
    host_port=8001,
    server_port=20000,
    services=(
        ExampleService(
            name="scheduler",
            comment=("Each group holds one shard of the library, on two replicas.",),
            options=('"idempotent": true,',),
            n_groups=20,
            n_servers=2,
        ),
        ExampleService(
            name="composer",
            comment=("Shaped like scheduler. Half its share of an overloaded host.",),
            options=('"idempotent": true,', '"weight": 0.5,'),
            n_groups=30,
            n_servers=2,
        ),
        ExampleService(
            name="installer-desk",
            comment=(
                "One group: every server holds the whole of it. Its servers take more",
                "connections than those above, so it overrides the option.",
            ),
            options=('"idempotent": true,', '"connections": 100,'),
            n_groups=1,
            n_servers=4,
        ),
        ExampleService(
            name="sponsor-ledger",
            comment=(
                "Billing: a request that ran twice bills a sponsor wrongly. It is not",
                "idempotent, so callers take a ticket first and nothing is hedged or",
                "retried; both budgets are 0 without being stated.",
            ),
            options=(
                '"idempotent": false,',
                '"connections": 100,',
                '"deadline_ms": 1000,',
            ),
            n_groups=1,
            n_servers=4,
        ),
    ),
)

QURESHI = Example(
    name="qureshi",
    comment=(
        "Qureshi Brothers Plant Hire: fleet and bookings at three data centres in",
        "Lahore. See cedarlight.jsonc for how such a file is read.",
    ),
    platform_port=7100,
    options=(
        "// Coverage matters most: a booking missing from an answer means a machine",
        "// promised twice. So an answer waits for every shard up to its deadline.",
        '"stragglers": {"kind": "wait"},',
        '"deadline_ms": 400,',
        "",
        '"slots": 2,',
        '"connections": 25,',
    ),
    data_centres=("lhr-a", "lhr-b", "lhr-c"),
    n_hosts=6,
    host_port=9001,
    server_port=24000,
    services=(
        ExampleService(
            name="dispatch",
            comment=("Each group holds one shard of the fleet, on two replicas.",),
            options=('"idempotent": true,',),
            n_groups=20,
            n_servers=2,
        ),
        ExampleService(
            name="invoicing",
            comment=("Nobody waits at a gate for an invoice: more time, less weight.",),
            options=('"idempotent": true,', '"deadline_ms": 1000,', '"weight": 0.5,'),
            n_groups=30,
            n_servers=2,
        ),
        ExampleService(
            name="contracts",
            comment=(
                "Bookings: a doubled one sends two trucks to one job. Not idempotent,",
                "so each request runs at most once, against a ticket.",
            ),
            options=(
                '"idempotent": false,',
                '"slots": 6,',
                '"connections": 50,',
                '"deadline_ms": 2000,',
            ),
            n_groups=1,
            n_servers=3,
        ),
        ExampleService(
            name="maintenance",
            comment=("Reads only, so a call may be tried again and hedged.",),
            options=('"idempotent": true,', '"slots": 6,', '"connections": 50,'),
            n_groups=1,
            n_servers=3,
        ),
    ),
)

DEMO = Example(
    name="demo",
    comment=("What `make demo` runs: small enough for one machine.",),
    platform_port=7000,
    options=(
        "// Wait for all shards, so that an answer lacks one only if it has to.",
        '"stragglers": {"kind": "wait"},',
        '"deadline_ms": 1000,',
    ),
    data_centres=("dc-1", "dc-2"),
    n_hosts=3,
    host_port=8001,
    server_port=20000,
    services=(
        ExampleService(
            name="scheduler",
            comment=("Six shards, each on two replicas in two data centres.",),
            options=('"idempotent": true,',),
            n_groups=6,
            n_servers=2,
        ),
        ExampleService(
            name="sponsor-ledger",
            comment=("Not idempotent: a request runs at most once, with a ticket.",),
            options=('"idempotent": false,',),
            n_groups=1,
            n_servers=2,
        ),
    ),
)

CUSTOMERS = Example(
    name="customers",
    comment=(
        "A deployment whose requests need a customer's key, but for one service. See",
        "docs/operators/settings.md, and cedarlight.jsonc for how such a file is read.",
    ),
    platform_port=7200,
    options=(
        '"stragglers": {"kind": "wait"},',
        '"deadline_ms": 400,',
        "",
        "// Digests of keys, from `lavendergap settings hash-key`. The keys themselves",
        "// are not in this file. Limits hold over all entry hosts together.",
        '"customers": {',
        '  "harbour-web": {',
        "    // The new key and, until the customer has changed, the old one.",
        '    "key_sha256": [',
        '      "d6f809c8fe346364130f857cc5bb8a3ca9b76e866d7717ac213f01df863344ba",',
        '      "61f7d25f92d34a88736b19eb1541cdae8205a61b336687f5dcb9c5e29f2467d0"',
        "    ],",
        '    "rate_per_s": 4,',
        '    "burst": 8',
        "  },",
        "  // No limit, but served after the others and with half a share.",
        '  "night-batch": {',
        '    "key_sha256": [',
        '      "70ae84b492a91d7af57df2eba5de53149985676a80f4886240c6c5740e30d588"',
        "    ],",
        '    "priority": 3,',
        '    "share_weight": 0.5',
        "  }",
        "},",
        "// Requests that may run above a limit in each window while hosts fail.",
        '"limit_window_s": 5,',
        '"limit_slack": 20,',
    ),
    data_centres=("hbr-a", "hbr-b"),
    n_hosts=3,
    host_port=9401,
    server_port=24200,
    services=(
        ExampleService(
            name="berths",
            comment=("Each group holds one shard, on two replicas.",),
            options=('"idempotent": true,',),
            n_groups=2,
            n_servers=2,
        ),
        ExampleService(
            name="tides",
            comment=("Anyone may ask; nothing is counted.",),
            options=('"idempotent": true,', '"public": true,'),
            n_groups=1,
            n_servers=2,
        ),
    ),
)

ALL = (CEDARLIGHT, QURESHI, DEMO, CUSTOMERS)


def write_example(example: Example) -> str:
    """Return the text of the settings file."""
    lines = [f"// {line}".rstrip() for line in example.comment]
    lines += [
        "{",
        f'  "deployment": "{example.name}",',
        f'  "platform": "127.0.0.1:{example.platform_port}",',
        "",
        *_indent(2, example.options),
        "",
        '  "data_centres": {',
        *_join(
            _write_data_centre(example, n) for n in range(len(example.data_centres))
        ),
        "  },",
        "",
        '  "services": {',
    ]
    port = example.server_port
    services = []
    for service in example.services:
        services.append(_write_service(example, service, port))
        port += service.n_groups * service.n_servers
    return "\n".join([*lines, *_join(services), "  }", "}", ""])


def _write_data_centre(example: Example, index: int) -> list[str]:
    name = example.data_centres[index]
    numbers = range(index, example.n_hosts, len(example.data_centres))
    hosts = [
        [f'      "{name}-{turn}": {_write_host(example.host_port + number)}']
        for turn, number in enumerate(numbers, start=1)
    ]
    return [f'    "{name}": {{"hosts": {{', *_join(hosts), "    }}"]


def _write_host(port: int) -> str:
    ports = {"callers": port, "peers": port + 100, "admin": port + 200}
    return json.dumps({key: f"127.0.0.1:{port}" for key, port in ports.items()})


def _write_service(example: Example, service: ExampleService, port: int) -> list[str]:
    groups = [
        _write_group(example, service, name, index, port + index * service.n_servers)
        for index, name in enumerate(service.list_groups())
    ]
    return [
        *_indent(4, [f"// {line}" for line in service.comment]),
        f'    "{service.name}": {{',
        *_indent(6, service.options),
        '      "groups": {',
        *_join(groups),
        "      }",
        "    }",
    ]


def _write_group(
    example: Example, service: ExampleService, name: str, index: int, port: int
) -> list[str]:
    servers = [
        [
            f'          "{name}-{chr(ord("a") + number)}": '
            + json.dumps(
                {
                    "address": f"127.0.0.1:{port + number}",
                    "data_centre": _pick(example.data_centres, index + number),
                }
            )
        ]
        for number in range(service.n_servers)
    ]
    return [f'        "{name}": {{"servers": {{', *_join(servers), "        }}"]


def _pick(names: tuple[str, ...], number: int) -> str:
    return names[number % len(names)]


def _indent(
    n_spaces: int, lines: Iterator[str] | list[str] | tuple[str, ...]
) -> list[str]:
    return [f"{' ' * n_spaces}{line}".rstrip() for line in lines]


def _join(blocks: Iterator[list[str]] | list[list[str]]) -> list[str]:
    """Return the lines of all blocks, with a comma after each block but the last."""
    joined: list[str] = []
    for block in blocks:
        if joined:
            joined[-1] += ","
        joined += block
    return joined


def main() -> None:
    """Write all examples."""
    for example in ALL:
        path = EXAMPLES / f"{example.name}.jsonc"
        path.write_text(write_example(example), encoding="utf-8")
        print(path)


if __name__ == "__main__":
    main()
