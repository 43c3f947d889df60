"""Agreement and maintenance in a running broker: the pure rooms on an event loop, a disk and a wire."""
