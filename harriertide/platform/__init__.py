"""The platform's side of a broker: clients' protocol, discovery's endpoint list, other brokers.

The platform is the customers' installation that starts brokers (`harriertide run`) with a configuration file;
it is not the operating system.
"""
