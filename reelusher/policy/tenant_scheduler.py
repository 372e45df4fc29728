"""The interface through which tenants share a worker; `reelusher.tenancy` implements it."""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from reelusher.policy.events import Request


class HasRequest(Protocol):
    """An object of the controller that refers to a request."""

    request: Request


HasRequestT = TypeVar("HasRequestT", bound=HasRequest)


class TenantScheduler(Protocol):
    """Accounts for the use of each tenant and orders their requests. Times are whole microseconds.

    With a single tenant, if it has the default quota, the controller makes the same decisions as without a
    scheduler.
    """

    def request_arrived(self, request: Request, now_us: int) -> None:
        """Count the work that a new request asks for as demand of its tenant."""

    def exceeds_limit(self, request: Request, extra_kb: float, keyed: bool, used_kb: float) -> bool:
        """Return whether a limit of its tenant excludes a request that would take `extra_kb` more memory.

        `keyed` says that its idempotency key would be remembered. `used_kb` is the memory in use by all.
        """

    def rejection_probability(self, tenant: int, probability: float) -> float:
        """Return a tenant's rejection probability; `probability` would apply if there were no tenants."""

    def holding_changed(self, request: Request, held: int, change_kb: float) -> None:
        """Count a request that starts (1) or ceases (-1) to be held, and the change of its memory.

        `held` is 0 where only the memory changes.
        """

    def key_remembered(self, request: Request, until_us: int, entry_kb: float) -> None:
        """Count a remembered idempotency key."""

    def key_forgotten(self, request_id: int, entry_kb: float) -> None:
        """Stop counting the idempotency key of a request."""

    def run_started(self, request: Request, now_us: int) -> None:
        """Count a run."""

    def run_ended(self, request: Request, duration_us: int, now_us: int) -> None:
        """Stop counting a run; a duration of 0 means unknown."""

    def borrowable_runs(self, tenant: int | None = None) -> int:
        """Return how many long runs of other tenants lend their concurrency slots to this one.

        Without a tenant, return an upper bound of the number that any tenant may borrow.
        """

    def order(self, held: Sequence[HasRequestT], now_us: int) -> Iterable[HasRequestT]:
        """Yield the held requests that may run, in the order in which their tenants are entitled to run them.

        `held` is in the controller's order.
        """

    def period_elapsed(self, now_us: int) -> None:
        """Bring the accounts of all tenants up to date; called once a period."""

    def expired_keys(self, now_us: int) -> Iterable[int]:
        """Return the ids of requests whose remembered keys have expired."""
