"""The laboratory: processes, faulty links, simulated time, checkers and measurements. Nothing in `run`
imports it."""
