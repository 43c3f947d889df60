"""The platform's side of a broker: clients' protocol, discovery's endpoint list, other brokers.

The platform is the customers' installation that starts brokers with a configuration file (LB_CONFIG); it is
not the operating system.
"""
