"""
ashlatch.codec
~~~~~~~~~~~~~~

The codec of messages between daemons and of durable records: MessagePack by
`msgspec`. Unknown fields are skipped and missing ones get their defaults, so that
successive versions of the program can read each other's data. Messages that are sent
many times per second are encoded as arrays without field names; new fields of these may
only be added at the end.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import msgspec
import xxhash
from grpclib.encoding.base import CodecBase

__all__ = ["TRAFFIC", "MessageCodec", "Traffic", "decode", "digest", "encode"]

_ENCODER = msgspec.msgpack.Encoder()


@lru_cache(maxsize=256)
def _decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(kind)


def encode(value: Any) -> bytes:
    """Encodes a message or record."""
    return _ENCODER.encode(value)


def decode(data: bytes, kind: Any) -> Any:
    """Decodes a value of the given type; raises `msgspec.DecodeError`."""
    return _decoder(kind).decode(data)


@dataclass
class Traffic:
    """Counts messages to and from other ashlatch processes; sizes exclude framing."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


TRAFFIC = Traffic()


class MessageCodec(CodecBase):
    """A `grpclib` codec for `msgspec` structs; counts the messages in `TRAFFIC`."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encodes a message as the body of a gRPC frame."""
        data = encode(message)
        TRAFFIC.sent += 1
        TRAFFIC.sent_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decodes the body of a gRPC frame as a message of the declared type."""
        TRAFFIC.received += 1
        TRAFFIC.received_bytes += len(data)
        return decode(data, message_type)


def digest(data: bytes) -> str:
    """Returns a 128-bit hash of a body in hex, to detect repeats of the same body."""
    return xxhash.xxh3_128_hexdigest(data)
