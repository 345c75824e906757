"""A complete sender: submits five guests, waits for each and cancels one. Run it with a running planner:

python examples/sender.py 127.0.0.1:7400
"""

import sys

import trio

from hazelhold.client import TaskRequest, open_client


async def main(address: str) -> None:
    async with open_client("example", {"planner-0": address}) as client:
        requests = [
            TaskRequest(
                guest=f"import-{n}",
                product="till-import",
                service="nightly",
                cores=0.5,
                memory=1.0,
                patience=5_000_000,
                effect="rerunnable",
                life=3_000_000,
            )
            for n in range(5)
        ]
        for outcome in await client.place_all(requests):
            print(outcome.guest, outcome.state, outcome.machine, outcome.reason)
        if "import-0" in client.slots:  # placed, and not yet ended
            client.cancel("import-0")
            print("import-0", (await client.ended("import-0")).state)


trio.run(main, sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:7400")
