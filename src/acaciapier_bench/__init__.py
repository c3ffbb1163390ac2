"""Load, experiment and history-checking tool on the stand-ins."""
