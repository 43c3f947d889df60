"""Small stand-ins for clients, disk nodes, discovery and the platform, shared by the cases of this review."""
