"""A million datagrams that are torn, spoilt, strange, doubled or old, into cores that live meanwhile.

    python -m bench.fuzz_membership [--datagrams 1000000] [--seed 1] [--jobs 4]

Nothing may raise, tables stay within their bound, answers within their rate; and once it stops the members
hold each other alive.
"""

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random

import msgspec

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership import messages
from hazelhold.membership.core import MembershipSettings, SendDatagram
from hazelhold.membership.rows import ALIVE, Row, encode_row

MOST = 64


def spoilt(random: Random, kept: list[bytes], names: list[str]) -> bytes:
    """One bad datagram: bytes of nobody, a real one damaged, an old one, or a lie about somebody who is
    not."""
    kind = random.randrange(6)
    if kind == 0 or not kept:
        return random.randbytes(random.randrange(0, 1400))
    body = bytearray(random.choice(kept))
    if kind == 1:
        return bytes(body[: random.randrange(len(body))])
    if kind == 2:
        for _ in range(random.randint(1, 8)):
            body[random.randrange(len(body))] = random.randrange(256)
        return bytes(body)
    if kind == 3:
        return bytes(body)  # as it was: late, or of an earlier life
    ghost = Row(
        f"ghost-{random.randrange(1000)}",
        random.randrange(9),
        random.randrange(9),
        random.randrange(3),
        random.randrange(4),
        "nowhere",
    )
    payload = random.choice(
        [
            messages.Ping(1, random.choice(names)),
            messages.Ack(random.getrandbits(60), "m1"),
            messages.Rows(),
            messages.PingRequest(3, "m1", "nowhere"),
            messages.Nack(4, "m1"),
            messages.ViewQuery(5, "m"),
            messages.Sync(6, [random.getrandbits(60) for _ in range(random.choice([0, 32, 64]))]),
        ]
    )
    deployment = "fuzz" if kind == 4 else "elsewhere"
    return messages.encode(
        deployment,
        Row(random.choice(["ghost-1", "m9", ""]) or "x", 1, 1, 0, ALIVE, "nowhere"),
        payload,
        [encode_row(ghost)],
    )


def fuzz(seed: int, datagrams: int) -> Counter[str]:
    random = Random(f"fuzz/{seed}")
    made = MembershipSimulation(seed, MembershipSettings("fuzz", most_members=MOST, forget=20_000_000))
    made.keep_news = False
    names = [f"m{n}" for n in range(5)]
    for name in names:
        made.start(name, ["at-m0", "at-m1"])
    kept: list[bytes] = []
    post = made._send_datagram

    def listen(process: object, action: SendDatagram) -> None:
        if len(kept) < 500 or random.random() < 0.01:
            kept.append(action.body)
            del kept[:-500]
        post(process, action)

    made._send_datagram = listen
    done = 0
    while done < datagrams:
        made.run(made.now / 1e6 + 0.05)
        for name in names:
            process = made.processes[name]
            for _ in range(20):
                process.core.receive(process.clock(made.now), spoilt(random, kept, names))
                made._carry_out(process)
                done += 1
            assert len(process.core.table.members) <= MOST
            assert len(process.core.probes) < 2000 and len(process.core.timers) < 20_000
    counts: Counter[str] = Counter()
    for name in names:
        counts += made.processes[name].core.counts
    made.run(made.now / 1e6 + 120)
    assert all(made.view(a, b) == ALIVE for a in names for b in names), "they do not hold each other alive"
    counts["datagrams"] = done
    return counts


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--datagrams", type=int, default=1_000_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    with ProcessPoolExecutor(given.jobs) as pool:
        shares = [given.datagrams // given.jobs] * given.jobs
        found = sum(pool.map(fuzz, range(given.seed, given.seed + given.jobs), shares), Counter())
    print(msgspec.json.encode(dict(sorted(found.items()))).decode())


if __name__ == "__main__":
    main()
