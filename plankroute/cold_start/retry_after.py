"""The header field Retry-After."""

from email.utils import parsedate_to_datetime

from plankroute.units import SECOND_US

MAX_DIGITS = 9  # of seconds: thirty years; what is longer is nonsense


def parse_retry_after(field: bytes | None, unix_s: float) -> int | None:
    """Microseconds to wait, after RFC 9110, section 10.2.3.

    Args:
        field: the value of the field: seconds or a date; None where there was none.
        unix_s: the time of day, which a date is compared with.

    Returns:
        None where there is no field, or it is neither seconds nor a date.
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
