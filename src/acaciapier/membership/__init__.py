"""Which instances and targets are live, leaving or gone."""
