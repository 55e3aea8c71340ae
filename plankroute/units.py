"""Units of time and the upper bound on wall clock times, shared by all packages."""

SECOND_US = 1_000_000

# Latest valid wall clock time, in Unix milliseconds: the year 5138. Later values are rejected.
MAX_UNIX_MS = 1e14
