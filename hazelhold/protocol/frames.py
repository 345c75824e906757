"""Length-prefixed frames: four bytes, big-endian, then so many bytes of MessagePack. No I/O here."""

MAX_FRAME = 1 << 20  # bytes of a frame from anybody but the list service

MAX_LIST_FRAME = 1 << 23  # bytes of one from the list service
"""A whole list is one frame: 150 to 210 bytes a machine, so that some 40,000 machines fit."""


class FrameError(Exception):
    """A peer broke the protocol. `code` is one word for counters, the text is for people."""

    def __init__(self, code: str, text: str, again_after: int = 0) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text, self.again_after = code, text, again_after


class FrameReader:
    """Cuts a stream of bytes into frames, however it was split on the way.

    A frame that announces more than `limit` bytes raises FrameError before any of it is kept, so that what is
    held is never more than `limit` and one read.
    """

    def __init__(self, limit: int = MAX_FRAME) -> None:
        self.limit = limit
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Takes bytes as they came; returns the frames that they complete."""
        self.buffer += data
        frames, at = [], 0
        while len(self.buffer) - at >= 4:
            size = int.from_bytes(self.buffer[at : at + 4])
            if size > self.limit:
                raise FrameError("frame_too_long", f"a frame of {size} bytes; the limit is {self.limit}")
            if not size:
                raise FrameError("frame_empty", "a frame of no bytes")
            if len(self.buffer) - at - 4 < size:
                break
            frames.append(bytes(self.buffer[at + 4 : at + 4 + size]))
            at += 4 + size
        del self.buffer[:at]
        return frames

    def close(self) -> None:
        """Says that the stream ended; bytes that make no frame are an error."""
        if self.buffer:
            raise FrameError("frame_cut", f"the stream ended {len(self.buffer)} bytes into a frame")


def frame(body: bytes) -> bytes:
    return len(body).to_bytes(4) + body
