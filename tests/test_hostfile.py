"""Parsing of a gateway host's settings file, and its error messages."""

import json
from pathlib import Path

import pytest

from lavendergap.errors import SettingsError
from lavendergap.state.hostfile import DEFAULT_CORES, parse_host_file, read_host_file
from lavendergap.state.settings import Address

BOUNDS = {
    "drain_ms": 3000,
    "stop_within_ms": 6000,
    "extra_call_share": 0.2,
    "extra_call_slack": 54,
    "extra_call_window_s": 10,
}
FILE = {
    "name": "ptl-a-1",
    "data_centre": "ptl-a",
    "callers": "10.1.0.9:8104",
    "admin": "10.1.0.9:8108",
    "peer_ip": "10.1.0.9",
    "peer_port": 7380,
    "store": "10.200.1.7:8102",
    "seeds": ["10.2.0.21:8106"],
    "bounds": BOUNDS,
}


def parse(**changes):
    return parse_host_file(json.dumps(FILE | changes), file="host.jsonc")


class TestReading:
    def test_seeds_get_the_peer_port(self):
        assert parse().seeds == (Address(ip="10.2.0.21", port=7380),)

    def test_comments_are_allowed(self):
        text = "// A host.\n" + json.dumps(FILE)
        assert parse_host_file(text, file="host.jsonc").name == "ptl-a-1"

    def test_the_deployment_is_the_store_unless_it_is_stated(self):
        # Guards against hosts of one release that drop the messages of another.
        assert parse().deployment == "10.200.1.7:8102"
        assert parse(deployment="cedarlight").deployment == "cedarlight"
        with pytest.raises(SettingsError):
            parse(deployment="")

    def test_times_are_seconds(self):
        bounds = parse().bounds
        assert (bounds.drain_s, bounds.stop_within_s) == (3.0, 6.0)

    def test_bounds_on_evacuations_and_cold_servers_are_optional(self):
        bounds = parse().bounds
        assert bounds.evacuate_within_s is None
        assert (bounds.cold_rate_factor, bounds.cold_rate_slack) == (1.0, 0.0)
        named = {"evacuate_ms": 5000, "cold_rate_factor": 1.5, "cold_rate_slack": 5}
        bounds = parse(bounds=BOUNDS | named).bounds
        assert bounds.evacuate_within_s == 5.0
        assert (bounds.cold_rate_factor, bounds.cold_rate_slack) == (1.5, 5.0)

    def test_cores_are_the_cpu_share_times_the_cpu_speed(self):
        assert parse(cpu_share=0.7, cpu_speed=3).cores == pytest.approx(2.1)
        assert parse().cores == DEFAULT_CORES


class TestMistakes:
    @pytest.mark.parametrize(
        ("changes", "place"),
        [
            ({"peer_port": "x"}, "peer_port"),
            ({"callers": "10.1.0.9"}, "callers"),
            ({"seeds": ["nowhere"]}, "seeds"),
            ({"bounds": BOUNDS | {"drain_ms": None}}, "bounds.drain_ms"),
            ({"cpu_share": 0}, "cpu_share"),
            ({"cpu_speed": -1}, "cpu_speed"),
            ({"unknown": 1}, "(top)"),
        ],
    )
    def test_the_message_names_the_file_and_the_field(self, changes, place):
        with pytest.raises(SettingsError) as caught:
            parse(**changes)
        assert str(caught.value).startswith(f"host.jsonc: {place}: ")

    def test_a_missing_file_is_a_settings_error(self, tmp_path):
        with pytest.raises(SettingsError, match="cannot be read"):
            read_host_file(tmp_path / "none.jsonc")


class TestTemplate:
    def test_the_template_has_every_setting(self):
        # The platform fills in this template, so it must contain every setting.
        template = Path(__file__).parents[1] / "deploy" / "host.jsonc"
        text = template.read_text()
        for name in [*FILE, *BOUNDS, "heartbeat_ms", "cpu_share", "cpu_speed"]:
            assert f'"{name}":' in text
