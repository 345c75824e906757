"""Captures: writing, reading despite damage, stream reassembly, extracts and replays."""

import json
import struct
import time
import tracemalloc
from pathlib import Path
from random import Random

import dpkt
import msgspec
import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.capture.extract import ExtractFilter, extract
from hazelhold.capture.files import file_head, read_packets, record
from hazelhold.capture.packets import ACK, FIN, PSH, SYN, Segment, build, parse, parse_endpoint
from hazelhold.capture.read import Note, read
from hazelhold.capture.replay import replay
from hazelhold.capture.skips import Skips
from hazelhold.capture.streams import Frame
from hazelhold.capture.write import CaptureWriter
from hazelhold.cli.main import main
from hazelhold.config.day import read_day
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import frame
from hazelhold.rehearse.run import play_virtual

A, B = parse_endpoint("10.0.0.1:1000"), parse_endpoint("10.0.0.2:2000")
EXAMPLES = Path(__file__).parent.parent / "examples"
T = 1_790_000_000_000_000
START = {"n": "start", "p": "p@1", "planner": "p", "seed": 1, "sheet": {}, "module": "m", "offset": 0}


def submits(count: int, size: int = 0) -> list[bytes]:
    return [
        m.encode(
            m.Submit(guest=f"g{n}", product="p", service="s" * (1 + size), cores=1.0, memory=1.0, patience=5)
        )
        for n in range(count)
    ]


def stream(data: bytes, cuts: list[int], isn: int = 100, a: tuple = A, b: tuple = B) -> list[bytes]:
    """Packets of one direction of a connection, with the data split at the offsets in `cuts`."""
    found = [build(a, b, b"", isn, 0, SYN)]
    at = 0
    for cut in [*sorted({c for c in cuts if 0 < c < len(data)}), len(data)]:
        found.append(build(a, b, data[at:cut], (isn + 1 + at) & 0xFFFFFFFF, 0, PSH | ACK))
        at = cut
    return found


def save(path: Path, packets: list[bytes], is_pcapng: bool = False, times: list[int] | None = None) -> Path:
    path.write_bytes(
        file_head(is_pcapng)
        + b"".join(record(is_pcapng, times[n] if times else T + n * 1000, p) for n, p in enumerate(packets))
    )
    return path


def frames(*paths: Path) -> tuple[list[bytes], Skips]:
    skips = Skips()
    return [frame(item.body) for item in read(list(paths), skips) if isinstance(item, Frame)], skips


@pytest.mark.parametrize("is_pcapng", [False, True])
def test_every_prefix_is_readable_and_reports_its_truncation(tmp_path: Path, is_pcapng: bool) -> None:
    sent = submits(3)
    path = save(tmp_path / "c", stream(b"".join(sent), [len(sent[0]), len(sent[0]) * 2]), is_pcapng)
    whole = path.read_bytes()
    ends, at = set(), len(file_head(is_pcapng))
    for packet in read_packets(path, Skips()):
        ends.add(packet.offset)
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        found, skips = frames(path)
        assert found == sent[: len(found)]
        if cut not in ends and cut != 28 * is_pcapng:
            assert skips.table(), cut
        at += 1
    assert len(found) == 2 and frames(save(path, stream(b"".join(sent), []), is_pcapng))[0] == sent


def test_frames_split_at_every_byte_and_across_the_wrap_of_sequence_numbers(tmp_path: Path) -> None:
    sent = submits(3)
    data = b"".join(sent)
    for isn in (100, (1 << 32) - 50):
        assert frames(save(tmp_path / "c", stream(data, list(range(len(data))), isn)))[0] == sent


def test_reordered_repeated_and_contradicting_segments(tmp_path: Path) -> None:
    sent = submits(4)
    data = b"".join(sent)
    packets = stream(data, [40, 80, 120, 160, 200])
    shuffled = packets[:1] + packets[:0:-1] + packets[1:]
    found, skips = frames(save(tmp_path / "c", shuffled))
    assert found == sent and not skips.table()
    lie = build(A, B, b"x" * 30, 101, 0, ACK)
    found, skips = frames(save(tmp_path / "c", [*packets[:3], lie, *packets[3:]]))
    assert found == sent and skips.reasons() == {"contradicting overlap": 1}


