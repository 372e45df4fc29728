"""The one place where configuration is read, checked and given defaults. Every error names the faulty key."""

from reelusher.config.checked_table import Address, ConfigError
from reelusher.config.load import Config, load

PLATFORM_TENANT = "platform"  # the tenant whose requests come over the platform's protocol

__all__ = ["PLATFORM_TENANT", "Address", "Config", "ConfigError", "load"]
