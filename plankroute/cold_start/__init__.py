"""A start of many controllers at once that spares the list service and the hosts.

Cores without I/O, clocks or random module: events and the time in, commands out.
"""
