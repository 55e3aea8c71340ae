"""Constants that several policy modules share."""

from plankroute.units import SECOND_US

# Half-life of the decayed sums of request statistics. Older statistics no longer describe the
# present load, and the noise of two or three reports averages out within this time.
STATS_HALF_LIFE_US = 3 * SECOND_US

# Natural logarithm of 2, rounded to three digits: more digits would change every decision. At a
# constant rate, a decayed sum equals what arrives in STATS_HALF_LIFE_US / LN_2.
LN_2 = 0.693

# Control interval (turn): weights, host health and admission limits are evaluated once per turn.
TURN_US = SECOND_US

# Weight of the prior, in attempts, that shrinks a host's mean latency or weight towards that of its
# machine type while few attempts have been counted.
PRIOR_ATTEMPTS = 3.0

# Minimum weight of a host, relative to the mean. It keeps enough requests on the host to measure
# it.
WEIGHT_FLOOR = 0.05

# Maximum weight of a host relative to others of its machine type until it has been measured under
# load. The duration of a single health check can be off by a factor of two, and some hosts answer
# almost instantly. See docs/design.md, first weights.
MAX_FIRST_WEIGHT = 1.4
