"""Benchmarks: what something costs, against something of the same run. Started by `harriertide lab`."""
