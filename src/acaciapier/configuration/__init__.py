"""Accepted configuration: its log, its replicas and its distribution."""
