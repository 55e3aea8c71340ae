"""plankroute: a steward that publishes routing tables to a fleet of proxies."""
