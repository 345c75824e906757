"""The boundary around the reading of input: of messages of peers, and of a configuration at a reload.

An error that a reader does not declare is a fault of this program. It is logged with its traceback, and costs
the sender of the input its connection, not all peers the process. The boundary is around readers alone,
which change nothing but their result: a step of the engine that fails may leave its state half changed, so
its errors still end the process.
"""

from collections.abc import Callable
from typing import ParamSpec, TypeVar

import structlog

from hazelhold.platform.codec import CodecError
from hazelhold.platform.translation import InvalidSubmissionError

P = ParamSpec("P")
T = TypeVar("T")

INVALID_MESSAGE = (CodecError, InvalidSubmissionError)  # what readers of messages declare


class ReadingFaultError(Exception):
    """A reader failed with an error that it does not declare. `code` is one word for counters."""

    code = "reading_fault"

    def __init__(self, cause: Exception) -> None:
        super().__init__(repr(cause))
        self.text = repr(cause)


def guarded(read: Callable[P, T], declared: tuple[type[Exception], ...] = INVALID_MESSAGE) -> Callable[P, T]:
    """Returns a reader that raises ReadingFaultError in place of errors other than the declared ones."""

    def reader(*args: P.args, **kwargs: P.kwargs) -> T:
        try:
            return read(*args, **kwargs)
        except declared:
            raise
        except Exception as error:
            structlog.get_logger().error("reading_failed", reader=read.__qualname__, exc_info=error)
            raise ReadingFaultError(error) from error

    return reader
