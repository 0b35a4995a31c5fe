"""Turns the client's status into an exit code."""

import sys

from knapweedshed.programs import client


def main():
    """Run the client and exit with its status."""
    sys.exit(client.main())


if __name__ == "__main__":
    main()
