"""Orders to model engines, given under leases with fencing numbers."""
