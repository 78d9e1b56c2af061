"""The table of options, and the reference page generated from it."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.reference import PAGE, replace_reference, write_reference
from lavendergap.state.customers import Customer
from lavendergap.state.levels import Level
from lavendergap.state.options import (
    BRANCHES,
    OPTIONS,
    STRAGGLERS_OPTIONS,
    list_options,
)
from lavendergap.state.settings import Control, Host, Server, Service
from lavendergap.state.values import check_value, describe_kind, parse_address


class TestTable:
    def test_names_are_unique(self):
        names = [option.name for option in OPTIONS] + [kind.key for kind in BRANCHES]
        assert len(names) == len(set(names))

    @pytest.mark.parametrize(
        ("level", "data", "structural"),
        [
            (Level.CONTROL, Control, set()),
            (Level.HOST, Host, {"name", "data_centre"}),
            # Incarnation and cold limit come from the server's registration.
            (Level.SERVER, Server, {"name", "incarnation", "cold_limit"}),
            # The platform's allowance of extra calls is not set by operators.
            (Level.SERVICE, Service, {"name", "groups", "extra"}),
        ],
    )
    def test_every_setting_has_an_option(self, level, data, structural):
        fields = {field.name for field in dataclasses.fields(data)} - structural
        lowest = {option.name for option in OPTIONS if option.lowest is level}
        assert fields == lowest

    def test_a_customer_has_its_fields_and_its_keys(self):
        fields = {field.name for field in dataclasses.fields(Customer)} - {"name"}
        options = {option.name for option in list_options(Level.CUSTOMER)}
        assert options == fields | {"key_sha256"}

    def test_control_defaults_agree_with_the_data_class(self):
        defaults = {
            option.name: option.default for option in list_options(Level.CONTROL)
        }
        assert dataclasses.asdict(Control()) == defaults

    @pytest.mark.parametrize(
        "option", [*OPTIONS, *STRAGGLERS_OPTIONS["give up"]], ids=lambda o: o.name
    )
    def test_default_is_in_range(self, option):
        if option.default is not None and option.name != "stragglers":
            assert check_value(option.kind, option.default) == option.default
        assert describe_kind(option.kind)
        assert option.help.endswith(".")


class TestAddress:
    @settings(derandomize=True)
    @given(st.ip_addresses(v=4), st.integers(1, 65_535))
    def test_what_is_read_is_written_back(self, ip, port):
        address = parse_address(f"{ip}:{port}")
        refused = ip.is_unspecified or ip.is_multicast
        assert (address is None) == refused
        if address is not None:
            assert str(address) == f"{ip}:{port}"

    @settings(derandomize=True)
    @given(st.text(max_size=30))
    def test_any_text_is_read_or_refused(self, text):
        address = parse_address(text)
        assert address is None or parse_address(str(address)) == address


class TestReference:
    def test_the_page_is_up_to_date(self):
        page = PAGE.read_text(encoding="utf-8")
        assert page == replace_reference(page), "run python -m lab.reference"

    def test_the_page_lists_every_option_once(self):
        reference = write_reference()
        inner = [o for options in STRAGGLERS_OPTIONS.values() for o in options]
        for option in [*OPTIONS, *inner]:
            assert reference.count(f"\n| `{option.name}` |") == 1
