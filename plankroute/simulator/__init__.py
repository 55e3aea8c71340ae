"""Adapter of the simulator: reads framed batches of events and writes framed commands.

`python -m plankroute.simulator` runs any number of controllers in one process. The operators
specify the wire format and name its records; no other package depends on it.
"""
