"""Identifiers, clocks, outcomes and findings shared by all packages."""
