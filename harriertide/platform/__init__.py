"""Integration with the platform: its client protocol, its endpoint list, datagrams between brokers.

The platform is the customer's installation that starts brokers with a configuration file (LB_CONFIG). The
word does not mean the operating system here.
"""
