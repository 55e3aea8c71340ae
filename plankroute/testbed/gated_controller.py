"""A controller that waits before it starts, so that hundreds start at once, as after a power cut.

`python -m plankroute.testbed.gated_controller FD` does the imports of a start, and starts when the
write end of the pipe FD, the gate, is closed.
"""

import os
import sys

WAITING_LINE = b'{"event":"waits"}\n'


def main() -> int:
    """Waits until the gate opens, then runs the controller; returns its exit status."""
    from plankroute.net.process.service import main as run_controller

    if os.environ.get("PLANKROUTE_FILE"):
        import plankroute.net.process.optional_features  # noqa: F401 - a start imports it first
    gate = int(sys.argv[1])
    os.write(sys.stderr.fileno(), WAITING_LINE)
    os.read(gate, 1)
    os.close(gate)
    return run_controller()


if __name__ == "__main__":
    sys.exit(main())
