"""Endpoint lists from discovery: watch, HTTP client, catalogue codec and host directory."""
