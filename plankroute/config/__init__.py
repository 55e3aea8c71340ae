"""Settings: the platform's and our own JSON file."""
