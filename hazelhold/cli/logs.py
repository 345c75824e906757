"""Structured logs on structlog, human-readable or as JSON lines. Every line about a guest has its id."""

import fcntl
import logging
import os
import stat
import sys
import termios
from typing import TextIO

import structlog


class LibraryLogHandler(logging.Handler):
    """Writes the log records of libraries in the common format: the error in brief, without a traceback."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        structlog.get_logger().log(
            record.levelno,
            record.name,
            said=record.getMessage().strip()[:200],
            **({"reason": repr(error)[:200]} if error else {}),
        )


def pipe_of(stream: TextIO) -> tuple[int | None, int]:
    """Returns the descriptor of a stream that is a pipe, and its capacity in bytes; None and 0 otherwise."""
    try:
        descriptor = stream.fileno()
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return None, 0
        return descriptor, fcntl.fcntl(descriptor, fcntl.F_GETPIPE_SZ)
    except (AttributeError, OSError, ValueError):
        return None, 0


class SafeLogStream:
    """A stream for logs that never fails or blocks: a line that cannot be written (full disk, closed pipe, a
    pipe that nobody reads) is dropped and counted."""

    def __init__(self, stream: TextIO) -> None:
        self.stream, self.dropped = stream, 0
        self.pipe, self.capacity = pipe_of(stream)

    def write(self, text: str) -> int:
        try:
            if self.pipe is not None and self._unread() > self.capacity // 2:
                raise BlockingIOError
            return self.stream.write(text)
        except (OSError, ValueError):
            self.dropped += 1
            return len(text)

    def _unread(self) -> int:
        """Returns the number of unread bytes in the pipe."""
        return int.from_bytes(fcntl.ioctl(self.pipe, termios.FIONREAD, bytes(4)), sys.byteorder)

    def flush(self) -> None:
        try:
            self.stream.flush()
        except (OSError, ValueError):
            self.dropped += 1


def set_up(log_format: str, level: str) -> None:
    """Sends logs to standard error; `log_format` is human or json, `level` debug, info, warning or error."""
    render = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(SafeLogStream(sys.stderr)),
    )
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING, force=True)
