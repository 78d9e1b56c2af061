"""Settings files: inheritance, and the errors for invalid files with their paths."""

import copy
import json
import math
from typing import Any

import pytest

from lavendergap.errors import SettingsError
from lavendergap.state import syntax
from lavendergap.state.branch import DEFAULT
from lavendergap.state.customers import Customer, LimitBounds, digest_key
from lavendergap.state.settings import Address, GiveUpStragglers, WaitForCoverage
from lavendergap.state.tree import load_settings, parse_settings, parse_tree

TREE: dict[str, Any] = {
    "deployment": "small",
    "platform": "127.0.0.1:7000",
    "slots": 3,
    "data_centres": {
        "dc-1": {
            "hosts": {
                "host-1": {
                    "callers": "127.0.0.1:8001",
                    "peers": "127.0.0.1:8101",
                    "admin": "127.0.0.1:8201",
                }
            }
        }
    },
    "services": {
        "search": {
            "idempotent": True,
            "groups": {
                "search-0": {
                    "servers": {
                        "search-0-a": {
                            "address": "127.0.0.1:20000",
                            "data_centre": "dc-1",
                        },
                        "search-0-b": {
                            "address": "127.0.0.1:20001",
                            "data_centre": "dc-1",
                            "slots": 1,
                        },
                    }
                }
            },
        },
        "ledger": {
            "idempotent": False,
            "data_centre": "dc-1",
            "groups": {
                "ledger-0": {"servers": {"ledger-0-a": {"address": "127.0.0.1:20002"}}}
            },
        },
    },
}
SEARCH = "services.search"
SERVER_A = "services.search.groups.search-0.servers.search-0-a"
REMOVED = object()


D1, D2 = digest_key(b"k1").hex(), digest_key(b"k2").hex()
ACME: dict[str, Any] = {"key_sha256": [D1], "priority": 2, "rate_per_s": 4}


def edit(path, value):
    """Return the text of the small tree with the value at `path` set or removed."""
    tree = copy.deepcopy(TREE)
    *parents, last = path.split(".")
    if parents[:1] == ["customers"]:
        tree["customers"] = {"a": copy.deepcopy(ACME)}
    branch = tree
    for key in parents:
        branch = branch.setdefault(key, {})
    if value is REMOVED:
        del branch[last]
    else:
        branch[last] = value
    return json.dumps(tree)


def get_services(text):
    settings = parse_settings(text, file="f")
    return {service.name: service for service in settings.services}


