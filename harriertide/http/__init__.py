"""HTTP as bytes: bounded connections to storage nodes and of clients, and their pools."""
