"""Damages captures at random for as long as it is given, and holds the reader to what it promises.

Run as `python -m bench.fuzz_capture --seconds 60 --seed 1`. Promises: no exception but OSError; bytes of
memory within a bound; frames that come out are messages; a capture whose bytes are all sound skips nothing.
"""

import argparse
import sys
import tempfile
import time
import traceback
from pathlib import Path
from random import Random

from hazelhold.capture.files import file_head, read_packets, record
from hazelhold.capture.packets import ACK, FIN, PSH, RST, SYN, build, parse_endpoint
from hazelhold.capture.read import read
from hazelhold.capture.replay import replay
from hazelhold.capture.skips import Skips
from hazelhold.protocol import messages as m


def sound(random: Random, ng: bool) -> bytes:
    """A small capture of a few streams with everything that TCP may do to them."""
    packets = []
    for number in range(random.randint(1, 5)):
        a, b = (
            parse_endpoint(f"10.0.0.{number + 1}:5000"),
            parse_endpoint("[::1]:7400" if random.random() < 0.1 else "10.9.9.9:7400"),
        )
        if len(a[0]) != len(b[0]):
            a = parse_endpoint(f"[::{number + 2}]:5000")
        data = b"".join(m.encode(m.Query(guest=f"g{n}" * random.randint(1, 20))) for n in range(8))
        isn = random.randrange(1 << 32)
        mine = [build(a, b, b"", isn, 0, SYN)] if random.random() < 0.8 else []
        at = 0
        while at < len(data):
            size = random.randint(1, 60)
            back = random.randint(0, min(at, 20)) if random.random() < 0.2 else 0
            mine.append(build(a, b, data[at - back : at + size], isn + 1 + at - back, 0, PSH | ACK))
            at += size
        if random.random() < 0.3:
            random.shuffle(mine)
        if random.random() < 0.5:
            mine.append(build(a, b, b"", isn + 1 + len(data), 0, random.choice([FIN, RST]) | ACK))
        packets += mine
    return file_head(ng) + b"".join(
        record(ng, 1_790_000_000_000_000 + n * 100, p) for n, p in enumerate(packets)
    )


def planners(folder: Path) -> bytes:
    """The first packets of a real planner's capture, with its notes."""
    import msgspec

    from hazelhold.config.day import read_day
    from hazelhold.rehearse.run import play_virtual

    day = read_day(Path(__file__).parent.parent / "examples" / "bad-day.json5")
    short = msgspec.structs.replace(day, length_s=3.0, planners=1, troubles=[])
    play_virtual(short, 1, folder, folder / "capture")
    path = next((folder / "capture").glob("*.pcap"))
    packets = [p for p, _ in zip(read_packets(path, Skips()), range(250), strict=False)]
    return file_head(False) + b"".join(record(False, p.at, p.data) for p in packets)


def damage(random: Random, data: bytes) -> bytes:
    hurt = bytearray(data)
    for _ in range(random.choice([0, 1, 1, 2, 5, 40])):
        at, kind = random.randrange(len(hurt)), random.randrange(6)
        if kind == 0:
            hurt[at] ^= 1 << random.randrange(8)
        elif kind == 1:
            hurt[at : at + 4] = random.choice(
                [b"\xff\xff\xff\xff", b"\0\0\0\0", b"\x7f\xff\xff\xff", b"\xff\xff\0\0"]
            )
        elif kind == 2:
            del hurt[at : at + random.randint(1, 50)]
        elif kind == 3:
            hurt[at:at] = random.randbytes(random.randint(1, 50))
        elif kind == 4:
            hurt[at:at] = hurt[at : at + random.randint(1, 300)]
        else:
            del hurt[at:]
        if not hurt:
            hurt = bytearray(b"\0")
    return bytes(hurt)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    runs, seed, until = 0, options.seed, time.monotonic() + options.seconds
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "c"
        real = planners(Path(folder) / "day")
        while time.monotonic() < until:
            random = Random(seed)
            base = real if random.random() < 0.2 else sound(random, random.random() < 0.5)
            path.write_bytes(damage(random, base))
            try:
                found = [item for item in read([path], Skips())]
                replay(iter(found))
            except Exception:  # noqa: BLE001 - whatever it is, it is what is looked for
                traceback.print_exc()
                print(f"seed {seed} broke the reader")
                sys.exit(1)
            runs, seed = runs + 1, seed + 1
    print(f"{runs} damaged captures read, from seed {options.seed}: none broke the reader")


if __name__ == "__main__":
    main()
