"""The codec of resolved settings."""

import json
import zlib
from dataclasses import replace

import msgspec
import pytest

from lavendergap.errors import ObjectError
from lavendergap.protocol import resolved
from lavendergap.protocol.resolved import decode_settings, encode_settings
from lavendergap.state.customers import Customer, CustomerTable, digest_key
from lavendergap.state.tree import parse_settings
from tests.test_tree import TREE


@pytest.fixture
def settings():
    tree = TREE | {"stragglers": {"kind": "give up"}}
    text = json.dumps(tree).replace(
        '"ledger": {', '"ledger": {"stragglers": {"kind": "wait"},'
    )
    return parse_settings(text, file="f", version=7)


def change(data, **fields):
    """Return encoded settings with some fields of the message replaced."""
    message = msgspec.msgpack.decode(zlib.decompress(data))
    return zlib.compress(msgspec.msgpack.encode(message | fields))


class TestResolved:
    def test_round_trip(self, settings):
        assert decode_settings(encode_settings(settings)) == settings

    def test_customers_need_a_format_that_older_hosts_refuse(self, settings):
        """Guards against a host that ignores customers and serves without a key."""
        table = CustomerTable(
            customers={"c1": Customer(name="c1", priority=2, share_weight=0.5)},
            names_by_digest={digest_key(b"k"): "c1"},
        )
        public = replace(settings.services[0], public=True)
        named = replace(settings, customers=table, services=(public,))
        assert decode_settings(encode_settings(named)) == named
        plain = msgspec.msgpack.decode(zlib.decompress(encode_settings(settings)))
        known = {"customers", "limits"}
        assert plain["format"] == 1 and not known & plain.keys()
        fields = msgspec.msgpack.decode(zlib.decompress(encode_settings(named)))
        assert fields["format"] == 2

    def test_truncated_or_malformed_data_is_rejected(self, settings):
        """Guards against a host that applies a part of a version."""
        data = encode_settings(settings)
        malformed = [data[:n] for n in range(0, len(data), 7)]
        malformed += [data + b"x", change(data, version="7"), change(data, hosts=[1])]
        malformed.append(change(data, services=[{"name": "\x00"}]))
        for bad in malformed:
            with pytest.raises(ObjectError):
                decode_settings(bad)

    def test_another_format_asks_for_an_upgrade(self, settings):
        data = change(encode_settings(settings), format=3)
        with pytest.raises(ObjectError, match="format 3, expected 1 or 2; upgrade"):
            decode_settings(data)

    def test_a_decompression_bomb_is_rejected(self, monkeypatch):
        monkeypatch.setattr(resolved, "MAX_PLAIN_BYTES", 10_000)
        with pytest.raises(ObjectError, match="too large"):
            decode_settings(zlib.compress(bytes(1_000_000)))
