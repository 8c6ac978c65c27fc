"""Stand-ins for the platform, targets and links, for tests and the demonstration."""
