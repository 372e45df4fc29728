"""For all tests: log lines are formatted, but do not outlive pytest's capture of standard error."""

from loguru import logger

logger.remove()
logger.add(lambda line: None, level="DEBUG")
