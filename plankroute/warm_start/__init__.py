"""Prior knowledge of hosts, which outlives the restart of a controller: its age and its merging.

The modules are cores without I/O or clocks: they take events and the current time, and return
commands.
"""
