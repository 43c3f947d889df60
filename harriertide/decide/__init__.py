"""The decision module: turns events into actions, without I/O."""
