"""Queues, admission and worker slots; one instance at a time dispatches a service."""
