"""The commands, and what starts everything."""
