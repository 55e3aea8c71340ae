"""The simulator's adapter: framed batches of events in, commands out. Decides nothing.

`python -m plankroute.simulator` runs any number of controllers in one process. The wire is the
operators' (their page on it names each record); only this package knows it.
"""
