"""Reads JSON5 into typed structures. All errors of a file are reported together, with place and reason."""

import difflib
import errno
import time
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_origin

import msgspec
import pyjson5
from msgspec import Struct

T = TypeVar("T")


class ConfigError(Exception):
    """All errors of a file; `faults` holds a (place, reason) pair for each."""

    def __init__(self, file: str, faults: list[tuple[str, str]]) -> None:
        super().__init__("\n".join(f"{file}: {place}: {reason}" for place, reason in faults))
        self.file, self.faults = file, faults


def parse(text: str, file: str) -> object:
    """Parses JSON5 into plain values. ConfigError gives line and column of a syntax error."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        message = str(error.args[0]) if error.args else str(error)
        character = getattr(error, "character", None)
        digits = "".join(c for c in message.rsplit("near", 1)[-1].split(",")[0] if c.isdigit())
        place = "syntax"
        if digits:
            before = text[: max(0, int(digits) - 1)]
            place = f"line {before.count(chr(10)) + 1}, column {len(before) - before.rfind(chr(10))}"
        raise ConfigError(
            file, [(place, f"not JSON5: {message}" + (f" ({character!r})" if character else ""))]
        ) from None


def build(kind: type[T], value: object, file: str) -> T:
    """Converts plain values to the structure type `kind`. ConfigError lists every value that does not fit."""
    faults: list[tuple[str, str]] = []
    converted = _convert(kind, value, "", faults)
    if faults:
        raise ConfigError(file, faults)
    return converted


def _convert(kind: Any, value: object, place: str, faults: list[tuple[str, str]]) -> Any:  # noqa: ANN401
    here = place or "top"
    if isinstance(kind, type) and issubclass(kind, Struct):
        if not isinstance(value, dict):
            faults.append((here, f"expected an object, got {value!r:.40}"))
            return None
        fields = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        for key in value.keys() - fields.keys():
            near = difflib.get_close_matches(str(key), fields, 1)
            faults.append(
                (
                    f"{place}.{key}".lstrip("."),
                    "no such key" + (f"; did you mean {near[0]!r}?" if near else ""),
                )
            )
        arguments = {}
        for name, field in fields.items():
            if name in value:
                arguments[field.name] = _convert(
                    field.type, value[name], f"{place}.{name}".lstrip("."), faults
                )
            elif field.required:
                faults.append((f"{place}.{name}".lstrip("."), "is missing"))
        return kind(**arguments) if not faults else None
    if get_origin(kind) is Annotated and get_origin(get_args(kind)[0]) is list and value:
        kind = get_args(kind)[0]  # of the constraints on a list, only the minimum length of 1 is checked here
    if get_origin(kind) is list and isinstance(value, list):
        return [_convert(get_args(kind)[0], item, f"{place}[{at}]", faults) for at, item in enumerate(value)]
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        faults.append((here, str(error)))
        return None


TRANSIENT_ERRORS = frozenset((errno.EIO, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EAGAIN, errno.EINTR))
"""Errors of reading a file that may not recur when the read is repeated."""

RETRY_PAUSE = 0.1  # seconds between tries


def read_text(path: Path, tries: int = 1) -> str:
    """Reads a file as UTF-8; ConfigError if it cannot be read.

    `tries` is how often the read is tried if it fails with one of TRANSIENT_ERRORS. It blocks between the
    tries, so more than one is only for callers that nothing else waits for.
    """
    for left in reversed(range(tries)):
        try:
            return path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            if left and getattr(error, "errno", None) in TRANSIENT_ERRORS:
                time.sleep(RETRY_PAUSE)
                continue
            raise ConfigError(str(path), [("file", str(getattr(error, "strerror", None) or error))]) from None
    raise AssertionError("tries has to be at least 1")


def split_address(text: str) -> tuple[str, int]:
    """Splits host:port; brackets around an IPv6 address are removed. ValueError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)
