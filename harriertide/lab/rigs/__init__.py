"""What real broker processes run on: scripts of faults, relays, stand-in nodes, clients and logs."""
