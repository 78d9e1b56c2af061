"""The daemon on an entry host; connects transport, protocol and coordination."""
