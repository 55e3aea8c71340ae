"""Typed rejections and call failures, returned as values instead of being raised."""

from dataclasses import dataclass
from enum import Enum


class RejectionStage(Enum):
    """The stage of input processing at which input was rejected."""

    FRAMING = "framing"
    PARSING = "parsing"
    ADMISSION = "admission"


@dataclass(frozen=True, slots=True)
class Rejection:
    """Input that is rejected and not processed further.

    Attributes:
        stage: The stage that rejected it.
        reason: What is wrong with the input, for the log.
        breaks_framing: The start of the next line can no longer be determined, so that the
            connection must be closed.
    """

    stage: RejectionStage
    reason: str
    breaks_framing: bool = False


class CallProgress(Enum):
    """The last step that an HTTP call had completed when it failed."""

    NOT_CONNECTED = "not connected"
    CONNECTED = "connected"
    REQUEST_SENT = "request sent"
    RESPONSE_HEAD = "response head"
    RESPONSE_BODY = "response body"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """An HTTP call that returned no complete response.

    Attributes:
        progress: The last step that the call had completed.
        reason: What failed, for the log.
        timed_out: The call exceeded its time limit.
    """

    progress: CallProgress
    reason: str
    timed_out: bool = False

    def log_fields(self) -> dict[str, str | int]:
        """Returns the failure as fields of a log event."""
        return {
            "reached": self.progress.value,
            "why": self.reason,
            "timed_out": self.timed_out,
        }
