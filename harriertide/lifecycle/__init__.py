"""The life of a broker's process: its state machine, the operators' address, upgrades in place."""
