"""Counts of messages and bytes by peer, direction and kind of message."""

from msgspec import Struct

HEAD = 4  # bytes of a frame's length


class Flow(Struct):
    """What went one way: whole messages, and their bytes with the frame's head."""

    messages: int = 0
    bytes: int = 0

    def add(self, other: "Flow") -> None:
        self.messages += other.messages
        self.bytes += other.bytes

    def minus(self, other: "Flow") -> "Flow":
        return Flow(self.messages - other.messages, self.bytes - other.bytes)


class PeerFlows(Struct):
    """What crossed between this process and one peer, by kind of message. `received` came from the peer."""

    received: dict[str, Flow] = {}
    sent: dict[str, Flow] = {}

    def add(self, other: "PeerFlows") -> None:
        for mine, theirs in ((self.received, other.received), (self.sent, other.sent)):
            for kind, flow in theirs.items():
                mine.setdefault(kind, Flow()).add(flow)


def total(flows: dict[str, Flow]) -> Flow:
    """All kinds together."""
    result = Flow()
    for flow in flows.values():
        result.add(flow)
    return result


class Tally:
    """The counts of one process, by the peer's name."""

    def __init__(self) -> None:
        self.peers: dict[str, PeerFlows] = {}

    def received(self, peer: str, kind: str, body: bytes) -> None:
        self._count(self._of(peer).received, kind, body)

    def sent(self, peer: str, kind: str, body: bytes) -> None:
        self._count(self._of(peer).sent, kind, body)

    def _of(self, peer: str) -> PeerFlows:
        return self.peers.setdefault(peer, PeerFlows())

    def _count(self, flows: dict[str, Flow], kind: str, body: bytes) -> None:
        flow = flows.get(kind)
        if flow is None:
            flow = flows[kind] = Flow()
        flow.messages += 1
        flow.bytes += HEAD + len(body)


def kind_of(body: bytes) -> str:
    """A message's type from the head of its body, without reading the rest: the encoder writes it first."""
    if body[1:3] != b"\xa1t":
        return "unknown"
    length = body[3] & 0x1F
    return body[4 : 4 + length].decode("ascii", "replace")
