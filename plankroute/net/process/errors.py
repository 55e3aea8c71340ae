"""Typed rejections and call failures, returned as values instead of being raised."""

from dataclasses import dataclass
from enum import Enum


class RejectionStage(Enum):
    """Where on its way into the controller a piece of input was rejected."""

    FRAMING = "framing"
    PARSING = "parsing"
    ADMISSION = "admission"


@dataclass(frozen=True, slots=True)
class Rejection:
    """Input that goes no further.

    Attributes:
        stage: Where it was rejected.
        reason: What is wrong with it, for the log.
        breaks_framing: Where the next line begins is not known any more, so that the connection is
            of no further use.
    """

    stage: RejectionStage
    reason: str
    breaks_framing: bool = False


class CallProgress(Enum):
    """How far an HTTP call had come when it failed."""

    NOT_CONNECTED = "not connected"
    CONNECTED = "connected"
    REQUEST_SENT = "request sent"
    RESPONSE_HEAD = "response head"
    RESPONSE_BODY = "response body"


@dataclass(frozen=True, slots=True)
class CallFailure:
    """An HTTP call that brought no complete response."""

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
