"""The node's I/O: HTTP, peer connections, the platform client, logs and metrics."""
