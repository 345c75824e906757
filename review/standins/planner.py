"""A planner process, started by `run` of the deploy file as the operators do."""

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from zlib import crc32

from standins.bulletin import Bulletin
from standins.client import passes_test
from standins.record import Record

ROOT = Path(__file__).parent.parent.parent
DESCRIPTORS = 256


def free_address() -> str:
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{made.getsockname()[1]}"


class Planner:
    """One planner through all of its lives."""

    def __init__(self, name: str, folder: Path, settings: dict, bulletin: Bulletin, record: Record) -> None:
        self.name, self.settings, self.bulletin, self.record = name, settings, bulletin, record
        self.address = free_address()
        self.file, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.lives = 0

    def write_file(self, known: dict) -> None:
        new = self.file.with_suffix(".new")
        new.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": self.address,
                    "seed": f"{crc32(f'{self.name}/{self.lives}'.encode()):08x}",
                    "limits": {"cores": 1.0, "memory_mb": 128, "sockets": DESCRIPTORS},
                    "bulletin": self.bulletin.address,
                    "known": known,
                    "settings": self.settings,
                }
            )
        )
        new.replace(self.file)

    def start(self) -> None:
        self.lives += 1
        self.write_file(self.bulletin.known())
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"} | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.address,
            "BALANCER_CONFIG": str(self.file),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)),
            )
        self.record.note(self.name, "started")

    async def until_ready(self, seconds: float = 30.0) -> bool:
        """Tests it as the front does, until it passes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until and self.alive():
            if await passes_test(self.address):
                self.record.note(self.name, "passes its test")
                return True
            await asyncio.sleep(0.05)
        return False

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        if self.alive():
            self.record.note(self.name, f"is sent {number.name}")
            self.process.send_signal(number)

    def close(self) -> None:
        """Ends it, and puts the last lines of its log into the record."""
        if self.process is not None:
            if self.alive():
                self.process.kill()
            code = self.process.wait()
            self.record.note(self.name, f"ended with code {code}")
        if self.log.exists():
            for each in self.log.read_text(errors="replace").splitlines()[-40:]:
                self.record.note(self.name, "log: " + each[:300])
