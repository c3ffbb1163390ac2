"""Declared objects and the checks that span them."""
