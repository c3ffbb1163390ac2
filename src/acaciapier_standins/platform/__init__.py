"""Stand-in of the users' platform: its store of objects and its workers."""
