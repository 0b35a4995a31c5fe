"""Runs the command-line client: `python -m knapweedshed`."""

import sys

from knapweedshed.programs import client


def main():
    """Run the client and exit with its status."""
    sys.exit(client.main())


if __name__ == "__main__":
    main()
