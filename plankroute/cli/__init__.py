"""The command line; `run` alone is what operators start, the rest is for people and the laboratory."""
