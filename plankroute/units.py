"""Units of time, and the bound on wall clock times, that all packages share."""

SECOND_US = 1_000_000

# The latest wall clock time, in Unix milliseconds, that counts as one: the year 5138.
MAX_UNIX_MS = 1e14
