"""State of one controller: host statistics, published tables, proxies, channel, scheduler.

Storage and accounting only. Decisions are in :mod:`plankroute.policy`, which reads and writes this
state; the entry point that feeds it with events is in :mod:`plankroute.controller`.
"""
