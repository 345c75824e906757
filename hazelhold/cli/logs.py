"""Structured logs on structlog: for people, or as JSON lines. Every line on a guest has its id."""

import fcntl
import logging
import os
import stat
import sys
import termios
from typing import TextIO

import structlog


class Lines(logging.Handler):
    """What libraries log, as lines like all others: the reason of a fault in a word, no traceback."""

    def emit(self, record: logging.LogRecord) -> None:
        wrong = record.exc_info[1] if record.exc_info else None
        structlog.get_logger().log(
            record.levelno,
            record.name,
            said=record.getMessage().strip()[:200],
            **({"reason": repr(wrong)[:200]} if wrong else {}),
        )


def pipe_of(stream: TextIO) -> tuple[int | None, int]:
    """The descriptor of a stream that is a pipe, and how much that holds; None if it is something else."""
    try:
        descriptor = stream.fileno()
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return None, 0
        return descriptor, fcntl.fcntl(descriptor, fcntl.F_GETPIPE_SZ)
    except (AttributeError, OSError, ValueError):
        return None, 0


class Unfailing:
    """A stream for logs: a line that cannot be written (full disk, closed pipe, a pipe that nobody reads) is
    dropped and counted, so that a log ends or stops nothing."""

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
        """Bytes in the pipe."""
        return int.from_bytes(fcntl.ioctl(self.pipe, termios.FIONREAD, bytes(4)), sys.byteorder)

    def flush(self) -> None:
        try:
            self.stream.flush()
        except (OSError, ValueError):
            self.dropped += 1


def set_up(form: str, level: str) -> None:
    """Logs go to standard error; `form` is human or json, `level` debug, info, warning or error."""
    render = (
        structlog.processors.JSONRenderer()
        if form == "json"
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
        logger_factory=structlog.PrintLoggerFactory(Unfailing(sys.stderr)),
    )
    logging.basicConfig(handlers=[Lines()], level=logging.WARNING, force=True)
