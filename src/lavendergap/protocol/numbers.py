"""Whole numbers in the headers of other processes."""


def read_count(text: bytes, *, most: int) -> int:
    """Return the number from 0 to `most` in `text`; raises ValueError for another text.

    Python's integers have no limit, but floats and the messages between hosts do: a
    number of hundreds of digits would raise OverflowError wherever it is used.

    >>> read_count(b" 12", most=99)
    12
    >>> read_count(b"9" * 400, most=99)
    Traceback (most recent call last):
    ...
    ValueError: expected a number from 0 to 99
    """
    digits = text.strip()
    if digits.isdigit() and len(digits) <= len(str(most)):
        number = int(digits)
        if number <= most:
            return number
    raise ValueError(f"expected a number from 0 to {most}")
