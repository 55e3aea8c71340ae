"""Parser of the HTTP header field Retry-After."""

from email.utils import parsedate_to_datetime

from plankroute.units import SECOND_US

MAX_DIGITS = 9  # of the number of seconds: thirty years; a longer number is invalid


def parse_retry_after(field: bytes | None, unix_s: float) -> int | None:
    """Parse a Retry-After field according to RFC 9110, section 10.2.3.

    Args:
        field: Value of the field, seconds or a date; None if there is no field.
        unix_s: Current Unix time in seconds, from which the wait until a date is computed.

    Returns:
        Microseconds to wait, 0 for a date in the past; None if there is no field, or if it is
        neither seconds nor a date.
    """
    if field is None:
        return None
    text = field.decode("ascii", "replace").strip()
    if text.isdigit() and len(text) <= MAX_DIGITS:
        return int(text) * SECOND_US
    try:
        wait_s = parsedate_to_datetime(text).timestamp() - unix_s
        return max(0, int(wait_s * SECOND_US))
    except (TypeError, ValueError, OverflowError):
        return None