def test_a_hole_is_reported_and_the_frames_after_it_are_read(tmp_path: Path) -> None:
    sent = submits(5)
    cuts = [sum(map(len, sent[:n])) for n in range(1, 5)]
    packets = stream(b"".join(sent), cuts)
    del packets[2]
    found, skips = frames(save(tmp_path / "c", packets))
    assert found == [sent[0], *sent[2:]] and skips.reasons() == {"hole in the stream": 1}
    assert skips.table()[0].bytes == len(sent[1]) and "10.0.0.1:1000" in skips.table()[0].stream


def test_one_direction_of_a_stream_that_began_before_the_file(tmp_path: Path) -> None:
    sent = submits(4)
    packets = stream(b"".join(sent), [30, 70, 140])
    found, skips = frames(save(tmp_path / "c", packets[2:]))
    assert found == sent[1:] and skips.reasons() == {"began before the file, up to the next frame": 1}


def test_a_second_connection_between_the_same_endpoints(tmp_path: Path) -> None:
    sent = submits(4)
    packets = (
        stream(b"".join(sent[:2]), []) + [build(A, B, b"", 9, 0, FIN)] + stream(b"".join(sent[2:]), [], 77)
    )
    found, skips = frames(save(tmp_path / "c", packets))
    assert found == sent and not skips.table()


def test_other_protocols_are_reported_once_per_stream(tmp_path: Path) -> None:
    web = stream(b"GET / HTTP/1.1\r\n\r\n" * 10, [50, 99], a=parse_endpoint("10.9.9.9:80"))
    udp = build(A, B, b"not a note")
    arp = b"\0" * 12 + b"\x08\x06" + b"\0" * 28
    found, skips = frames(save(tmp_path / "c", [*web, udp, arp, *stream(b"".join(submits(2)), [])]))
    assert len(found) == 2
    assert set(skips.reasons()) == {
        "other protocol in the stream",
        "other protocol, UDP",
        "other protocol 0x0806",
    }


def test_byte_orders_resolutions_links_and_tags(tmp_path: Path) -> None:
    sent = submits(1)
    v4, v6 = (
        build(A, B, sent[0], 5, 0, ACK),
        build(parse_endpoint("[::1]:9"), parse_endpoint("[::2]:8"), sent[0], 5, 0, ACK),
    )
    links = {
        1: v4[:12] + b"\x81\0\0\7\x88\xa8\0\1" + v4[12:],
        113: b"\0" * 14 + v4[12:],
        0: b"\2\0\0\0" + v4[14:],
        108: b"\0\0\0\x18" + v6[14:],
        101: v6[14:],
        276: v4[12:14] + b"\0" * 18 + v4[14:],
    }
    for order in "<>":
        for magic, unit in ((0xA1B2C3D4, 1), (0xA1B23C4D, 1000)):
            for link, data in links.items():
                (tmp_path / "c").write_bytes(
                    struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 65535, link)
                    + struct.pack(order + "IIII", 7, 5 * unit, len(data), len(data))
                    + data
                )
                packets = list(read_packets(tmp_path / "c", Skips()))
                assert [p.at for p in packets] == [7_000_005]
                assert parse(link, packets[0].data).payload == sent[0]
                assert frames(tmp_path / "c")[0] == sent


def test_payloads_cut_by_a_snap_length_are_reported(tmp_path: Path) -> None:
    sent = submits(3)
    packets = stream(b"".join(sent), [len(sent[0]), len(sent[0]) * 2])
    data = file_head(False) + b"".join(record(False, T, p[:90], len(p)) for p in packets)
    (tmp_path / "c").write_bytes(data)
    found, skips = frames(tmp_path / "c")
    assert found == [] and skips.reasons()["payload cut by the snap length"] == 3


def test_timestamps_that_go_back_keep_the_order_of_the_file(tmp_path: Path) -> None:
    sent = submits(3)
    packets = stream(b"".join(sent), [len(sent[0]), len(sent[0]) * 2])
    found, skips = frames(save(tmp_path / "c", packets, times=[T, T + 9, T + 3, T + 12]))
    assert found == sent and skips.reasons() == {"time goes back (kept in file order)": 1}


