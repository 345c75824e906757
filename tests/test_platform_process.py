"""A planner process on loopback sockets, started as the platform starts it."""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from hazelhold.platform.codec import ANSWER, END, TEST, TESTED, BinaryMessage, BinaryReader, encode_binary
from hazelhold.rehearse.ports import free_ports
from tests.bound_process import end_with_parent
from tests.platform_rig import DEPLOYMENT, event, host, set_up


def served(answer: callable) -> tuple[socket.socket, str]:
    """Starts a listener on loopback that runs `answer` for each connection in a thread of its own."""
    listener = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                stream = listener.accept()[0]
                threading.Thread(target=answer, args=(stream,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener, f"127.0.0.1:{listener.getsockname()[1]}"


def unused_address() -> str:
    """An address at which nothing listens, and that no process of another test takes meanwhile."""
    return f"127.0.0.1:{free_ports(1)[0]}"


def bounded() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))


def machine(stream: socket.socket) -> None:
    with contextlib.suppress(OSError):
        for raw in stream.makefile("rb"):
            line = json.loads(raw)
            if line["op"] == "test":
                said = {"op": "tested", "call": line["call"], "with": {"load": "x0:20;x1:30"}, "why": 1}
            elif line["op"] == "offer":
                said = {"op": "accept", "call": line["call"], "with": {}, "desc": "mine\r\n"}
            else:
                continue
            stream.sendall(json.dumps(said).encode() + b"\n")


def bulletin(asked: list[str]) -> callable:
    """A discovery service without new events: it answers after the requested wait."""

    def answer(stream: socket.socket) -> None:
        wait = 0.0
        with contextlib.suppress(OSError):
            for raw in stream.makefile("rb"):
                if raw.startswith(b"GET"):
                    asked.append(raw.decode())
                    wait = int(raw.split()[1].partition(b"patience=")[2]) / 1000
                if raw == b"\r\n":
                    time.sleep(wait)
                    stream.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"no": 1,"items":[]}')

    return answer


class Talk:
    def __init__(self, address: str) -> None:
        name, port = address.split(":")
        self.stream = socket.create_connection((name, int(port)), timeout=10)
        self.reader = BinaryReader()

    def ask(self, binary: BinaryMessage) -> BinaryMessage:
        self.say(binary)
        return self.hear()

    def say(self, binary: BinaryMessage) -> None:
        self.stream.sendall(encode_binary(binary))

    def hear(self) -> BinaryMessage:
        while True:
            data = self.stream.recv(1 << 16)
            if not data:
                raise ConnectionError("closed without an answer")
            if found := self.reader.feed(data):
                return found[0]


@pytest.fixture
def planner(tmp_path: Path) -> Iterator[tuple]:
    with started(tmp_path) as made:
        yield made


@contextlib.contextmanager
def started(tmp_path: Path) -> Iterator[tuple]:
    """Yields the process, its address, its file, and a function that writes the file for a discovery address.
    The process is limited to the descriptors that its file allows."""
    with contextlib.ExitStack() as stack:
        address = unused_address()
        door, at = served(machine)
        stack.enter_context(door)
        path = tmp_path / "config.json"

        def write(where: str) -> None:
            known = {"no": 1, "items": [event(1, host("a", dial=at), whole=True)]}
            path.write_text(
                json.dumps(
                    {
                        "name": "n0",
                        "listen": address,
                        "seed": "8c1f",
                        "bulletin": where,
                        "known": known,
                        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
                        "settings": DEPLOYMENT,
                    }
                )
            )

        asked: list[str] = []
        news, where = served(bulletin(asked))
        stack.enter_context(news)
        write(where)
        command = [sys.executable, "-X", "importtime", "-m", "hazelhold", "planner", "--platform"]
        process = subprocess.Popen(
            command,
            env=os.environ | {"BALANCER_CONFIG": str(path)},
            stderr=subprocess.PIPE,
            text=True,
            preexec_fn=end_with_parent(bounded),
        )
        stack.callback(process.wait)
        stack.callback(process.kill)
        where = "127.0.0.1", int(address.split(":")[1])
        for _ in range(400):
            with contextlib.suppress(OSError), socket.create_connection(where):
                break
            time.sleep(0.05)
        yield process, address, path, write


