"""What a controller is told (start facts, events) and what it may command.

Plain data only: nothing here decides anything or knows of any wire. The one exception is
:mod:`plankroute.events.settings`, the codec of the operators' settings, which the network and the
simulator share.
"""
