"""Queueing, refusing and placing: decided for a service by one instance at a time."""
