"""Decisions on the request path: routing, limits, retries, hedges, blocking."""
