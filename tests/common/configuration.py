"""Valid settings and sections, for tests that make one value invalid."""

from pathlib import Path

SAMPLES = Path(__file__).resolve().parents[2] / "samples"
DEPLOYMENTS = ("stenonet", "featherbox")


def sample_settings():
    """Return the text of the sample settings file."""
    return (SAMPLES / "node.toml").read_text()


def sample_section(name="billing", deployment="stenonet"):
    """Return the text of a sample section."""
    return (SAMPLES / deployment / f"{name}.toml").read_text()
