"""Earlier revisions of the program, each with its own environment, created once and kept in `.pairs`."""

import fcntl
import subprocess
import sys
from pathlib import Path

from tests.pairs.revisions import Earlier

ROOT = Path(__file__).parent.parent.parent
CACHE = ROOT / ".pairs"


class NoHistoryError(Exception):
    """The revision is not in this clone: the comparison cannot run, which is a failure."""


def run(*command: str, cwd: Path = ROOT) -> str:
    done = subprocess.run(command, cwd=cwd, capture_output=True, text=True, timeout=600)
    if done.returncode:
        raise NoHistoryError(f"{' '.join(command)}: {done.stderr.strip()[-500:]}")
    return done.stdout


def program(earlier: Earlier) -> tuple[str, Path]:
    """The Python and the folder of an earlier revision; NoHistoryError where the history does not have it."""
    CACHE.mkdir(exist_ok=True)
    folder = CACHE / earlier.revision
    python = folder / ".venv" / "bin" / "python"
    with (CACHE / f"{earlier.revision}.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)  # several workers may want it at once
        ready = folder / ".venv" / "ready"
        if not ready.exists():
            run("git", "cat-file", "-e", f"{earlier.revision}^{{commit}}")
            if not folder.exists():
                run("git", "worktree", "prune")
                run("git", "worktree", "add", "--detach", str(folder), earlier.revision)
            run(sys.executable, "-m", "venv", str(folder / ".venv"))
            run(str(python), "-m", "pip", "-q", "install", "-r", "requirements.txt", cwd=folder)
            ready.touch()
    return str(python), folder
