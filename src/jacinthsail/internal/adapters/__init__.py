"""The edges of the node: HTTP, peer connections, the platform client, logs and metrics."""
