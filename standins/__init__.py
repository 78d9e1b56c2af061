"""Small stand-ins for what surrounds an entry host; for tests and measurements."""
