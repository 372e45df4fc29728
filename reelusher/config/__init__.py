"""The one place where configuration is read, checked and given defaults. Every error names the faulty key."""

from reelusher.config.load import Config, load
from reelusher.config.table import Address, ConfigError

PLATFORM_TENANT = "platform"  # the tenant whose requests come over the platform's protocol

__all__ = ["PLATFORM_TENANT", "Address", "Config", "ConfigError", "load"]
