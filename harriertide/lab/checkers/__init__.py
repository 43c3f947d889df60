"""Checkers: they read what a run wrote down, and share nothing with what they judge but the rules."""
