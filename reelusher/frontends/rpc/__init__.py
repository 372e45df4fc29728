"""The platform's protocol: MessagePack-RPC."""
