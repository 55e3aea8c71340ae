"""State of one controller: host statistics, published tables, proxies, channel, scheduler.

These modules store and count, and decide nothing. :mod:`plankroute.policy` makes the decisions and
reads and writes this state; the entry point in :mod:`plankroute.controller` delivers the events.
"""
