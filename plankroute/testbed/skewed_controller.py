"""A steward whose clock of the day jumps: `python -m plankroute.testbed.skewed_controller SECONDS_AFTER_START
JUMP_SECONDS`."""

import sys
import time


def main() -> int:
    after_s, jump_s = float(sys.argv[1]), float(sys.argv[2])
    wall, wall_ns, began = time.time, time.time_ns, time.monotonic()

    def jump() -> float:
        return jump_s if time.monotonic() - began >= after_s else 0.0

    time.time = lambda: wall() + jump()
    time.time_ns = lambda: wall_ns() + int(jump() * 1e9)
    from plankroute.net.process.service import main as run_controller

    return run_controller()


if __name__ == "__main__":
    sys.exit(main())
