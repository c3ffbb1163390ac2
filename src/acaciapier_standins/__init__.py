"""Small stand-ins for the outside systems that acaciapier meets."""
