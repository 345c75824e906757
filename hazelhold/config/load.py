"""Reads JSON5 into typed structures and finds all that is wrong at once, each with file, place and reason."""

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
    """All that is wrong with a file; `faults` holds a (place, reason) for each."""

    def __init__(self, file: str, faults: list[tuple[str, str]]) -> None:
        super().__init__("\n".join(f"{file}: {place}: {reason}" for place, reason in faults))
        self.file, self.faults = file, faults


def parse(text: str, file: str) -> object:
    """JSON5 as plain values; a syntax error names line and column."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as wrong:
        said = str(wrong.args[0]) if wrong.args else str(wrong)
        at = getattr(wrong, "character", None)
        digits = "".join(c for c in said.rsplit("near", 1)[-1].split(",")[0] if c.isdigit())
        place = "syntax"
        if digits:
            before = text[: max(0, int(digits) - 1)]
            place = f"line {before.count(chr(10)) + 1}, column {len(before) - before.rfind(chr(10))}"
        raise ConfigError(file, [(place, f"not JSON5: {said}" + (f" ({at!r})" if at else ""))]) from None


def build(kind: type[T], value: object, file: str) -> T:
    """Plain values as a structure of this kind; ConfigError names every place that does not fit."""
    faults: list[tuple[str, str]] = []
    made = _walk(kind, value, "", faults)
    if faults:
        raise ConfigError(file, faults)
    return made


def _walk(kind: Any, value: object, place: str, faults: list[tuple[str, str]]) -> Any:  # noqa: ANN401
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
        given = {}
        for name, field in fields.items():
            if name in value:
                given[field.name] = _walk(field.type, value[name], f"{place}.{name}".lstrip("."), faults)
            elif field.required:
                faults.append((f"{place}.{name}".lstrip("."), "is missing"))
        return kind(**given) if not faults else None
    if get_origin(kind) is Annotated and get_origin(get_args(kind)[0]) is list and value:
        kind = get_args(kind)[0]  # of what such a list may be, only its being empty is checked here
    if get_origin(kind) is list and isinstance(value, list):
        return [_walk(get_args(kind)[0], item, f"{place}[{at}]", faults) for at, item in enumerate(value)]
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as wrong:
        faults.append((here, str(wrong)))
        return None


PASSING = frozenset((errno.EIO, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EAGAIN, errno.EINTR))
"""Errors of reading a file that may be gone a moment later."""

READ_AGAIN = 0.1  # seconds between tries


def read_text(path: Path, tries: int = 1) -> str:
    """The file's text. `tries`: how often a read that fails for want of something or in the device is made;
    more than once only where nothing else waits meanwhile. ConfigError if it cannot be read."""
    for left in reversed(range(tries)):
        try:
            return path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as wrong:
            if left and getattr(wrong, "errno", None) in PASSING:
                time.sleep(READ_AGAIN)
                continue
            raise ConfigError(str(path), [("file", str(getattr(wrong, "strerror", None) or wrong))]) from None
    raise AssertionError("no try left")


def split_address(text: str) -> tuple[str, int]:
    """host:port; ValueError if it is not."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)
