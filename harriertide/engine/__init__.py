"""What runs a core on an event loop: runtime, clock, log. Nothing here is HTTP."""
