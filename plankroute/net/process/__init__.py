"""The process: signals, configuration, clock, log, metrics and the router that runs the core."""
