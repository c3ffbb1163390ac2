"""The gateway: forwards callers' requests to the platform's workers."""
