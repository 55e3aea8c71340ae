"""The controller process: signals, configuration, clock, log, counters and the core runner."""
