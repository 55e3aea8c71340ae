"""Input and output of a controller: start facts, events and commands.

These modules hold plain data, without decisions or encodings. The one exception is
:mod:`plankroute.events.settings`, which parses the operators' settings for the adapters of the
network and the simulator.
"""
