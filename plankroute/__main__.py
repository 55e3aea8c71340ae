"""``python -m plankroute``: one controller, configured by the file that ``GW_CONFIG`` names.

With arguments it is the command line. A bare call imports nothing of the command line.
"""

import sys


def main() -> int:
    """Runs the command line or the controller; returns the exit status."""
    if len(sys.argv) > 1:
        from plankroute.cli.main import cli

        return cli()
    from plankroute.net.process.startup_signals import install_startup_handlers

    install_startup_handlers()  # before the rest is imported, which takes a tenth of a second
    from plankroute.net.process.service import main as run_controller

    return run_controller()


if __name__ == "__main__":
    sys.exit(main())
