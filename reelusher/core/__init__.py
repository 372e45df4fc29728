"""The core: requests, attempts and outcomes. One thread owns the decision module; no wire is known here."""
