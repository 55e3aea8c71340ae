"""Stand-ins for the systems around a steward: discovery, hosts, proxies, collectors."""
