"""Child processes that the kernel ends with the test process that started them, whatever way that ends."""

import ctypes
import os
import signal
import subprocess
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import BinaryIO

import trio

PR_SET_PDEATHSIG = 1  # of linux/prctl.h
LIBC = ctypes.CDLL(None, use_errno=True)  # loaded here: nothing is to be loaded between fork and exec
EXIT_LOOK = 0.005  # seconds between looks whether a child has ended


def end_with_parent(also: Callable[[], None] | None = None) -> Callable[[], None]:
    """A `preexec_fn`: SIGKILL reaches the child once its parent is gone. `also` is called after it.

    The kernel counts the end of the thread that forked as the end of the parent, so only the main thread may
    start such a child.
    """
    if threading.current_thread() is not threading.main_thread():
        raise RuntimeError("a child that ends with its parent is started by the main thread")
    parent = os.getpid()

    def prepare() -> None:
        if LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0):
            raise OSError(ctypes.get_errno(), "prctl")
        if os.getppid() != parent:  # the parent ended before the kernel was told
            os.kill(os.getpid(), signal.SIGKILL)
        if also is not None:
            also()

    return prepare


class BoundProcess:
    """A child that ends with this process and whose standard output is read without blocking."""

    def __init__(self, command: Sequence[str], stderr: BinaryIO, cwd: Path | None = None) -> None:
        """`trio.lowlevel.open_process` forks in a worker thread, which ends before this process does."""
        read_end, write_end = os.pipe()
        try:
            self.process = subprocess.Popen(
                command, stdout=write_end, stderr=stderr, cwd=cwd, preexec_fn=end_with_parent()
            )
        except BaseException:
            os.close(read_end)
            raise
        finally:
            os.close(write_end)
        self.stdout = trio.lowlevel.FdStream(read_end)

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def returncode(self) -> int | None:
        return self.process.poll()

    def poll(self) -> int | None:
        return self.process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        self.process.kill()

    async def wait(self) -> int:
        while self.process.poll() is None:
            await trio.sleep(EXIT_LOOK)
        await self.stdout.aclose()
        return self.process.returncode
