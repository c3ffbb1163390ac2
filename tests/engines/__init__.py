"""Tests of engine control."""
