"""Entry point of ``python -m plankroute``.

Without arguments it runs one controller, configured by the file that ``GW_CONFIG`` names. With
arguments it runs the command line interface, whose modules are imported only then.
"""

import sys


def main() -> int:
    """Runs the command line interface or the controller, and returns the exit status."""
    if len(sys.argv) > 1:
        from plankroute.cli.main import cli

        return cli()
    from plankroute.net.process.startup_signals import install_startup_handlers

    install_startup_handlers()  # first, because the imports below take a tenth of a second
    from plankroute.net.process.service import main as run_controller

    return run_controller()


if __name__ == "__main__":
    sys.exit(main())
