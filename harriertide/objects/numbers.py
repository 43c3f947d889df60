"""Whole numbers in texts that clients send."""

from __future__ import annotations

MAX_DIGITS = 18  # as many as 64 bits hold; keeps the parse of a hostile text cheap


def is_short_integer(text: str, max_digits: int = MAX_DIGITS) -> bool:
    """Whether a text is a whole number without a sign, of no more than so many digits."""
    return text.isascii() and text.isdigit() and len(text) <= max_digits
