"""Machines taken out for work in an order that the brokers settle among themselves. Pure."""
