"""The operator's file: what it may say, how it differs from what runs, and how that is applied."""
