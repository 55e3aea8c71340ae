"""Connections of proxies and collectors: listener, sessions, line codec, buffers."""
