"""Whole numbers in headers that other processes send: from callers, operators and replicas."""

MAX_DIGITS = 15  # more are no count, time or version of ours, and Python refuses to read very long numbers


def whole_number(text: str | None) -> int | None:
    """Return the whole number in a header, None if it holds none or has no such header.

    >>> whole_number(' 15 '), whole_number('-1'), whole_number('\\u00b2'), whole_number('9' * 5000), whole_number(None)
    (15, None, None, None, None)
    """
    digits = (text or '').strip()
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS):
        return None
    return int(digits)
