"""A grpclib codec for msgspec messages, without generated code."""

import functools
import typing

import grpclib.encoding.base
import msgspec

_ENCODER: typing.Final = msgspec.msgpack.Encoder()


class MsgpackCodec(grpclib.encoding.base.CodecBase):
    """Encodes and decodes messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Return the encoded message."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Return the decoded message; raises ``msgspec.ValidationError``."""
        return decoder(message_type).decode(data)


@functools.cache
def decoder(message_type: typing.Any) -> msgspec.msgpack.Decoder[typing.Any]:
    """Return the cached decoder of a message type."""
    return msgspec.msgpack.Decoder(message_type)
