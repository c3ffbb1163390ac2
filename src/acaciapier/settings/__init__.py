"""Settings files: JSON with comments, checked as a whole."""
