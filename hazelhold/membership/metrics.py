"""Prometheus metrics of a planner's membership, served on an address of their own. The module is imported
only if that address is configured."""

import trio
from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from hazelhold.config.load import split_address
from hazelhold.membership.core import MembershipCore
from hazelhold.membership.rows import STATES


class MembershipMetrics:
    """Collects the metrics from the core's current state at each scrape."""

    def __init__(self, core: MembershipCore, address: str) -> None:
        self.core = core
        self.host, self.port = split_address(address)
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def collect(self) -> list[GaugeMetricFamily | CounterMetricFamily]:
        core = self.core
        states = GaugeMetricFamily(
            "hazelhold_members", "Members by state, in this planner's view", labels=["state"]
        )
        counted = [0] * len(STATES)
        for name in list(core.table.members):
            state = core.state_of(name)
            if state is not None:
                counted[state] += 1
        for state, count in zip(STATES, counted, strict=True):
            states.add_metric([state], count)
        doubt = GaugeMetricFamily("hazelhold_member_doubt", "This planner's doubt of its own health, 0 to 6")
        doubt.add_metric([], core.local_health.level)
        alone = GaugeMetricFamily("hazelhold_member_alone", "1 while nobody answers this planner")
        alone.add_metric([], int(core.alone_since >= 0))
        events = CounterMetricFamily("hazelhold_member_events", "What membership counted", labels=["what"])
        for what, count in dict(core.counts).items():
            events.add_metric([what], count)
        return [states, doubt, alone, events]

    async def run(self) -> None:
        server, thread = start_http_server(self.port, self.host, self.registry)
        try:
            await trio.sleep_forever()
        finally:
            server.shutdown()
            server.server_close()
            thread.join(1.0)
