"""The entry process, between callers and targets."""
