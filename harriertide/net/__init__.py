"""The wire: performs the effects that the core asks for and tells it what has happened."""
