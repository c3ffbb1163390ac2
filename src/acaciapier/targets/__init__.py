"""Clients of engines, pools and plain services."""
