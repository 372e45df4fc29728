"""What the page says of each role and of what is missing, with references to figures that are kept."""

from dataclasses import dataclass

WORKS, PART, MISSES = "works", "in part", "missing"


@dataclass(slots=True, frozen=True)
class Row:
    """One thing that a role has to bear."""

    what: str
    figure: str
    budget: str
    mechanism: str
    stands: str
    source: str  # the scale test, or `arithmetic`


@dataclass(slots=True, frozen=True)
class Missing:
    """One mechanism that there is not."""

    what: str
    breaks: str
    arithmetic: str
    mechanism: str


ROLES: dict[str, tuple[Row, ...]] = {}
MISSING: tuple[Missing, ...] = ()
