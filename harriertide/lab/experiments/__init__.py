"""Experiments: runs under drawn faults, each judged by a checker. Started by `harriertide lab`."""
