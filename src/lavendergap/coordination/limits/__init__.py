"""How requests of customers with a limit are counted by all hosts together."""
