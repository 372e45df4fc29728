"""Sets up the log of the process."""

import sys
import threading

from loguru import logger


def set_up_logging() -> None:
    """Write log lines to standard error, including exceptions that end a thread."""
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level="INFO",
        backtrace=False,
        diagnose=False,
    )
    threading.excepthook = _log_thread_exception


def _log_thread_exception(hook: threading.ExceptHookArgs) -> None:
    exception = (hook.exc_type, hook.exc_value or hook.exc_type(), hook.exc_traceback)
    name = hook.thread.name if hook.thread else ""
    logger.opt(exception=exception).error("thread failed: {}", name)
