"""`python -m plankroute`: one real steward, told by GW_CONFIG what it is. With words behind it: the command
line."""

import sys


def main() -> int:
    """A bare call imports nothing of the command line."""
    if len(sys.argv) > 1:
        from plankroute.cli.main import cli

        return cli()
    from plankroute.net.process import startup_signals as early

    early.heed()  # before the rest is imported, which takes a tenth of a second
    from plankroute.net.process.service import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
