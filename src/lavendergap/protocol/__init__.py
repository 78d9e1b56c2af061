"""Typed messages on the wire and their codecs; bytes in, data classes out."""
