"""Adapter for the users' platform: names, message formats and store requests.

No decisions are made here. Each message is decoded once into types of
``jacinthsail.internal.model``.
"""
