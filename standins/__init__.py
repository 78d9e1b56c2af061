"""Simulators of the systems around an entry host, for tests and measurements."""
