"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides anything, and no name of the platform occurs outside.
"""
