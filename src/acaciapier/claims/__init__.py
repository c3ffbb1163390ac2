"""Claims that let a request that may not be repeated run at most once."""