def test_several_files_are_merged_by_time(tmp_path: Path) -> None:
    sent = submits(4)
    packets = stream(b"".join(sent), [60, 120])
    save(tmp_path / "late", packets[2:], times=[T + 5, T + 6])
    save(tmp_path / "early", packets[:2], is_pcapng=True)
    assert frames(tmp_path / "late", tmp_path / "early")[0] == sent


@pytest.mark.parametrize("size", [0xFFFFFFFF, 0xFFFFFFF0, 1 << 31, 200_000])
def test_impossible_record_lengths(tmp_path: Path, size: int) -> None:
    sent = submits(30)
    cuts = [sum(map(len, sent[:n])) for n in range(1, 30)]
    packets = stream(b"".join(sent), cuts)
    data = bytearray(save(tmp_path / "c", packets).read_bytes())
    at = [p.offset for p in read_packets(tmp_path / "c", Skips())][10]
    data[at + 8 : at + 12] = struct.pack("<I", size)
    (tmp_path / "c").write_bytes(data)
    found, skips = frames(tmp_path / "c")
    assert found == sent[:9] + sent[10:] and skips.reasons()["bad record"] == 1


def test_memory_stays_bounded_for_very_many_streams_of_one_packet(tmp_path: Path) -> None:
    body = submits(1)[0][:-3]
    with (tmp_path / "c").open("wb") as file:
        file.write(file_head(False))
        for n in range(30_000):
            far = bytes((10, n >> 16, n >> 8 & 255, n & 255)), 7
            file.write(record(False, T + n, build(far, B, body, 5, 0, ACK)))
    tracemalloc.start()
    found, skips = frames(tmp_path / "c")
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert not found and peak < 64 << 20
    assert sum(r.count for r in skips.table()) >= 30_000 and len(skips.table()) <= 10_010


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.booleans())
def test_damage_in_one_stream_does_not_affect_undamaged_streams(
    tmp_path_factory: pytest.TempPathFactory, seed: int, is_pcapng: bool
) -> None:
    random, path = Random(seed), tmp_path_factory.mktemp("d") / "c"
    sent, packets = {}, []
    for number in range(6):
        a = parse_endpoint(f"10.0.1.{number}:{5000 + number}")
        sent[a] = submits(6, number)
        data = b"".join(sent[a])
        packets += stream(data, random.sample(range(1, len(data)), 6), random.randrange(1 << 32), a)
    order = [n % 6 for n in range(len(packets))]
    of = {
        n: [p for p in packets if parse(1, p).source == parse_endpoint(f"10.0.1.{n}:{5000 + n}")]
        for n in range(6)
    }
    mixed = [of[n].pop(0) for n in order if of[n]]
    save(path, mixed, is_pcapng)
    places = [(p.offset, len(p.data), parse(1, p.data).source) for p in read_packets(path, Skips())]
    data, damaged = bytearray(path.read_bytes()), set()
    for _ in range(3):  # flips a bit of the packet
        offset, size, source = random.choice(places)
        head = 28 if is_pcapng else 16
        data[offset + random.randrange(head, head + size)] ^= 1 << random.randrange(8)
        damaged.add(source)
        # a damaged address can put bytes into another stream: such cases are not compared
    path.write_bytes(data)
    found: dict[tuple, list[bytes]] = {}
    for item in read([path], Skips()):
        if isinstance(item, Frame):
            found.setdefault(item.source, []).append(frame(item.body))
    seen = {
        parse(1, p.data).source for p in read_packets(path, Skips()) if isinstance(parse(1, p.data), Segment)
    }
    for source, bodies in sent.items():
        if source not in damaged and len(seen) <= 6:
            assert found.get(source) == bodies


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=400), st.integers(0, 5), st.integers(0, 300))
def test_no_input_crashes_the_reader(
    tmp_path_factory: pytest.TempPathFactory, noise: bytes, head: int, cut: int
) -> None:
    valid = file_head(head % 2 == 1) + record(head % 2 == 1, T, build(A, B, submits(1)[0], 1, 0, SYN))
    path = tmp_path_factory.getbasetemp() / "noise"
    path.write_bytes(b"" if head == 5 else valid[:cut] + noise + (valid[cut:] if head > 2 else b""))
    found, skips = frames(path)
    assert len(found) <= 2
    replay(read([path], skips))


