"""Implementation behind the public API; nothing in this package is stable between releases."""
