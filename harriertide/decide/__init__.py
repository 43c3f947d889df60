"""The decision module: events in, actions out; pure."""
