"""The tenants of a node, as its builders hand them on."""

from typing import NamedTuple

from reelusher.admin.tenant_api import TenantApi
from reelusher.tenancy.registry import TenantRegistry
from reelusher.tenancy.tenant_store import TenantTable


class TenantParts(NamedTuple):
    """The tenants of a node, and the parts that the administration API uses for them."""

    registry: TenantRegistry
    table: TenantTable
    api: TenantApi | None  # None: the table is local to this node
