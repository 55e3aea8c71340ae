"""Units and constants that several mechanisms share."""

from plankroute.units import SECOND_US

# Half-life of the decayed sums of request statistics. Older statistics say little about the
# present, and the noise of two or three reports averages out.
STATS_HALF_LIFE_US = 3 * SECOND_US

# Natural logarithm of 2, to three digits: more would change every decision. A decayed sum holds
# what arrives in STATS_HALF_LIFE_US / LN_2.
LN_2 = 0.693

# Period of the turns in which weights, health and admission limits are judged: the design's value.
TURN_US = SECOND_US

# Weight of the prior, in attempts, that shrinks a host's mean latency, or weight, to that of its
# machine type while few attempts are counted.
PRIOR_ATTEMPTS = 3.0

# The least weight of a host, relative to the mean: the design's value. A host keeps enough requests
# to be measured by.
WEIGHT_FLOOR = 0.05

# The most that a single host counts for, before it was measured under load, relative to others of
# its machine type: single health checks are off by a factor of two, and some hosts answer at once.
# See docs/design.md, first weights.
MAX_FIRST_WEIGHT = 1.4
