"""
ashlatch.codec
~~~~~~~~~~~~~~

The codec of messages between daemons and of durable records: MessagePack by
`msgspec`. Unknown fields are skipped and missing ones take their defaults, so
that neighbouring versions of the program read each other. What is sent many
times a second goes as an array without the names of its fields, which are then
only ever added at the end.

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
    """A message or record as bytes."""
    return _ENCODER.encode(value)


def decode(data: bytes, kind: Any) -> Any:
    """Bytes as a value of the given type; raises `msgspec.DecodeError`."""
    return _decoder(kind).decode(data)


@dataclass
class Traffic:
    """What this process has exchanged with others of ashlatch, without framing."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


TRAFFIC = Traffic()


class MessageCodec(CodecBase):
    """`grpclib` codec for `msgspec` structs; counts what passes in `TRAFFIC`."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """One message as the body of a gRPC frame."""
        data = encode(message)
        TRAFFIC.sent += 1
        TRAFFIC.sent_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """The body of a gRPC frame as a message of the declared type."""
        TRAFFIC.received += 1
        TRAFFIC.received_bytes += len(data)
        return decode(data, message_type)


def digest(data: bytes) -> str:
    """A 128-bit hash of a body in hex; tells a repeat from another body."""
    return xxhash.xxh3_128_hexdigest(data)
