"""Programs in virtual time: an event loop with a clock of its own, stand-in nodes, fleets of brokers."""
