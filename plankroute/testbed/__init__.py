"""Fault injection and simulation of members, with the checkers, measurements and reports.

Real controllers run as processes; members of the failure detection also run in simulated time.
No module that the `run` command loads imports this package.
"""
