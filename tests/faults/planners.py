"""Planner processes: started as the platform starts them, told and killed by signals."""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from zlib import crc32

import trio

from hazelhold.platform.codec import TEST, TESTED, BinaryMessage, BinaryReader, encode_binary
from hazelhold.rehearse.ports import free_ports
from tests.bound_process import end_with_parent
from tests.faults.discovery import Discovery
from tests.faults.record import Life, Record
from tests.faults.servers import Server
from tests.faults.shim_plan import SHIM_FOLDER, ShimPlan

ROOT = Path(__file__).parent.parent.parent
DESCRIPTORS = 256
KILL_AFTER = (
    0.7  # seconds after SIGTERM, beside the longest deadline, at which SIGKILL may come at the earliest
)
LONGEST_COUNTED = 3.0


def limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


class PlannerProcess:
    """One planner through all of its lives."""

    def __init__(
        self, name: str, folder: Path, settings: dict, record: Record, discovery: Discovery, plan: ShimPlan
    ) -> None:
        self.name, self.settings, self.record, self.discovery = name, settings, record, discovery
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.file, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.faults = folder / f"{name}.faults.json"
        plan.write(self.faults)
        self.process: subprocess.Popen | None = None
        self.life: Life | None = None
        self.lives = 0

    @property
    def longest_deadline(self) -> float:
        return min(LONGEST_COUNTED, max(each["deadline"] for each in self.settings["classes"]) / 1000)

    def write_file(self, known: dict) -> None:
        """Replaces the file whole, as the platform does."""
        raw = {
            "name": self.name,
            "listen": self.address,
            "seed": f"{crc32(f'{self.name}/{self.lives}'.encode()):08x}",
            "bulletin": self.discovery.address,
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": DESCRIPTORS},
            "settings": self.settings,
        }
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps(raw), encoding="utf-8")
        new.rename(self.file)

    def start(self, servers: list[Server], file_is_current: bool = True) -> None:
        self.lives += 1
        self.write_file(self.discovery.begin_life(servers, file_is_current))
        environment = os.environ | {
            "BALANCER_CONFIG": str(self.file),
            "HAZELHOLD_FAULTS": str(self.faults),
            "PYTHONPATH": f"{SHIM_FOLDER}{os.pathsep}{ROOT}",
        }
        command = [
            sys.executable,
            "-m",
            "hazelhold",
            "planner",
            "--platform",
            "--log",
            "json",
            "--level",
            "debug",
        ]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent(limit_descriptors),
            )
        self.life = Life(self.name, time.monotonic())
        self.record.lives.append(self.life)

    async def until_ready(self, seconds: float = 30.0) -> bool:
        """Tests it as the front does, until it passes."""
        life = self.life
        with trio.move_on_after(seconds):
            while life.ended_at is None:
                if await self._passes_test():
                    life.ready_at = time.monotonic()
                    return True
                await trio.sleep(0.05)
        return False

    async def _passes_test(self) -> bool:
        host, port = self.address.split(":")
        with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(1.0):
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(encode_binary(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"})))
                reader = BinaryReader()
                while data := await stream.receive_some(1 << 12):
                    if found := reader.feed(data):
                        return found[0].type == TESTED and found[0].cause == 1
        return False

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL as early as it may come."""
        life = self.life
        life.told_to_stop_at, life.expected_end = time.monotonic(), True
        self.signal(signal.SIGTERM)
        kill_at = life.told_to_stop_at + KILL_AFTER + self.longest_deadline
        while time.monotonic() < kill_at and self.process.poll() is None:
            await trio.sleep(0.01)
        if self.process.poll() is None:
            life.killed_at = time.monotonic()
            self.process.kill()
        await self._ended()

    async def kill(self) -> None:
        self.life.killed_at, self.life.expected_end = time.monotonic(), True
        self.signal(signal.SIGKILL)
        await self._ended()

    async def _ended(self) -> None:
        while self.process.poll() is None:
            await trio.sleep(0.005)
        self.life.ended_at, self.life.exit_code = time.monotonic(), self.process.returncode

    async def watch(self) -> None:
        """Notes an end that nobody asked for."""
        while True:
            if self.process is not None and self.process.poll() is not None and self.life.ended_at is None:
                if not self.life.expected_end:
                    self.life.ended_at, self.life.exit_code = time.monotonic(), self.process.returncode
            await trio.sleep(0.05)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def idle_connections(address: str, count: int) -> list[socket.socket]:
    """Connections that say nothing."""
    host, port = address.split(":")
    made = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            made.append(socket.create_connection((host, int(port)), timeout=1.0))
    return made
