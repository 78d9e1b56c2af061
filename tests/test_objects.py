"""The codecs of the objects stored on the platform."""

import json
from dataclasses import replace

import msgspec
import pytest

from lavendergap.errors import ObjectError, SettingsError
from lavendergap.protocol import objects
from lavendergap.protocol.objects import (
    MAX_EDITS,
    Edit,
    ResolvedText,
    SettingsObject,
    decode_index_object,
    decode_settings_object,
    encode_index_object,
    encode_settings_object,
    make_default_index,
    read_settings,
    resolve_text,
)
from lavendergap.state.tree import parse_settings
from tests.test_tree import TREE


def make_edit(number):
    return Edit(
        id=f"id-{number}",
        author="kim",
        at="2026-12-02T18:00:00Z",
        message="More slots.",
        changed=("services.search.slots",),
        base=number,
    )


def make_index(*shards, version=1):
    listed = [{"name": n, "group": f"g-{n}", "share": share} for n, share in shards]
    return {"version": version, "shards": listed}


class TestSettingsObject:
    def test_round_trip(self):
        value = SettingsObject(text="{}", edits=(make_edit(1),))
        data = encode_settings_object(value)
        assert decode_settings_object(data, key="settings/x") == value

    def test_only_the_last_edits_are_kept(self):
        value = SettingsObject(text="{}")
        for number in range(MAX_EDITS + 5):
            value = value.add_edit(make_edit(number), text=f"{{}} // {number}")
        assert [edit.base for edit in value.edits] == list(range(5, MAX_EDITS + 5))
        assert value.text == "{} // 54"
        assert value.find_edit("id-4") is None
        assert value.find_edit("id-5") == make_edit(5)

    def test_a_value_over_the_limit_is_rejected(self):
        with pytest.raises(ObjectError, match="at most 1000000 are allowed"):
            encode_settings_object(SettingsObject(text='"' * 500_000))

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b'{"text": 1}', b'{"text": "\xff"}', b'{"text": "a"']
    )
    def test_malformed_data_is_rejected_with_its_key(self, data):
        with pytest.raises(ObjectError, match="settings/x: "):
            decode_settings_object(data, key="settings/x")


class TestReadSettings:
    """The resolved form is used only if it belongs to the text."""

    TEXT = json.dumps(TREE)

    def read(self, value):
        data = encode_settings_object(value)
        decoded = decode_settings_object(data, key="settings/small")
        return read_settings(decoded, key="settings/small", version=7)

    def test_a_matching_resolved_form_is_used_without_parsing(self, monkeypatch):
        settings = parse_settings(self.TEXT, file="f")
        value = SettingsObject(
            text=self.TEXT, resolved=resolve_text(self.TEXT, settings)
        )
        monkeypatch.setattr(objects, "parse_settings", None)
        assert self.read(value) == replace(settings, version=7)

    def test_an_outdated_resolved_form_is_ignored(self):
        """Guards against hosts that act on settings other than operators see.

        An older tool or a person may replace the text and keep the old resolved form.
        """
        resolved = resolve_text(self.TEXT, parse_settings(self.TEXT, file="f"))
        changed = self.TEXT.replace('"slots": 3', '"slots": 4')
        settings = self.read(SettingsObject(text=changed, resolved=resolved))
        assert settings == parse_settings(changed, file="f", version=7)

    def test_a_form_of_another_release_is_ignored(self):
        digest = resolve_text(self.TEXT, parse_settings(self.TEXT, file="f")).digest
        other = ResolvedText(digest=digest, data=b"of another release")
        settings = self.read(SettingsObject(text=self.TEXT, resolved=other))
        assert settings == parse_settings(self.TEXT, file="f", version=7)

    def test_a_form_that_does_not_fit_is_left_out(self):
        resolved = ResolvedText(digest="", data=bytes(900_000))
        data = encode_settings_object(SettingsObject(text="{}", resolved=resolved))
        assert decode_settings_object(data, key="x") == SettingsObject(text="{}")

    def test_an_invalid_text_is_reported_with_its_key(self):
        with pytest.raises(SettingsError, match="settings/small: 1:1: "):
            self.read(SettingsObject(text=""))


class TestIndex:
    def test_the_first_index_has_a_shard_for_each_group(self):
        service = parse_settings(msgspec.json.encode(TREE), file="f").services[0]
        first = make_default_index(service)
        data = encode_index_object(first)
        assert decode_index_object(data, service="search", version=0) == first
        (shard,) = first.newest.shards
        assert (shard.name, shard.group, shard.share) == ("s00", "search-0", 1.0)

    @pytest.mark.parametrize(
        ("snapshots", "words"),
        [
            ([], "at least one snapshot"),
            ([make_index(("a", 1.0), version=0)], "ascending versions of at least 1"),
            ([make_index(("a", 1.0))] * 2, "ascending versions of at least 1"),
            ([make_index(("a", 0.5), ("a", 0.5))], "each shard once"),
            ([make_index(("a b", 1.0))], "letters and digits"),
            ([make_index(("a", 0.5), ("b", 0.4))], "add up to 1"),
            ([make_index(("a", 1.0), ("b", 0.0))], "shares above 0"),
            ([make_index()], "add up to 1"),
            ([{"version": 1}], "missing required field `shards`"),
        ],
    )
    def test_an_inconsistent_partition_map_is_rejected(self, snapshots, words):
        data = msgspec.json.encode({"snapshots": snapshots})
        with pytest.raises(ObjectError, match=f"index/search: .*{words}"):
            decode_index_object(data, service="search", version=4)
