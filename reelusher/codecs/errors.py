"""Errors raised by all codecs."""


class CodecError(Exception):
    """The received data is not accepted, and the connection that carried it must not be used any further."""


class MalformedError(CodecError):
    """The bytes are not what the protocol describes, or exceed a limit."""
