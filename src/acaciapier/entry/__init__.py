"""The entry process, which runs the requests of callers on targets."""
