"""The platform's side of a broker: clients' protocol, discovery's endpoint list, other brokers."""
