"""Errors that all codecs raise."""


class CodecError(Exception):
    """What was read can't be accepted; the connection that carried it is not used any further."""


class MalformedError(CodecError):
    """The bytes are not what the protocol describes, or exceed a limit."""
