"""What membership costs on real sockets: processor time of an idle planner, and a busy planner's throughput.

    python -m bench.membership_sockets [--seconds 20] [--rounds 4]

Idle: 16 planner processes without work, membership off and then on; their processor time from the kernel.
Busy: one planner with scripted peers (bench.throughput), with 15 members beside it in a process of their own,
off and on in turn; the best of each, as a ratio in one run.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import trio
from msgspec.structs import replace

from bench import throughput
from hazelhold.config.planner import ListConfig, MembershipConfig, PlannerConfig
from hazelhold.membership.host import MembershipHost
from hazelhold.rehearse.ports import free_ports
from hazelhold.rehearse.runners import config_text
from hazelhold.service.net import TcpNet

COUNT = 16


def addresses(count: int) -> list[str]:
    import socket

    return [f"127.0.0.1:{port}" for port in free_ports(count, socket.SOCK_DGRAM)]


def member(at: str, ports: list[str]) -> MembershipConfig:
    return MembershipConfig(listen=at, seeds=[p for p in ports[:3] if p != at])


def spent(pid: int) -> float:
    """Processor seconds of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def idle(on: bool, seconds: float) -> float:
    """Processor milliseconds a second of one idle planner, of 16."""
    ports = addresses(COUNT)
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        for number in range(COUNT):
            made: PlannerConfig = replace(
                throughput.planner_config("127.0.0.1:0"),
                name=f"p{number}",
                list=ListConfig(address="127.0.0.1:1"),
                membership=member(ports[number], ports) if on else MembershipConfig(),
            )
            file = Path(folder) / f"{number}.json"
            file.write_bytes(config_text(made))
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "hazelhold", "planner", "--config", str(file), "--level", "error"]
                )
            )
        time.sleep(8)
        before = [spent(p.pid) for p in processes]
        time.sleep(seconds)
        after = [spent(p.pid) for p in processes]
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()
    return 1000 * sum(b - a for a, b in zip(before, after, strict=True)) / COUNT / seconds


def others(ports: list[str]) -> None:
    """The 15 members beside, in one process, until it is ended."""

    async def run() -> None:
        net = TcpNet()
        async with trio.open_nursery() as nursery:
            for number, at in enumerate(ports[1:], 1):
                nursery.start_soon(MembershipHost(f"p{number}", member(at, ports), net).run)

    trio.run(run)


def busy(rounds: int) -> dict[str, float]:
    plain = throughput.planner_config
    rates: dict[str, list[float]] = {"off": [], "on": []}
    for _ in range(rounds):
        for mode in rates:
            ports = addresses(COUNT)
            beside = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    "import sys, structlog, logging\n"
                    "structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))\n"
                    "from bench.membership_sockets import others\nothers(sys.argv[1:])",
                    *ports,
                ]
            )
            time.sleep(2)
            config = member(ports[0], ports) if mode == "on" else MembershipConfig()
            throughput.planner_config = lambda *a, config=config, **k: replace(
                plain(*a, **k), membership=config
            )
            rates[mode].append(trio.run(throughput.sockets, 20, 200, 6000, 32)["guests_a_second"])
            beside.kill()
            beside.wait()
    throughput.planner_config = plain
    return {
        "off": round(max(rates["off"]), 1),
        "on": round(max(rates["on"]), 1),
        "ratio": round(max(rates["on"]) / max(rates["off"]), 3),
    }


def main() -> None:
    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=4)
    given = parser.parse_args()
    off, on = idle(False, given.seconds), idle(True, given.seconds)
    print(
        msgspec.json.encode(
            {
                "idle_off_ms_a_second": round(off, 2),
                "idle_on_ms_a_second": round(on, 2),
                "busy": busy(given.rounds),
            }
        ).decode()
    )


if __name__ == "__main__":
    main()
