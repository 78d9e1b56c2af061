"""Sockets, connections and HTTP: sends and receives messages, pools connections."""
