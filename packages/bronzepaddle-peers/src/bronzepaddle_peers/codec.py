"""Lets grpclib carry msgspec messages, with no generated code."""

import functools
import typing

import grpclib.encoding.base
import msgspec

_ENCODER: typing.Final = msgspec.msgpack.Encoder()


class MsgpackCodec(grpclib.encoding.base.CodecBase):
    """Encodes typed messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Return a message's bytes."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Return the message; raises ``msgspec.ValidationError``."""
        return decoder(message_type).decode(data)


@functools.cache
def decoder(message_type: typing.Any) -> msgspec.msgpack.Decoder[typing.Any]:
    """Return the one decoder for a type of message."""
    return msgspec.msgpack.Decoder(message_type)