def test_dpkt_reads_written_captures(tmp_path: Path) -> None:
    for suffix, reader in (("pcap", dpkt.pcap.Reader), ("pcapng", dpkt.pcapng.Reader)):
        writer = CaptureWriter(tmp_path / f"c.{suffix}", START, T)
        from hazelhold.capture.write import CapturedConnection

        for a, b in ((A, B), (parse_endpoint("[::1]:9"), parse_endpoint("[::2]:8"))):
            captured_connection = CapturedConnection(writer, a, b, True, 0)
            captured_connection.data(True, b"x" * 150_001, 10)
            captured_connection.data(False, b"yes", 20)
            captured_connection.close(30)
        writer.close()
        seen = {True: b"", False: b""}
        with (tmp_path / f"c.{suffix}").open("rb") as file:
            for at, data in reader(file):
                ip = dpkt.ethernet.Ethernet(data).data
                raw = bytes(ip)
                recomputed = dpkt.ethernet.Ethernet(data).data
                recomputed.data.sum = 0
                if isinstance(recomputed, dpkt.ip.IP):
                    recomputed.sum = 0
                    assert bytes(recomputed) == raw  # both checksums equal dpkt's
                assert abs(at - T / 1e6) < 0.001
                if isinstance(ip.data, dpkt.tcp.TCP):
                    seen[ip.data.dport in (2000, 8)] += ip.data.data
        assert seen == {True: b"x" * 300_002, False: b"yesyes"}


def test_rotation_respects_its_limit_and_lost_packets_are_counted_and_noted(tmp_path: Path) -> None:
    writer = CaptureWriter(
        tmp_path / "c.pcap", START, T, 0, rotate_bytes=20_000, total_bytes=60_000, queue_bytes=10_000
    )
    for n in range(2000):
        while writer.queued > 9000:
            time.sleep(0.001)
        writer.note(n, {"n": "pump", "p": "p", "fill": "x" * 50})
    writer.close()
    files = sorted(tmp_path.glob("c-*.pcap"))
    assert sum(f.stat().st_size for f in files) <= 60_000 and len(files) >= 2 and writer.file_number > 5
    skips = Skips()
    assert all(isinstance(item, Note) for item in read(files, skips)) and not skips.table()
    small = CaptureWriter(tmp_path / "s.pcap", START, T, queue_bytes=2000)
    small.queued = 10**9  # simulates a blocked disk
    for n in range(5):
        small.note(n, {"n": "pump", "p": "p"})
    small.queued = 0
    small.note(9, {"n": "pump", "p": "p"})
    small.close()
    result = [item.data for item in read([tmp_path / "s.pcap"], Skips())]
    assert [d["n"] for d in result] == ["start", "lost", "pump"] and result[1]["packets"] == 5


def test_a_disk_error_loses_packets_and_nothing_else(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "c.pcap", START, T)
    broken, writer.file = writer.file, open("/dev/full", "wb", buffering=0)  # noqa: SIM115
    writer.note(1, {"n": "pump", "p": "p"})
    while not writer.fault:
        time.sleep(0.001)
    writer.file = broken
    writer.note(2, {"n": "pump", "p": "p"})
    writer.close()
    result = [item.data["n"] for item in read([tmp_path / "c.pcap"], Skips())]
    assert writer.total_lost == 1 and "space" in writer.fault and result == ["start", "lost", "pump"]


