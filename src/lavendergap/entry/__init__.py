"""The daemon on an entry host: wires transport, protocol and coordination together."""
