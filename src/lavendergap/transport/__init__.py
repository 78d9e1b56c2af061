"""Sockets, connections and HTTP; moves messages and accounts for connections."""
