"""Machinery behind the public surface; nothing here is stable between releases."""
