"""Set-up of all tests: log lines are formatted, but not written to standard error, which pytest replaces."""

from loguru import logger

from reelusher.backends import downstream_client

pytest_plugins = ["known_red"]

logger.remove()
logger.add(lambda line: None, level="DEBUG")
downstream_client.MAX_IDLE_S = 5.0  # the steps of a test are further apart than the calls of a node