def test_start_test_place_reload_and_stop(planner: tuple) -> None:
    process, address, path, write = planner
    talk = Talk(address)
    assert talk.ask(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"})) == BinaryMessage(
        TESTED, "00000000000000aa", {17: b"\1"}
    )
    assert talk.ask(set_up(1)) == BinaryMessage(ANSWER, f"{1:016x}", {18: b"mine\r\n"})

    asked: list[str] = []
    news, where = served(bulletin(asked))
    with news:
        path.write_text("{ half")
        process.send_signal(signal.SIGHUP)  # an invalid file changes nothing
        time.sleep(0.3)
        assert process.poll() is None and not asked
        write(where)
        process.send_signal(signal.SIGHUP)
        for _ in range(100):
            if asked:
                break
            time.sleep(0.05)
        assert asked[0].startswith("GET /bulletins?after=1&patience=")

        process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        late = Talk(address)
        assert late.ask(set_up(2)).type == ANSWER  # still served
        assert late.ask(set_up(3, "nobody's")).type == END
        assert process.wait(10) == 0
    log = process.stderr.read()
    assert "configuration_refused" in log and "stopped" in log and "Traceback" not in log
    loaded = {line.rsplit("|", 1)[1].strip() for line in log.splitlines() if line.startswith("import time:")}
    assert "hazelhold.platform.planner" in loaded
    off = ("hazelhold.membership", "hazelhold.emulate", "hazelhold.rehearse", "xxhash", "prometheus_client")
    assert not [name for name in loaded if name.startswith(off)], "a platform planner must not load them"


def test_idle_connections_at_the_limit_while_discovery_is_down(planner: tuple) -> None:
    """Discovery, machines, probes and owners still get their descriptors, and the accept loop does not
    spin."""
    process, address, _, write = planner
    name, port = address.split(":")
    nowhere = unused_address()
    write(nowhere)
    process.send_signal(signal.SIGHUP)
    talk, test = Talk(address), BinaryMessage(TEST, "00000000000000aa", {17: b"\0"})
    assert talk.ask(test).cause == 1
    idle = [socket.create_connection((name, int(port)), timeout=10) for _ in range(150)]
    assert talk.ask(test).cause == 1  # silent ones are evicted first
    refused = Talk(address).ask(set_up(1, left="300"))
    assert refused.type == END and refused.cause == 34  # no offers by an unconfirmed list
    waits = Talk(address)
    waits.say(set_up(2, left="3000"))
    asked: list[str] = []
    news, where = served(bulletin(asked))
    with news:
        write(where)
        process.send_signal(signal.SIGHUP)
        for _ in range(400):
            if asked:
                break
            time.sleep(0.05)
        assert asked
        assert waits.hear().type == ANSWER
        late = Talk(address)
        assert late.ask(test).cause == 1 and late.ask(set_up(3)).type == ANSWER
        for each in idle:
            each.close()
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)  # twice, and during a reload
        assert late.ask(set_up(4)).type == ANSWER
        assert process.wait(10) == 0
    log = process.stderr.read()
    assert "Traceback" not in log and "Too many open files" not in log and "stopped" in log


@pytest.mark.parametrize("when", ["at once", "up"])
def test_a_planner_stopped_during_its_start_exits_without_errors(tmp_path: Path, when: str) -> None:
    address = unused_address()
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": address,
                "seed": "8c1f",
                "bulletin": address,
                "settings": DEPLOYMENT,
                "known": {"no": 1, "items": [event(1, host("a", dial=address), whole=True)]},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "hazelhold", "planner", "--platform"],
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=end_with_parent(),
    )
    log = ""
    try:
        while when == "up" and " up " not in log:
            line = process.stderr.readline()
            assert line, "it ended before it was up"
            log += line
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) in ((0,) if when == "up" else (0, -signal.SIGTERM))  # nothing was accepted
    finally:
        process.kill()
        log += process.communicate()[1]
    assert "Traceback" not in log and ("stopped" in log or when != "up")


def test_an_invalid_file_is_reported_line_by_line_with_exit_status_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text('{"name": "n0", "listen": "nowhere", "seed": "8c"}')
    done = subprocess.run(
        [sys.executable, "-m", "hazelhold", "planner", "--platform"],
        capture_output=True,
        env=os.environ | {"BALANCER_CONFIG": str(path)},
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and "Traceback" not in done.stderr
    for place in ("bulletin: is missing", "known: is missing", "settings: is missing", "listen: 'nowhere'"):
        assert place in done.stderr


def test_a_planner_on_sockets_loads_no_test_modules() -> None:
    """Memory above half of the limit has a cost, and memory streams alone added 8 MB."""
    said = subprocess.run(
        [
            sys.executable,
            "-c",
            "import hazelhold.platform.serve, sys; print([n for n in ("
            "'trio.testing', 'pytest', 'matplotlib', 'dpkt') if n in sys.modules])",
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert said.stdout.strip() == "[]"