def list_problems(text):
    """Return the problems reported for `text`, as (path, expected)."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, file="f.jsonc")
    assert all(problem.file == "f.jsonc" for problem in caught.value.problems)
    return [(problem.path, problem.expected) for problem in caught.value.problems]


class TestInheritance:
    def test_nearest_branch_wins(self):
        settings = parse_settings(json.dumps(TREE), file="f", version=9)
        servers = settings.services[0].groups[0].servers
        assert [server.slots for server in servers] == [3, 1]
        assert [server.connections for server in servers] == [25, 25]
        assert servers[1].address == Address(ip="127.0.0.1", port=20001)
        assert (settings.version, settings.hosts[0].data_centre) == (9, "dc-1")

    def test_each_value_has_its_source(self):
        tree = parse_tree(json.dumps(TREE), file="f")
        found = {branch.path: branch for branch in tree.walk()}
        options = found[SERVER_A].options
        assert (options["slots"].value, options["slots"].source) == (3, "")
        assert options["connections"].source == DEFAULT
        assert options["address"].source == SERVER_A
        ledger = found["services.ledger.groups.ledger-0.servers.ledger-0-a"]
        assert ledger.options["data_centre"].source == "services.ledger"

    def test_extra_calls_default_to_none_where_calls_are_not_idempotent(self):
        services = get_services(json.dumps(TREE))
        ledger = services["ledger"]
        search = services["search"]
        assert (ledger.hedge_budget, ledger.retry_budget) == (0.0, 0.0)
        assert (search.hedge_budget, search.retry_budget) == (0.05, 0.05)

    def test_stragglers_fill_in_their_own_defaults(self):
        text = edit("stragglers", {"kind": "give up", "min_share": 0.9})
        text = text.replace('"ledger": {', '"ledger": {"stragglers":{"kind":"wait"},')
        services = get_services(text)
        given_up = GiveUpStragglers(min_share=0.9, patience=2.0)
        assert services["search"].stragglers == given_up
        assert services["ledger"].stragglers == WaitForCoverage()


class TestCustomers:
    def test_keys_and_limits_are_read(self):
        text = edit(f"{SEARCH}.public", True)
        assert parse_settings(text, file="f").customers is None
        both = {"a": ACME, "b": {"key_sha256": [], "share_weight": 0.5}}
        tree = json.loads(text) | {"customers": both, "limit_slack": 0}
        settings = parse_settings(json.dumps(tree), file="f")
        assert [service.public for service in settings.services] == [True, False]
        assert settings.limits == LimitBounds(window_s=5.0, overage=0.1, slack=0.0)
        assert settings.customers is not None
        found = [settings.customers.find_by_key(key) for key in (b"k1", b"k2")]
        assert found == [Customer(name="a", priority=2, rate_per_s=4.0), None]
        assert settings.customers.customers["b"].weight == 0.5


class TestRefusals:
    @pytest.mark.parametrize(
        ("path", "value", "place", "words"),
        [
            ("slosts", 2, "slosts", "unknown; did you mean slots?"),
            (f"{SEARCH}.groop", {}, f"{SEARCH}.groop", "did you mean groups?"),
            (f"{SEARCH}.admin", "x", f"{SEARCH}.admin", "is allowed at: host"),
            (f"{SEARCH}.hosts", {}, f"{SEARCH}.hosts", "belongs in a data centre"),
            ("slots", "2", "slots", "a whole number from 1 to 10000, found '2'"),
            ("slots", True, "slots", "found true"),
            ("slots", 2.0, "slots", "found 2.0"),
            ("slots", None, "slots", "found null"),
            ("slots", 0, "slots", "found 0"),
            ("slots", 10**400, "slots", "found 1000"),
            ("weight", math.nan, "weight", "a number from 0.01 to 100, found nan"),
            ("weight", 10**400, "weight", "a number from 0.01 to 100"),
            ("platform", "localhost:1", "platform", "an IPv4 number and a port"),
            ("platform", "1.2.3.4:65536", "platform", "an IPv4 number and a port"),
            ("platform", "0.0.0.0:80", "platform", "an IPv4 number and a port"),
            ("platform", "127.0.0.1:\u0661", "platform", "an IPv4 number and a port"),
            ("deployment", "a.b", "deployment", "letters, digits"),
            ("deployment", REMOVED, "deployment", "missing"),
            ("stragglers", {"kind": "hope"}, "stragglers.kind", '{"kind": "wait"} or'),
            ("stragglers", {"kind": "hope"}, "stragglers.kind", "found 'hope'"),
            ("stragglers", {}, "stragglers", "found an object"),
            ("stragglers", [], "stragglers", "found a list"),
            (
                "stragglers",
                {"kind": "give up", "min_share": 1.01},
                "stragglers.min_share",
                "a number from 0 to 1, found 1.01",
            ),
            (
                "stragglers",
                {"kind": "wait", "patience": 1},
                "stragglers.patience",
                "unknown; expected one of: nothing",
            ),
            (f"{SEARCH}.idempotent", REMOVED, f"{SEARCH}.idempotent", "missing"),
            (f"{SEARCH}.groups", [], f"{SEARCH}.groups", "maps names to groups"),
            (SEARCH, 7, SEARCH, "expected an object"),
            ("services", {}, "services", "at least one service"),
            (f"{SEARCH}.groups", {}, f"{SEARCH}.groups", "at least one group"),
            (
                f"{SEARCH}.groups.search-0.servers",
                REMOVED,
                f"{SEARCH}.groups.search-0.servers",
                "at least one backend server",
            ),
            ("data_centres.dc-1.hosts", {}, "data_centres", "one entry host"),
            ("data_centres.d c", {}, 'data_centres."d c"', "a name of letters"),
            (f"{SERVER_A}.data_centre", "dc-2", f"{SERVER_A}.data_centre", "dc-1"),
            (f"{SERVER_A}.data_centre", REMOVED, f"{SERVER_A}.data_centre", "missing"),
            (
                f"{SERVER_A}.address",
                "127.0.0.1:8101",
                f"{SERVER_A}.address",
                "data_centres.dc-1.hosts.host-1.peers has 127.0.0.1:8101 too",
            ),
            (
                "services.ledger.groups.ledger-0.servers.search-0-a",
                {"address": "127.0.0.1:20009"},
                "services.ledger.groups.ledger-0.servers.search-0-a",
                f"a unique name, but {SERVER_A} has it too",
            ),
            (
                "services.ledger.groups.search-0",
                {"servers": {"x": {"address": "127.0.0.1:20009"}}},
                "services.ledger.groups.search-0",
                f"{SEARCH}.groups.search-0 has it too",
            ),
            (f"{SERVER_A}.slots", 26, f"{SERVER_A}.slots", "at most connections, 25"),
            (
                f"{SEARCH}.deadline_ms",
                19,
                f"{SEARCH}.deadline_ms",
                "at least 20 to allow hedging, or hedge_budget 0, found 19",
            ),
            (
                "hedge_budget",
                0.1,
                "services.ledger.hedge_budget",
                "expected 0: the service is not idempotent, found 0.1, inherited from",
            ),
            (
                "services.ledger.retry_budget",
                0.1,
                "services.ledger.retry_budget",
                "not idempotent",
            ),
            (
                "control",
                {"probe_timeout_ms": 1000},
                "control.probe_timeout_ms",
                "less than probe_interval_ms, 1000, found 1000",
            ),
            (
                "control",
                {"suspect_ms": 999},
                "control.suspect_ms",
                "at least probe_interval_ms, 1000, found 999",
            ),
            ("control", [], "control", "expected an object"),
            ("customers", {}, "customers", "expected a customer"),
            ("customers", {"": ACME}, 'customers.""', "a name of letters"),
            ("customers.a", {}, "customers.a.key_sha256", "missing; expected a list"),
            (
                "customers",
                {"a": ACME, "b": {"key_sha256": [D2, D1.upper()]}},
                "customers.b.key_sha256[1]",
                "a key of this customer only, but customers.a has it too",
            ),
            ("limit_slack", -1, "limit_slack", "a number from 0 to 1e+06, found -1"),
            (f"{SEARCH}.public", 1, f"{SEARCH}.public", "true or false"),
            ("public", True, "public", "is allowed at: service"),
            *(
                (f"customers.a.{name}", value, f"customers.a.{name}", words)
                for name, value, words in [
                    ("rate_per_s", -0.1, "found -0.1"),
                    ("rate_per_s", math.inf, "found inf"),
                    ("burst", math.nan, "found nan"),
                    ("share_weight", -1, "found -1"),
                    ("priority", 0.5, "found 0.5"),
                ]
            ),
        ],
    )
    def test_one_mistake_yields_one_problem_at_its_path(
        self, path, value, place, words
    ):
        ((found, expected),) = list_problems(edit(path, value))
        assert found == place
        assert words in expected

    @pytest.mark.parametrize(
        ("name", "value", "place"),
        [
            ("key_sha256", "My-Key", "key_sha256"),
            ("key_sha256", [D1, "My-Key"], "key_sha256[1]"),
            ("key_sha256", [D1 + "0"], "key_sha256[0]"),
            ("key_sha256", ["g" * 64], "key_sha256[0]"),
            ("key_sha256", [7], "key_sha256[0]"),
            ("key_sha256", [f" {D1[1:]}"], "key_sha256[0]"),
            ("rate_per_s", "My-Key", "rate_per_s"),
            ("api_key", "My-Key", "api_key"),
        ],
    )
    def test_a_key_in_the_file_is_refused_and_not_shown(self, name, value, place):
        """Guards against a key in the terminal, and in the logs of the hosts."""
        ((found, expected),) = list_problems(edit(f"customers.a.{name}", value))
        assert found == f"customers.a.{place}"
        assert "My-Key" not in expected

    def test_all_mistakes_are_reported_at_once(self):
        text = edit("slots", 0).replace('"idempotent": false', '"idempotent": 0')
        text = text.replace("127.0.0.1:20001", "127.0.0.1:20000")
        places = [path for path, _ in list_problems(text)]
        assert places == [
            "slots",
            "services.ledger.idempotent",
            f"{SEARCH}.groups.search-0.servers.search-0-b.address",
        ]

    def test_a_malformed_file_does_not_flood_the_terminal(self):
        tree = TREE | {f"key-{n}\x1b[2J": n for n in range(1000)}
        problems = list_problems(json.dumps(tree))
        assert len(problems) == 51
        assert problems[-1][1] == "950 more problems, not shown"
        assert not any("\x1b" in path for path, _ in problems)


class TestSyntax:
    def test_comments_are_ignored(self):
        plain = json.dumps(TREE)
        commented = plain.replace(
            '"slots": 3,', '/* " */ "slots" // "slots": 4,\r\n: 3, // it\'s "so"\n'
        )
        commented = commented.replace('"small"', '"small" /*\n//*/')
        wanted = parse_settings(plain, file="f")
        assert parse_settings(commented, file="f") == wanted
        assert syntax.parse_text('{"a": "//", "b": "/*", "c": "\\"//"}', file="f") == {
            "a": "//",
            "b": "/*",
            "c": '"//',
        }

    def test_a_comment_ends_with_its_line(self):
        """Guards against silently dropping an option that follows a comment.

        Any line break that editors show must end the comment or be rejected.
        """
        text = '{"a": 1 // b\r, "c": 2}'
        assert syntax.parse_text(text, file="f") == {"a": 1, "c": 2}
        assert list_problems(text.replace("\r", "\u2028"))

    @pytest.mark.parametrize(
        ("text", "place", "words"),
        [
            ('{"a": 1, /* x\n */ "b" 2}', "2:9", "Expecting ':' delimiter"),
            ('{"a": {\n "b": 2', "2:8", "the file is truncated"),
            ('{"a": "b', "1:7", "this string has no end"),
            ('{"a": "b\n"}', "1:9", "this line ends inside a string"),
            ('{"a": 1, /* b', "1:10", "this comment has no end"),
            ('{"a": 1,}', "1:9", "there is a comma, or nothing, before this bracket"),
            ("{'a': 1}", "1:2", "Expecting property name enclosed in double quotes"),
            ('{"a": 1} /*/ ', "1:10", "this comment has no end"),
            ('"\\' * 450_000, "1:1", "this string has no end"),
            ("/* " * 300_000, "1:1", "this comment has no end"),
            ("", "1:1", "the file is truncated"),
            ("[1]", "", "an object { ... }"),
            ('{"a": {"b": 1, "b": 1}}', "a.b", "this key is duplicated"),
            ('{"a":' * 13 + "1" + "}" * 13, ".".join("a" * 12), "12 levels"),
            ("[" * 100_000, "", "at most 12 levels"),
            ('{"a": ' + "9" * 5000 + "}", "", "JSON with comments"),
            (b'{"a": "\xff"}', "byte 7", "UTF-8"),
            ('{"a": "\ud800"}', "byte 7", "UTF-8"),
            (" " * 1_000_001, "", "at most 1000000 bytes, but this has 1000001"),
        ],
    )
    def test_malformed_text_is_rejected_with_its_position(self, text, place, words):
        ((found, expected),) = list_problems(text)
        assert found == place
        assert words in expected

    @pytest.mark.parametrize("share", [0.1, 0.5, 0.9, 0.999])
    def test_a_truncated_file_is_rejected(self, share):
        text = json.dumps(TREE)
        assert list_problems(text[: int(len(text) * share)])

    def test_an_unreadable_file_is_a_settings_error(self, tmp_path):
        with pytest.raises(SettingsError, match=r"none\.jsonc: .*No such file"):
            load_settings(tmp_path / "none.jsonc")
