"""Creates a planner's message connections with its limits and recorder, and captures them."""

import trio

from hazelhold.capture.tap import Tap
from hazelhold.config.planner import LimitsConfig
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Recorder
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net


class ConnectionFactory:
    """Creates connections that share a planner's limits, network, recorder and capture."""

    def __init__(self, limits: LimitsConfig, net: Net, recorder: Recorder | None, tap: Tap | None) -> None:
        self.limits, self.net, self.recorder, self.tap = limits, net, recorder, tap

    def create(
        self, stream: trio.abc.Stream, codec: m.Codec, peer: str = "", frame_bytes: int = 0
    ) -> MessageConnection:
        """Returns a connection on this stream. `frame_bytes` raises the maximum frame size for this peer."""
        max_frame_bytes = max(self.limits.frame_bytes, frame_bytes)
        return MessageConnection(
            stream, codec, self.net.now, self.recorder, peer, max_frame_bytes, self.limits.send_bytes
        )

    def begin_capture(self, role: str, who: str, connection: MessageConnection, dialled: bool) -> None:
        """Starts to capture the connection if the planner has a capture. `who` is the peer's name."""
        if self.tap is not None:
            connection.captured_connection = self.tap.captured_connection(
                role, who, connection.stream, dialled, self.net.now()
            )

    def end_capture(self, connection: MessageConnection) -> None:
        """Ends the connection in the capture."""
        if connection.captured_connection is not None:
            connection.captured_connection.close(self.net.now())
