"""Experiments: runs under random faults, with a checker for each. Started by `harriertide lab`."""
