"""Simulated platform of a gateway: object store and workers."""
