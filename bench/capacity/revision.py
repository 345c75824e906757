"""The revision of the code and inputs that a row depends on."""

import subprocess
from functools import cache
from hashlib import blake2b
from pathlib import Path

from bench.capacity.registry import Measurement

ROOT = Path(__file__).parent.parent.parent
SHARED = ("hazelhold", ":(glob)bench/*.py")
"""What every row depends on: the program, and the benchmarks whose measuring code is used."""

UNKNOWN = "unknown"
"""Without a repository no revision is known, and no row is kept."""


def revision(row: Measurement) -> str:
    """The last commit that changed what the row depends on, with a digest of changes not committed yet."""
    own = row.module.replace(".", "/") + ".py"
    return _revision((*SHARED, own, *row.inputs))


@cache
def _revision(paths: tuple[str, ...]) -> str:
    try:
        commit = _git("log", "-1", "--format=%h", "--abbrev=10", "--", *paths).decode().strip()
        changes = _git("diff", "HEAD", "--", *paths) + _untracked(paths)
    except (OSError, subprocess.CalledProcessError):
        return UNKNOWN
    if changes:
        return f"{commit or 'new'}+{blake2b(changes, digest_size=4).hexdigest()}"
    return commit or UNKNOWN


def _untracked(paths: tuple[str, ...]) -> bytes:
    names = _git("ls-files", "--others", "--exclude-standard", "-z", "--", *paths).split(b"\0")
    return b"".join(name + (ROOT / name.decode()).read_bytes() for name in names if name)


def _git(*arguments: str) -> bytes:
    return subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True).stdout
