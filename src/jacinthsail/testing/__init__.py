"""Stand-ins for the platform, targets and links, scenarios, simulations and measurements."""
