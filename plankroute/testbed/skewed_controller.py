"""A controller whose wall clock jumps.

`python -m plankroute.testbed.skewed_controller SECONDS_AFTER_START JUMP_SECONDS`
"""

import sys
import time


def main() -> int:
    """Sets up the jump of the wall clock, and runs the controller; returns its exit status."""
    after_s = float(sys.argv[1])
    jump_s = float(sys.argv[2])
    make_wall_clock_jump(after_s, jump_s)
    from plankroute.net.process.service import main as run_controller

    return run_controller()


def make_wall_clock_jump(after_s: float, jump_s: float) -> None:
    """Replaces the functions of `time` that read the wall clock.

    Args:
        after_s: Seconds from now after which the clock jumps.
        jump_s: The jump in seconds; negative: backwards.
    """
    true_time = time.time
    true_time_ns = time.time_ns
    began_s = time.monotonic()

    def shift_s() -> float:
        has_jumped = time.monotonic() - began_s >= after_s
        return jump_s if has_jumped else 0.0

    time.time = lambda: true_time() + shift_s()
    time.time_ns = lambda: true_time_ns() + int(shift_s() * 1e9)


if __name__ == "__main__":
    sys.exit(main())