@pytest.fixture(scope="module")
def day(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The captures of the first 14 seconds of the bad day, one per run of a planner."""
    folder = tmp_path_factory.mktemp("day")
    whole = read_day(EXAMPLES / "bad-day.json5")
    short = msgspec.structs.replace(whole, length_s=14.0, troubles=[t for t in whole.troubles if t.at_s < 13])
    play_virtual(short, 1, folder / "records", folder / "capture")
    return folder / "capture"


def test_a_day_with_restarts_replays_to_the_same_decisions_for_all_planners_at_once(day: Path) -> None:
    files = sorted(day.glob("*.pcap"))
    assert len(files) == 4  # one of three planners was killed and started again
    skips = Skips()
    result = replay(read(files, skips))
    assert result["same"] and len(result["planners"]) == 4 and not result["of_others"] and not skips.table()
    assert sum(life["compared"] for life in result["planners"]) > 1000


def test_an_ended_capture_accepts_no_packets(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "c.pcap", {"n": "start", "p": "p@1"}, 0)
    writer.note(1, {"n": "pump", "p": "p@1"})
    writer.end()
    writer.note(2, {"n": "pump", "p": "p@1"})
    writer.close()
    assert [note.at for note in read([tmp_path / "c.pcap"], Skips())] == [1]


def test_a_planner_ends_its_capture_before_waiting_for_the_writer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise messages received while the file is written are captured without their answers, and a replay
    reports a difference."""
    ended = []
    real = CaptureWriter.close
    monkeypatch.setattr(CaptureWriter, "close", lambda self: (ended.append(self.stopping), real(self)))
    day = read_day(EXAMPLES / "quiet-day.json5")
    play_virtual(msgspec.structs.replace(day, length_s=2.0), 1, tmp_path / "records", tmp_path / "capture")
    assert ended and all(ended)


def test_a_differing_replay_reports_the_first_difference(day: Path, tmp_path: Path) -> None:
    path = sorted(day.glob("planner-0-*.pcap"))[0]
    data = bytearray(path.read_bytes())
    place = data.find(b"till-import", len(data) // 2)
    assert place > 0
    data[place : place + 11] = b"payout-run."
    (tmp_path / "c.pcap").write_bytes(data)
    result = replay(read([tmp_path / "c.pcap"], Skips()))
    first = result["planners"][0]["first_difference"]
    assert not result["same"] and first["packet"] > 100 and first["state"]["machines"]


def test_a_replay_with_another_configuration_reports_the_outcomes_of_guests(
    day: Path, tmp_path: Path
) -> None:
    path = sorted(day.glob("planner-0-*.pcap"))[0]
    start = next(read([path], Skips())).data
    start["sheet"]["estate"]["fleet"]["cores_multiple"] = 1.0
    for kind in start["sheet"]["estate"]["kinds"]:
        kind["cores"] *= 0.3
    start["sheet"]["list"] |= {"has_room": False, "address": "127.0.0.1:1"}
    start["sheet"]["listen"] = "127.0.0.1:2"
    (tmp_path / "c.json5").write_text(json.dumps(start["sheet"]))
    ran = CliRunner().invoke(
        main, ["capture", "replay", str(path), "--config", str(tmp_path / "c.json5"), "--json"]
    )
    life = json.loads(ran.stdout)["planners"][0]
    assert ran.exit_code == 1 and life["changed"] and life["differing"]
    assert life["module"] == life["module_here"]
    assert any("offered elsewhere" in outcome for outcome in life["guests"])
    assert any(" became " in outcome for outcome in life["guests"]) and life["differing"] > 100


def test_notes_without_a_start_and_foreign_traffic_are_reported(day: Path, tmp_path: Path) -> None:
    path = sorted(day.glob("planner-0-*.pcap"))[0]
    packets = list(read_packets(path, Skips()))
    (tmp_path / "later.pcap").write_bytes(
        file_head(False) + b"".join(record(False, p.at, p.data) for p in packets[200:])
    )
    result = replay(read([tmp_path / "later.pcap"], Skips()))
    assert (
        not result["same"] and not result["planners"] and result["notes_without_a_start"]["planner-0"] > 100
    )
    assert result["of_others"]


def test_an_extract_contains_complete_streams(day: Path, tmp_path: Path) -> None:
    path = sorted(day.glob("planner-0-*.pcap"))[0]
    wanted = [
        item for item in read([path], Skips()) if isinstance(item, Frame) and item.message["t"] == "offer"
    ][0]
    pair = {wanted.source, wanted.target}
    for suffix in ("pcap", "pcapng"):
        extract(
            [path],
            tmp_path / f"c.{suffix}",
            ExtractFilter(guest=wanted.message["guest"], machine="m000"),
            Skips(),
        )
        extract([path], tmp_path / f"c.{suffix}", ExtractFilter(guest=wanted.message["guest"]), Skips())
        skips = Skips()
        kept = [item for item in read([tmp_path / f"c.{suffix}"], skips) if isinstance(item, Frame)]
        whole = [
            item
            for item in read([path], Skips())
            if isinstance(item, Frame) and {item.source, item.target} == pair
        ]
        assert not skips.table() and {wanted.source, wanted.target} in [{k.source, k.target} for k in kept]
        assert [k.body for k in kept if {k.source, k.target} == pair] == [w.body for w in whole]
        assert all({k.source, k.target} != pair or k.connection == wanted.connection for k in kept)


def test_owner_messages_are_sent_as_load_with_their_spacing(day: Path) -> None:
    from hazelhold.capture.load import owner_messages, send
    from hazelhold.service.net import TcpNet
    from hazelhold.service.planner import Planner
    from tests.helpers import planner_config

    schedule = [
        a for a in owner_messages(sorted(day.glob("planner-0-*.pcap")), Skips()) if isinstance(a[2], m.Submit)
    ][:40]

    delays: list[
        float
    ] = []  # delays of a plain trio task beside it, in microseconds: the load of this computer

    async def tick() -> None:
        while True:
            due = trio.current_time() + 0.005
            await trio.sleep_until(due)
            delays.append((trio.current_time() - due) * 1e6)

    async def run() -> dict:
        quiet = msgspec.structs.replace(
            planner_config(),
            listen="127.0.0.1:0",
            list=msgspec.structs.replace(planner_config().list, address="127.0.0.1:1"),
        )
        async with trio.open_nursery() as nursery:
            planner = Planner(quiet, 1, TcpNet())
            await nursery.start(planner.run)
            nursery.start_soon(tick)
            result = await send(TcpNet(), planner.address, schedule, 20.0, "again-")
            nursery.cancel_scope.cancel()
        return result

    result = trio.run(run)
    counts = result["counts"]
    assert counts["sent_submit"] == counts["rejected"] == 40 and not counts["unanswered"]
    assert result["send_error_us"]["median"] < max(50_000, 3 * max(delays))


def test_the_commands_report_errors(tmp_path: Path, day: Path) -> None:
    (tmp_path / "odd").write_bytes(b"hello, I am no capture")
    for command in ("info", "list"):
        ran = CliRunner().invoke(main, ["capture", command, str(tmp_path / "odd")])
        assert ran.exit_code == 0 and "not a capture file" in ran.output
    ran = CliRunner().invoke(main, ["capture", "info", str(tmp_path / "nowhere")])
    assert ran.exit_code == 2 and "nowhere" in ran.output and "Traceback" not in ran.output
    ran = CliRunner().invoke(main, ["capture", "info", "--json", str(sorted(day.glob("*.pcap"))[0])])
    assert json.loads(ran.stdout)["planners"]["planner-0"]["starts"] == 1
    ran = CliRunner().invoke(
        main, ["capture", "extract", str(tmp_path / "odd"), "-o", str(tmp_path / "o"), "--from", "yesterday"]
    )
    assert ran.exit_code == 2 and "yesterday" in ran.output


def test_rotation_by_age(tmp_path: Path) -> None:
    writer = CaptureWriter(tmp_path / "c.pcapng", START, T, 0, rotate_s=0.02)
    for n in range(4):
        written = writer.file_number
        writer.note(n, {"n": "pump", "p": "p@1"})
        while n and writer.file_number == written:
            time.sleep(0.005)
            writer.note(n, {"n": "pump", "p": "p@1"})
    writer.close()
    files = sorted(tmp_path.glob("c-*.pcapng"))
    result = [item.data["n"] for item in read(files, Skips())]
    assert len(files) >= 4 and result.count("start") == len(files) and result.count("pump") >= 4
