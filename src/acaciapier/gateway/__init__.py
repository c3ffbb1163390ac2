"""Gateway that forwards callers' requests to the platform's workers."""
