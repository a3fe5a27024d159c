"""What decoding of bytes from others may raise."""

from typing import Final

import msgspec

DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    # Raised for values that are nested too deeply, also in skipped fields.
    RecursionError,
)
"""Exceptions of a decoder that mean that its input is malformed."""
