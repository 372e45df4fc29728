"""Numeric ids for names that callers send; every process computes the same ones."""

import hashlib

CALLER_IDS = 65_536  # the number of caller ids that addresses are mapped to
SUBJECT_BYTES = 8


def subject_id(name: str) -> int:
    """Return the id of a subject, which is what a read is about: its hexadecimal value, or else a hash.

    The id is never 0, which stands for no subject.
    """
    try:
        return int(name, 16) % (1 << 8 * SUBJECT_BYTES) or 1
    except ValueError:
        digest = hashlib.blake2b(name.encode(), digest_size=SUBJECT_BYTES).digest()
        return int.from_bytes(digest, "big") or 1


def caller_id(address: str) -> int:
    """Return the id of the caller at an address, from 0 to `CALLER_IDS` - 1."""
    return subject_id(address) % CALLER_IDS
