"""The command line."""
