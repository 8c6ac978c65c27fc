"""Entry point of ``jacinthsail``, the operators' tool."""


def main() -> None:
    """Run ``jacinthsail``."""
    raise SystemExit(0)
