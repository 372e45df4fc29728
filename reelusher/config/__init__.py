"""Reads and validates all configuration and applies defaults. Each error names the faulty key."""

from reelusher.config.checked_table import Address, ConfigError
from reelusher.config.load import Config, load

PLATFORM_TENANT = "platform"  # the tenant of all requests that arrive over the platform's protocol

__all__ = ["PLATFORM_TENANT", "Address", "Config", "ConfigError", "load"]
