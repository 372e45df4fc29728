"""Numbers for names that callers send, the same in every process."""

import hashlib

CALLERS = 65_536  # numbers that callers are spread over
SUBJECT_BYTES = 8


def subject_id(name: str) -> int:
    """Map what a read is about to a number that is never 0."""
    try:
        return int(name, 16) % (1 << 8 * SUBJECT_BYTES) or 1
    except ValueError:
        digest = hashlib.blake2b(name.encode(), digest_size=SUBJECT_BYTES).digest()
        return int.from_bytes(digest, "big") or 1


def caller_id(address: str) -> int:
    """Map a caller's address to a number."""
    return subject_id(address) % CALLERS
