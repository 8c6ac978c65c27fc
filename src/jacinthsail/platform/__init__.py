"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Each message is decoded once into the types of ``jacinthsail.internal.model``.
"""
