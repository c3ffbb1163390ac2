"""Adapter to the users' platform: its names, formats and calls.

This package makes no serving decisions, and no other package uses the platform's names.
"""
