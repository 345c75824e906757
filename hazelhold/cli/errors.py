"""How commands end when something is wrong: a line that says what, and a code."""

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
    """What is wrong with a file or an address is said in a line and ends with 2, never with a traceback."""

    @wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:  # noqa: ANN401 - as click calls it
        try:
            command(*args, **kwargs)
        except (ConfigError, RecordError, StateError) as wrong:
            click.echo(str(wrong), err=True)
            sys.exit(2)
        except OSError as wrong:
            click.echo(f"{wrong.filename or 'network'}: {wrong.strerror or wrong}", err=True)
            sys.exit(2)
        except BaseExceptionGroup as group:
            faults = list(leaves(group))
            if any(isinstance(f, KeyboardInterrupt) for f in faults):
                sys.exit(130)
            if not all(isinstance(f, OSError | ConfigError | StateError) for f in faults):
                traceback.print_exc()
            for fault in faults:
                click.echo(f"{type(fault).__name__}: {fault}", err=True)
            sys.exit(2)

    return run


def leaves(group: BaseException) -> list[BaseException]:
    if not isinstance(group, BaseExceptionGroup):
        return [group]
    return [leaf for each in group.exceptions for leaf in leaves(each)]
