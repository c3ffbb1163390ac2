"""Execution of one request over the stages of its pipeline."""
