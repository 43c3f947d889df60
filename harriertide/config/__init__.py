"""The operator's file, its checks, the plan of its changes, and the admin address that takes them."""
