"""Length-prefixed frames: a four-byte big-endian length, then that many bytes of MessagePack. No I/O."""

MAX_FRAME = 1 << 20  # bytes; for every peer except the list service

MAX_LIST_FRAME = 1 << 23  # bytes; for frames from the list service
"""A whole list is one frame. At 150 to 210 bytes per machine, some 40,000 machines fit."""


class FrameError(Exception):
    """A peer broke the protocol.

    `code` is one word for counters, `text` is for people. `again_after` is in microseconds: when the peer
    should reconnect, or 0.
    """

    def __init__(self, code: str, text: str, again_after: int = 0) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text, self.again_after = code, text, again_after


class FrameReader:
    """Splits a byte stream into frames, independent of how the bytes were chunked in transit.

    A frame that announces more than `limit` bytes raises FrameError before its body is buffered, so the
    buffer never holds more than `limit` bytes plus one read.
    """

    def __init__(self, limit: int = MAX_FRAME) -> None:
        self.limit = limit
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the bodies of the frames that they complete."""
        self.buffer += data
        frames, at = [], 0
        while len(self.buffer) - at >= 4:
            size = int.from_bytes(self.buffer[at : at + 4])
            if size > self.limit:
                raise FrameError("frame_too_long", f"frame of {size} bytes exceeds the limit of {self.limit}")
            if not size:
                raise FrameError("frame_empty", "frame of zero bytes")
            if len(self.buffer) - at - 4 < size:
                break
            frames.append(bytes(self.buffer[at + 4 : at + 4 + size]))
            at += 4 + size
        del self.buffer[:at]
        return frames

    def close(self) -> None:
        """Marks the end of the stream; raises FrameError if it ended within a frame."""
        if self.buffer:
            raise FrameError("frame_cut", f"stream ended {len(self.buffer)} bytes into a frame")


def frame(body: bytes) -> bytes:
    """Prefixes a message body with its length."""
    return len(body).to_bytes(4) + body
