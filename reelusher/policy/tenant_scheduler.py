"""How the tenants of a worker share it: an input of the policy, implemented by `reelusher.tenancy`."""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from reelusher.policy.events import Request


class HasRequest(Protocol):
    """Whatever the controller holds of a request."""

    request: Request


HasRequestT = TypeVar("HasRequestT", bound=HasRequest)


class TenantScheduler(Protocol):
    """Accounts for the use of each tenant and orders their requests. Times are whole microseconds.

    Without it, and with one tenant, the controller decides the same.
    """

    def request_arrived(self, request: Request, now_us: int) -> None:
        """Count the work that a new request asks for."""

    def exceeds_limit(self, request: Request, extra_kb: float, keyed: bool, used_kb: float) -> bool:
        """Return whether a limit of its tenant keeps out a request that would take so much more memory."""

    def rejection_probability(self, tenant: int, probability: float) -> float:
        """Return a tenant's probability of random rejection, where it would be `probability` for all."""

    def holding_changed(self, request: Request, held: int, change_kb: float) -> None:
        """Count a request that starts (1) or ends (-1) to be held, and the memory that it takes or frees."""

    def key_remembered(self, request: Request, until_us: int, entry_kb: float) -> None:
        """Count a remembered idempotency key."""

    def key_forgotten(self, request_id: int, entry_kb: float) -> None:
        """Stop counting the idempotency key of a request."""

    def run_started(self, request: Request, now_us: int) -> None:
        """Count a run."""

    def run_ended(self, request: Request, duration_us: int, now_us: int) -> None:
        """Stop counting a run."""

    def borrowable_runs(self, tenant: int | None = None) -> int:
        """Return how many long runs of other tenants lend their concurrency slots to this one.

        Without a tenant, the most that any may borrow.
        """

    def order(self, held: Sequence[HasRequestT], now_us: int) -> Iterable[HasRequestT]:
        """Yield what may run, in the order of entitlement; `held` is in the controller's order."""

    def period_elapsed(self, now_us: int) -> None:
        """Bring the accounts up to date."""

    def expired_keys(self, now_us: int) -> Iterable[int]:
        """Return the ids of requests whose remembered keys have expired."""
