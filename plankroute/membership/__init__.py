"""Failure detection among controllers: a core without I/O, clocks or random module.

`core.Membership` is the entry point: it takes events and the current time, and returns commands.
The protocol is SWIM (Das, Gupta and Motivala 2002) with Lifeguard's local health multiplier
(Dadgar, Phillips and Currey 2017) and anti-entropy between the members' whole tables.
"""
