"""Who of the stewards is alive: a core without I/O, clocks or random module. `group.Membership` is its
door."""
