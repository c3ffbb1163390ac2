"""Accounts of cost by workspace, pipeline and stage."""
