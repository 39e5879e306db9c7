"""What the two daemons share: settings, logs, kernel and exit code."""

__all__ = ["run_program"]

import asyncio
import sys

from camphortray import config as configs
from camphortray import errors
from camphortray import kernel
from camphortray import logs

EXIT_BAD_SETTINGS = 2
EXIT_FAILED_START = 1


async def run(config: configs.Config, program: str) -> None:
    """Run a daemon until it is told to end."""
    context = kernel.Context.from_config(config, program)
    await kernel.Kernel(context).run()


def run_program(program: str, settings: str, check: bool) -> int:
    """Check settings and run a daemon; return the exit code."""
    try:
        config = configs.Config.from_file(settings)
    except errors.ConfigError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings}: good")
        return 0
    logs.set_up(config.logging.format, config.logging.level)
    try:
        asyncio.run(run(config, program))
    except errors.PluginError as error:
        logs.logger("kernel").error("{}", error)
        return EXIT_FAILED_START
    return 0
