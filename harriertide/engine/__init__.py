"""Runs a core on an event loop: runtime, clock, log and recorded workloads. Independent of HTTP."""
