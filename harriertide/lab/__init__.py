"""Experiments: nothing of the program imports this."""
