"""Property tests draw the same examples each time, and no slow machine decides a verdict."""

from hypothesis import settings

settings.register_profile("same each time", derandomize=True, database=None, deadline=None)
settings.load_profile("same each time")
