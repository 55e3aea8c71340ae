"""Units of time and the memory of decayed sums that all policy modules share."""

SECOND_US = 1_000_000
MEMORY_US = (
    3 * SECOND_US
)  # half-life of sums: older say little, and the noise of two or three averages out
LN_2 = 0.693  # such a sum holds what comes in MEMORY_US / LN_2
