"""Client of the platform's object API, with its budget."""
