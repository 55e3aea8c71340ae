"""A steward that waits at a gate: `python -m plankroute.testbed.gated_controller FD`. It has imported all, and starts when
the
other end of that pipe is closed: hundreds start at one moment, as when power comes back to a site."""

import os
import sys


def main() -> int:
    from plankroute.net.process.service import main as serve

    if os.environ.get("PLANKROUTE_FILE"):
        import plankroute.net.process.optional_features  # noqa: F401  what a start would import first of all
    gate = int(sys.argv[1])
    os.write(2, b'{"event":"waits"}\n')
    os.read(gate, 1)
    os.close(gate)
    return serve()


if __name__ == "__main__":
    sys.exit(main())
