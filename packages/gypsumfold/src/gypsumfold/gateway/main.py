"""Runs a gateway: ``gypsumfold gateway FILE`` or this module."""

import pathlib
import signal
import sys

import click

from gypsumfold import exceptions

# Exit code for an invalid settings file (EX_CONFIG of sysexits.h).
EXIT_SETTINGS = 78
# Environment variable in which the platform passes the settings file's path.
SETTINGS_VARIABLE = "GYPSUMFOLD_SETTINGS"


@click.command()
@click.argument(
    "file",
    type=click.Path(path_type=pathlib.Path),
    envvar=SETTINGS_VARIABLE,
)
def main(file: pathlib.Path) -> None:
    """Run a gateway with the settings in FILE, until SIGTERM or SIGINT."""
    # Changed settings must not end a process that starts: the signal's default
    # action would, and most of a start is the import of the modules below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from gypsumfold.gateway import process

    try:
        process.run(file)
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
