"""Reads customers' keys, which are neither taken from arguments nor shown."""

from typing import BinaryIO

import click

from ..state.customers import MAX_KEY_BYTES


def read_key(stream: BinaryIO) -> bytes:
    """Return the key in `stream`, which may end with a line break.

    At a terminal the key is asked for and not shown. Raises UsageError, which does not
    quote the key, unless callers can send it in a header.
    """
    if stream.isatty():
        key = click.prompt("Key", hide_input=True, err=True).encode()
    else:
        # One byte more than the longest key with a line break, to notice a longer one.
        key = stream.read(MAX_KEY_BYTES + 3)
    key = key.removesuffix(b"\n").removesuffix(b"\r")
    if not key or len(key) > MAX_KEY_BYTES:
        raise click.UsageError(f"expected a key of 1 to {MAX_KEY_BYTES} bytes")
    if not (key.isascii() and key.decode().isprintable()) or key != key.strip():
        raise click.UsageError(
            "expected a key of printable ASCII characters, without spaces at the ends"
        )
    return key
