"""The platform's protocol: its front, its fields, discovery and the other brokers."""
