"""Frames and messages that are split, truncated, too long or invalid."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError, FrameReader

SUBMIT = m.Submit(guest="g", product="p", service="s", cores=0.5, memory=1.0, patience=5_000_000)
CODEC = m.Codec(m.FROM_OWNER)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(1, 40), max_size=30))
def test_frames_are_reassembled_from_any_chunks(cuts: list[int]) -> None:
    sent = [SUBMIT, m.Cancel(guest="g", ask=3), m.Query(guest="h")]
    data, reader, found = b"".join(m.encode(each) for each in sent), FrameReader(), []
    for cut in [*cuts, len(data)]:
        found += reader.feed(data[:cut])
        data = data[cut:]
    assert [CODEC.decode(body) for body in found] == sent
    reader.close()


def test_a_frame_of_two_gigabytes_is_rejected_by_its_length_prefix() -> None:
    reader = FrameReader()
    with pytest.raises(FrameError, match="frame_too_long"):
        reader.feed((2 << 30).to_bytes(4) + b"x")
    assert len(reader.buffer) < 10


def test_a_stream_that_ends_within_a_frame_is_an_error() -> None:
    reader = FrameReader()
    assert reader.feed(m.encode(SUBMIT)[:-1]) == []
    with pytest.raises(FrameError, match="frame_cut"):
        reader.close()


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        ({"t": "offer", "guest": "g"}, "unknown_type"),
        ({"t": "what"}, "unknown_type"),
        ([1], "no_type"),
        ({"guest": "g"}, "no_type"),
        ({"t": "submit", "guest": "g"}, "bad_message"),
        ({**msgspec.to_builtins(SUBMIT), "cores": float("nan")}, "bad_message"),
        ({**msgspec.to_builtins(SUBMIT), "cores": -1.0}, "bad_message"),
        ({**msgspec.to_builtins(SUBMIT), "patience": -5}, "bad_message"),
        ({**msgspec.to_builtins(SUBMIT), "guest": "g" * 500}, "bad_message"),
    ],
)
def test_invalid_messages_are_rejected_with_their_code(raw: object, code: str) -> None:
    with pytest.raises(FrameError) as error:
        CODEC.decode(msgspec.msgpack.encode(raw))
    assert error.value.code == code


def test_unknown_fields_are_ignored() -> None:
    raw = {**msgspec.to_builtins(SUBMIT), "later": [1, {"x": None}]}
    assert CODEC.decode(msgspec.msgpack.encode(raw)) == SUBMIT


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 60), st.integers(0, 255))
def test_damaged_messages_raise_only_frame_errors(noise: bytes, at: int, value: int) -> None:
    body = bytearray(m.encode(SUBMIT)[4:])
    body[at % len(body)] = value
    for each in (noise, bytes(body)):
        try:
            assert isinstance(CODEC.decode(each), m.Message)
        except FrameError as error:
            assert error.code in ("not_msgpack", "no_type", "unknown_type", "bad_message")
