"""What reading and writing captures costs.

Run as `python -m bench.capture`. Reading: our files, packets and frames beside dpkt's bare iteration and
dpkt's parsing of the same file in the same run. Memory: the peak of reading a large file, against its size.
Writing: one planner on loopback with and without a capture, in turns, in the same run.
"""

import argparse
import json
import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import dpkt
import trio

from bench import throughput
from hazelhold.capture.files import file_head, read_packets, record
from hazelhold.capture.packets import ACK, PSH, SYN, build, parse, parse_endpoint
from hazelhold.capture.read import read
from hazelhold.capture.skips import Skips
from hazelhold.config.planner import CaptureConfig
from hazelhold.protocol import messages as m


def make(path: Path, size: int, streams: int = 50) -> None:
    """A capture of so many bytes: offers and answers on some streams, two frames a segment."""
    pairs = [
        (parse_endpoint(f"10.0.{n // 200}.{n % 200 + 1}:5000"), parse_endpoint("10.9.0.1:7400"))
        for n in range(streams)
    ]
    bodies = [
        m.encode(
            m.Offer(
                guest=f"guest-{n}",
                product="till-import",
                service=f"service-{n % 30}",
                cores=1.0,
                memory=2.0,
                life=10_000_000,
            )
        )
        + m.encode(m.OfferAccepted(guest=f"guest-{n}"))
        for n in range(1000)
    ]
    at, number, seq = 1_790_000_000_000_000, 0, [1] * streams
    with path.open("wb", buffering=1 << 20) as file:
        written = file.write(file_head(False))
        for a, b in pairs:
            written += file.write(record(False, at, build(a, b, b"", 0, 0, SYN)))
        while written < size:
            n, body = number % streams, bodies[number % 1000]
            written += file.write(record(False, at + number, build(*pairs[n], body, seq[n], 0, PSH | ACK)))
            seq[n] = (seq[n] + len(body)) & 0xFFFFFFFF
            number += 1


def rates(path: Path) -> dict[str, dict[str, float]]:
    size = path.stat().st_size

    def timed(work: object) -> dict[str, float]:
        start = time.process_time()
        count = work()
        spent = time.process_time() - start
        return {"MB_a_second": round(size / spent / 1e6, 1), "packets_a_second": round(count / spent)}

    def bare() -> int:
        with path.open("rb") as file:
            return sum(1 for _ in dpkt.pcap.Reader(file))

    def library() -> int:
        with path.open("rb") as file:
            return sum(
                len(dpkt.ethernet.Ethernet(data).data.data.data) > -1 for _, data in dpkt.pcap.Reader(file)
            )

    packets = 0

    def whole() -> int:
        found = sum(1 for _ in read([path], Skips()))
        assert found >= 2 * (packets - 60)
        return packets

    found = {"dpkt, bare iteration": timed(bare)}
    packets = sum(1 for _ in read_packets(path, Skips()))
    found["ours, records"] = timed(lambda: sum(1 for _ in read_packets(path, Skips())))
    found["dpkt, headers parsed"] = timed(library)
    found["ours, headers parsed"] = timed(
        lambda: sum(not isinstance(parse(p.link, p.data), str) for p in read_packets(path, Skips()))
    )
    found["ours, streams and frames"] = timed(whole)
    return found


def peak(path: Path) -> float:
    """The most memory that a process took which did nothing but read the file, in MB."""
    code = (
        "import sys; from pathlib import Path; from hazelhold.capture.read import read; "
        "from hazelhold.capture.skips import Skips; "
        "print(sum(1 for _ in read([Path(sys.argv[1])], Skips())))"
    )
    before = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss
    subprocess.run([sys.executable, "-c", code, str(path)], check=True, stdout=subprocess.DEVNULL)
    return max(before, resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss) / 1024


def cost(folder: Path, guests: int, rounds: int) -> dict[str, float]:
    """Guests a CPU second of a planner with and without a capture, by turns."""
    plain = throughput.planner_config
    pace: dict[bool, list[float]] = {False: [], True: []}
    for number in range(2 * rounds):
        on = number % 2 == 1

        def config(
            listen: str = "127.0.0.1:0", lister: str = "", on: bool = on, number: int = number
        ) -> object:
            import msgspec

            file = str(folder / f"cost-{number}.pcap") if on else ""
            return msgspec.structs.replace(plain(listen, lister), capture=CaptureConfig(file=file))

        throughput.planner_config = config
        pace[on].append(trio.run(throughput.sockets, 14, 450, guests, 32)["guests_a_second"])
    throughput.planner_config = plain
    without, with_it = (sorted(pace[on])[rounds // 2] for on in (False, True))
    return {"without": round(without, 1), "with": round(with_it, 1), "ratio": round(with_it / without, 3)}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--megabytes", type=int, default=30, help="of the file for rates")
    parser.add_argument("--large", type=int, default=1000, help="megabytes of the file for memory; 0: none")
    parser.add_argument("--guests", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        make(folder / "rates.pcap", options.megabytes * 10**6)
        said: dict[str, object] = {"reading": rates(folder / "rates.pcap")}
        if options.large:
            small = peak(folder / "rates.pcap")
            make(folder / "large.pcap", options.large * 10**6)
            said["peak_MB"] = {
                f"{options.megabytes} MB file": round(small),
                f"{options.large} MB file": round(peak(folder / "large.pcap")),
            }
            (folder / "large.pcap").unlink()
        if options.rounds:
            said["planner, guests a CPU second"] = cost(folder, options.guests, options.rounds)
    print(json.dumps(said, indent=1))


if __name__ == "__main__":
    main()
