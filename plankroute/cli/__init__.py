"""The command line: `run` is what operators start, the rest is for people and the testbed."""
