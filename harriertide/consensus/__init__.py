"""Consensus between brokers: a log replicated by Raft. Only `store` and `transport` perform I/O."""
