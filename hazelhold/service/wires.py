"""Makes a planner's wires, with its limits and its recorder, and has them captured."""

import trio

from hazelhold.capture.tap import Tap
from hazelhold.config.planner import LimitsConfig
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Recorder
from hazelhold.service.net import Net
from hazelhold.service.wire import Wire


class WireFactory:
    """What all of a planner's connections have in common."""

    def __init__(self, limits: LimitsConfig, net: Net, recorder: Recorder | None, tap: Tap | None) -> None:
        self.limits, self.net, self.recorder, self.tap = limits, net, recorder, tap

    def wire(self, stream: trio.abc.Stream, codec: m.Codec, peer: str = "", frame_bytes: int = 0) -> Wire:
        """A wire on this stream. `frame_bytes`: where the peer may send longer frames than others."""
        longest = max(self.limits.frame_bytes, frame_bytes)
        return Wire(stream, codec, self.net.now, self.recorder, peer, longest, self.limits.send_bytes)

    def begin_capture(self, role: str, who: str, wire: Wire, dialled: bool) -> None:
        """Gives the wire a connection in the capture, if there is one."""
        if self.tap is not None:
            wire.captured_connection = self.tap.captured_connection(
                role, who, wire.stream, dialled, self.net.now()
            )

    def end_capture(self, wire: Wire) -> None:
        """Closes the wire's connection in the capture."""
        if wire.captured_connection is not None:
            wire.captured_connection.close(self.net.now())
