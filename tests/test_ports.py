"""Ports for processes that are told theirs before they start: nobody else is given one meanwhile."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from hazelhold.rehearse.ports import (
    DEFAULT_EPHEMERAL,
    FEWEST_PORTS,
    FIRST_PORT,
    LAST_PORT,
    PortsError,
    ephemeral_ports,
    fixed_ports,
    free_ports,
)

KINDS = [socket.SOCK_STREAM, socket.SOCK_DGRAM]


@pytest.mark.parametrize("kind", KINDS)
def test_no_socket_bound_to_port_0_can_take_one(kind: int) -> None:
    first, last = ephemeral_ports()
    assert not [port for port in free_ports(50, kind) if first <= port <= last]


@pytest.mark.parametrize("kind", KINDS)
def test_they_can_be_bound_and_are_not_given_twice(tmp_path: Path, kind: int) -> None:
    seen: list[int] = []
    for _ in range(20):
        seen += free_ports(5, kind, cursor=tmp_path / "cursor")
    assert len(set(seen)) == 100
    for port in seen:
        with socket.socket(socket.AF_INET, kind) as bound:
            bound.bind(("127.0.0.1", port))


def test_processes_that_ask_at_once_are_given_different_ones(tmp_path: Path) -> None:
    program = (
        "import sys; from pathlib import Path; from hazelhold.rehearse.ports import free_ports\n"
        "for _ in range(50): print(*free_ports(4, cursor=Path(sys.argv[1])))"
    )
    asking = [
        subprocess.Popen(
            [sys.executable, "-c", program, str(tmp_path / "cursor")], stdout=subprocess.PIPE, text=True
        )
        for _ in range(4)
    ]
    ports = [port for each in asking for port in each.communicate(timeout=60)[0].split()]
    assert len(ports) == 800 and len(set(ports)) == 800


def test_a_port_that_is_bound_is_left_out_and_the_range_is_gone_round(tmp_path: Path) -> None:
    start = free_ports(5)[0]
    choice = range(start, start + 5)
    cursor = tmp_path / "cursor"
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", choice[1]))
        assert free_ports(3, choice=choice, cursor=cursor) == [choice[0], choice[2], choice[3]]
        assert free_ports(2, choice=choice, cursor=cursor) == [choice[4], choice[0]]
        with pytest.raises(PortsError, match="5 free ports are needed, 4 were found"):
            free_ports(5, choice=choice, cursor=cursor)


@pytest.mark.parametrize("content", ["", "no port", "99999999", "-5", "²"])
def test_a_cursor_that_says_nothing_starts_at_the_first(tmp_path: Path, content: str) -> None:
    cursor = tmp_path / "cursor"
    cursor.write_text(content, encoding="utf-8")
    choice = range(start := free_ports(3)[0], start + 3)
    assert free_ports(1, choice=choice, cursor=cursor) == [start]
    assert cursor.read_text() == str(start)


def test_the_range_of_the_system_is_read(tmp_path: Path) -> None:
    told = tmp_path / "range"
    assert ephemeral_ports(told) == DEFAULT_EPHEMERAL
    told.write_text("15000\t16000\n")
    assert ephemeral_ports(told) == (15_000, 16_000)
    told.write_text("15000\n")
    assert ephemeral_ports(told) == DEFAULT_EPHEMERAL


def test_the_larger_side_of_the_ephemeral_ports_is_used() -> None:
    assert fixed_ports((32_768, 60_999)) == range(FIRST_PORT, 32_768)
    assert fixed_ports((15_000, 30_000)) == range(30_001, LAST_PORT + 1)
    assert fixed_ports((1_024, LAST_PORT)) == range(FIRST_PORT, LAST_PORT + 1)
    assert fixed_ports((FIRST_PORT + FEWEST_PORTS - 1, LAST_PORT)) == range(FIRST_PORT, LAST_PORT + 1)
