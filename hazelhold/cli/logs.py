"""Structured logs on structlog: for people, or as JSON lines. Every line on a guest has its id."""

import logging
import sys

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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    logging.basicConfig(handlers=[Lines()], level=logging.WARNING, force=True)
