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
        """Return the decoded message; raises ``msgspec.DecodeError``."""
        return decode(data, message_type)


def decode(data: bytes, message_type: typing.Any) -> typing.Any:
    """Return the decoded message; raises ``msgspec.DecodeError``."""
    try:
        return _decoder(message_type).decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError(
            "the message is nested too deeply"
        ) from error


@functools.cache
def _decoder(message_type: typing.Any) -> msgspec.msgpack.Decoder[typing.Any]:
    """Return the cached decoder of a message type."""
    return msgspec.msgpack.Decoder(message_type)
