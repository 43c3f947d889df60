"""HTTP connections to storage nodes and from clients, with limits on their number and memory."""
