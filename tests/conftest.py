"""For all tests: log lines are formatted, but do not outlive pytest's capture of standard error."""

from loguru import logger

from reelusher.backends import downstream_client

pytest_plugins = ["known_red"]

logger.remove()
logger.add(lambda line: None, level="DEBUG")
downstream_client.MAX_IDLE_S = 5.0  # a test's steps lie further apart than the calls of a node
