"""Prior knowledge of hosts: what outlives a restart of a controller, its age, its merging.

A core without I/O: events and the time go in, commands come out.
"""
