"""The broker inside an application."""
