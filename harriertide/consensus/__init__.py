"""Agreement between brokers: a replicated log after Raft. Pure but for `store` and `transport`."""
