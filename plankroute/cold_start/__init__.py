"""Limits the load on the discovery service and the hosts when many controllers start at once.

The modules are cores without I/O, clocks or the random module: they take events and the current
time, and return commands.
"""
