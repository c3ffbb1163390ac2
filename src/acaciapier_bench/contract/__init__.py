"""Bytes that a build sends and stores, kept to check later builds against them."""
