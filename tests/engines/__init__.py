"""Tests of the control of engines."""
