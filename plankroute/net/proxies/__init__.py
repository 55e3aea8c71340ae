"""Proxy and collector connections: listener, admission, sessions, line codec and buffers."""
