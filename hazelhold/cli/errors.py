"""How commands report errors: one line on standard error, and an exit code."""

import sys
import traceback
from collections.abc import Callable
from functools import wraps
from typing import Any

import click

from hazelhold.config.load import ConfigError
from hazelhold.protocol.record import RecordError
from hazelhold.state.store import StateError


def report_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Wraps a command: an error in a file or an address is reported in one line with exit code 2, without a
    traceback."""

    @wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:  # noqa: ANN401 - as click calls it
        try:
            command(*args, **kwargs)
        except (ConfigError, RecordError, StateError) as error:
            click.echo(str(error), err=True)
            sys.exit(2)
        except OSError as error:
            click.echo(f"{error.filename or 'network'}: {error.strerror or error}", err=True)
            sys.exit(2)
        except BaseExceptionGroup as group:
            errors = list(leaves(group))
            if any(isinstance(e, KeyboardInterrupt) for e in errors):
                sys.exit(130)
            if not all(isinstance(e, OSError | ConfigError | StateError) for e in errors):
                traceback.print_exc()
            for error in errors:
                click.echo(f"{type(error).__name__}: {error}", err=True)
            sys.exit(2)

    return run


def leaves(group: BaseException) -> list[BaseException]:
    """Returns the exceptions of a group and of the groups in it."""
    if not isinstance(group, BaseExceptionGroup):
        return [group]
    return [leaf for each in group.exceptions for leaf in leaves(each)]
