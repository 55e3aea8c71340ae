"""Real controllers as processes with fault injection, simulated members, checkers and measurements.

Nothing that `run` starts imports it.
"""
