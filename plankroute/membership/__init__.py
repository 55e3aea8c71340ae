"""Failure detection among controllers: a core without I/O, clocks or random module.

`core.Membership` is the entry point: events and the time in, commands out. It follows SWIM (Das,
Gupta and Motivala 2002) with Lifeguard's local health (Dadgar, Phillips and Currey 2017) and
anti-entropy between whole tables.
"""
