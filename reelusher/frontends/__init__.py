"""Front ends: RPC and AJP13 for requests, and the operations endpoint for operators."""
