"""HTTP as bytes: bounded connections to boxes and of clients, and their pools."""
