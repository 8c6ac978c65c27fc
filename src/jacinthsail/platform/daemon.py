"""Entry point of a node on the users' platform."""

import signal


def main() -> int:
    """Run the node until it receives a stop signal; return the exit status."""
    # Until its handler is installed, SIGHUP would end the process. Importing the node takes most of
    # that time, so it comes second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from jacinthsail.platform.node import run_node

    return run_node()


if __name__ == "__main__":
    raise SystemExit(main())
