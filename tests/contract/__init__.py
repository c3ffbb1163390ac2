"""Tests of what builds exchange."""
